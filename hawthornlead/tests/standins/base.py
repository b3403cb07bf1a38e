"""What all stand-ins share: listening, faults switched at run time, the record.

Every stand-in answers ``POST /standin/faults`` (JSON merged into its faults) and
``GET /standin/record`` (JSON of what it saw), and can be started in-process::

    engine = EngineStandIn(name="engine-1", slots=2)
    address = await engine.start()
    engine.set_faults(token_s=0.05)
    await engine.stop()

The ``silent`` fault makes the connections that are open at that moment go silent:
they accept what is sent and never answer, while new connections work.
"""

import asyncio
import json
import random
import socket
import struct
from collections.abc import Callable
from typing import Any

import click
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from hawthornlead.timers import TimerService

STAND_INS: dict[str, type["StandIn"]] = {}

_RESET = struct.pack("ii", 1, 0)


def stand_in(kind: str) -> Callable[[type], type]:
    """Enter a stand-in's class in ``STAND_INS`` under its kind."""

    def enter(cls: type) -> type:
        STAND_INS[kind] = cls
        return cls

    return enter


class _Server(HTTPServer):
    """An HTTP server that remembers its open connections."""

    def initialize(self, *args, **kwargs):
        super().initialize(*args, **kwargs)
        self.streams = set()

    def handle_stream(self, stream, address):
        self.streams = {open_ for open_ in self.streams if not open_.closed()}
        self.streams.add(stream)
        super().handle_stream(stream, address)


class StandIn:
    """One stand-in program; subclasses add routes, faults and a record."""

    FAULTS: dict[str, Any] = {}

    def __init__(
        self,
        name: str = "",
        timers: TimerService | None = None,
        rng: random.Random | None = None,
        **faults,
    ):
        self.name = name
        self.timers = timers or TimerService()
        self.rng = rng or random.Random(0)
        self.faults: dict[str, Any] = {"silent": False, **self.FAULTS}
        self.address = ""
        self._host = "127.0.0.1"
        self._port = 0
        self._server: _Server | None = None
        self._held_port: socket.socket | None = None
        self._silenced: set = set()
        self._tasks: set[asyncio.Task] = set()
        self.set_faults(**faults)

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> str:
        """Listen, at a port chosen by the system unless given; return ``IP:PORT``."""
        self._host = host
        self._port = port
        self._listen()
        return self.address

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._unlisten()
        if self._held_port is not None:
            self._held_port.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_faults(self, **changes) -> None:
        """Merge ``changes`` into the faults; an unknown name is a KeyError."""
        for name in changes:
            if name not in self.faults:
                raise KeyError(f"no fault {name!r}: one of {sorted(self.faults)}")
        self.faults.update(changes)
        if "silent" in changes:
            # Only what is open now goes silent; new connections work.
            self._silenced = set(self._open_streams()) if changes["silent"] else set()
        self.faults_changed(changes)

    def faults_changed(self, changes: dict) -> None:
        """Act on faults that were just changed."""

    def take(self, fault: str) -> bool:
        """Use up one of a fault that counts; negative means without end."""
        left = self.faults[fault]
        if not left:
            return False
        if left > 0:
            self.faults[fault] = left - 1
        return True

    def record(self) -> dict:
        """Return what the stand-in saw, ready for JSON."""
        return {}

    def routes(self) -> list:
        """Return the tornado routes of the protocol."""
        return []

    def silenced(self, stream) -> bool:
        """Whether a connection has gone silent."""
        return stream in self._silenced

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a task that ends with the stand-in."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def crash(self, restart_s: float) -> None:
        """Reset all connections, refuse new ones, listen again after a while."""
        self._unlisten()
        with self._hold_port():
            await self.timers.sleep(restart_s)
            self._listen()

    def vanish(self) -> None:
        """Reset all connections and refuse new ones until the stand-in is stopped."""
        self._unlisten()
        self._held_port = self._hold_port()

    def reset(self, stream) -> None:
        """Close a connection so that its other end sees a reset."""
        if stream.closed():
            return
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        stream.close()

    def _open_streams(self) -> set:
        return self._server.streams if self._server else set()

    def _listen(self) -> None:
        common = [(r"/standin/faults", FaultsHandler), (r"/standin/record", Record)]
        application = Application(
            common + self.routes(), stand_in=self, log_function=lambda handler: None
        )
        self._server = _Server(application, max_buffer_size=1 << 26)
        # A crashed stand-in comes back at the port that it had.
        sockets = bind_sockets(self._port, self._host, reuse_port=False)
        self._port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)
        self.address = f"{self._host}:{self._port}"

    def _hold_port(self) -> socket.socket:
        # Bound and not listening: the system gives the port to no outgoing connection,
        # which would keep the stand-in from coming back, or answer in its place.
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((self._host, self._port))
        return held

    def _unlisten(self) -> None:
        if self._server is None:
            return
        self._server.stop()
        for stream in list(self._server.streams):
            self.reset(stream)
        self._server = None


