"""Engine stand-ins that stream fast enough to load a VM, several in one process.

They speak the whole engine protocol. Only the way tokens reach the connection is
shorter than the stand-in's: each is written by the step that makes it, as one write,
so that the engine is not what limits a measurement. Faults of answers are left out.
"""

import asyncio
import json
from typing import Any

import click

from .standins.engine import EngineStandIn
from .standins.engine_handlers import ROUTES, CompletionsHandler


class _DirectSink:
    """Takes the place of a run's queue and writes each event to the connection."""

    def __init__(self, stream, ended: asyncio.Future):
        self._stream = stream
        self._ended = ended

    def put_nowait(self, event: dict[str, Any] | None) -> None:
        """Write one event; None ends the answer."""
        if self._stream.closed() or event is None:
            if not self._ended.done():
                self._ended.set_result(None)
            return
        line = b"data: " + json.dumps(event).encode() + b"\n\n"
        written = self._stream.write(b"%x\r\n%b\r\n" % (len(line), line))
        written.add_done_callback(_consume)


class SwiftHandler(CompletionsHandler):
    """Streams without a task per token."""

    async def _stream_answer(self, run, sink):
        self.set_header("Content-Type", "text/event-stream")
        await self.flush()
        self.request.connection.stream.set_nodelay(True)
        ended = asyncio.get_running_loop().create_future()
        direct = _DirectSink(self.request.connection.stream, ended)
        while not sink.empty():
            direct.put_nowait(sink.get_nowait())
        run.sink = direct
        gone = asyncio.ensure_future(self.gone.wait())
        await asyncio.wait({ended, gone}, return_when="FIRST_COMPLETED")
        gone.cancel()
        if not ended.done():
            self.stand_in.cancel(run.request.id, "gone")
            return None
        return self.finish()


class SwiftEngine(EngineStandIn):
    """An engine whose completions are streamed by ``SwiftHandler``."""

    def routes(self) -> list:
        """Return the routes of the engine protocol."""
        return [
            (path, SwiftHandler if handler is CompletionsHandler else handler, *more)
            for path, handler, *more in ROUTES
        ]


async def serve(count: int, faults: dict[str, Any]) -> None:
    """Start ``count`` engines, print their addresses, and run until killed."""
    engines = [SwiftEngine(name=f"engine-{each}", **faults) for each in range(count)]
    addresses = [await engine.start() for engine in engines]
    click.echo(json.dumps(addresses))
    await asyncio.Event().wait()


def _consume(future: asyncio.Future) -> None:
    if not future.cancelled():
        future.exception()


@click.command()
@click.argument("count", type=int)
@click.argument("faults", type=json.loads)
def main(count: int, faults: dict[str, Any]) -> None:
    """Start COUNT engines with FAULTS as JSON."""
    asyncio.run(serve(count, faults))


if __name__ == "__main__":
    main()