class StandInHandler(RequestHandler):
    """A handler that obeys the faults which all stand-ins have."""

    @property
    def stand_in(self) -> Any:
        """The stand-in that this handler answers for."""
        return self.application.settings["stand_in"]

    @property
    def stream(self):
        """The connection below this request."""
        return self.request.connection.stream

    def initialize(self) -> None:
        """Note when the connection closes."""
        self.gone = asyncio.Event()
        self._stream = self.request.connection.stream

    def on_connection_close(self) -> None:
        """Let whatever waits on this request end."""
        self.gone.set()

    async def prepare(self) -> None:
        """Hang when the connection has gone silent."""
        await self.hang_if_silent()

    async def hang_if_silent(self) -> None:
        """Say nothing more on a silent connection, until it is closed."""
        if not self.stand_in.silenced(self._stream):
            return
        await self.gone.wait()
        raise StreamClosedError

    def drop(self) -> None:
        """Close the connection without an answer, or in the middle of one."""
        self._stream.close()
        self._finished = True

    def answer(self, status: int, **fields) -> None:
        """Answer with a status and a JSON body."""
        if self.gone.is_set():
            return
        self.set_status(status)
        self.finish(fields)

    def read_json(self) -> dict:
        """Return the request's JSON body."""
        return json.loads(self.request.body or b"{}")

    def log_exception(self, kind, value, traceback) -> None:
        """Leave out the other end's going away, which tests bring about."""
        if isinstance(value, StreamClosedError):
            return
        super().log_exception(kind, value, traceback)


class FaultsHandler(StandInHandler):
    """Read and merge the faults."""

    async def prepare(self) -> None:
        """Answer also on a silent connection."""

    def get(self):
        """Return the faults."""
        self.finish(self.stand_in.faults)

    def post(self):
        """Merge a JSON object into the faults."""
        try:
            self.stand_in.set_faults(**self.read_json())
        except (KeyError, ValueError, TypeError) as error:
            return self.answer(400, error=str(error))
        return self.finish(self.stand_in.faults)


class Record(StandInHandler):
    """Read the record."""

    async def prepare(self) -> None:
        """Answer also on a silent connection."""

    def get(self):
        """Return the record."""
        self.finish(json.dumps(self.stand_in.record()))


def run_by_hand(cls: type[StandIn]) -> click.Command:
    """Make the command that runs one stand-in until it is interrupted."""

    @click.command()
    @click.option("--address", default="127.0.0.1:0", help="IP:PORT to listen at")
    @click.option("--name", default="", help="name of the VM")
    @click.option("--faults", default="{}", help="JSON merged into the faults")
    def command(address, name, faults):
        async def serve():
            running = cls(name=name, **json.loads(faults))
            host, _, port = address.rpartition(":")
            click.echo(json.dumps({"address": await running.start(int(port), host)}))
            await asyncio.Event().wait()

        asyncio.run(serve())

    return command
