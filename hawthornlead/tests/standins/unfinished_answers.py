"""A process that begins an answer to each request and never completes it.

It prints the address at which it listens::

    python -m hawthornlead.tests.standins.unfinished_answers
"""

import asyncio

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from hawthornlead.gateway.caller_calls import CallerCall, CallerDispatcher

EVENT = b"id: 1\ndata: some text\n\n"


async def begin(call: CallerCall) -> None:
    """Send the first event."""
    call.begin(200, "OK", httputil.HTTPHeaders({"Content-Type": "a/b"}), EVENT)
    await call.gone


async def main() -> None:
    """Listen until the process is killed."""
    server = HTTPServer(CallerDispatcher(begin, lambda: 0.0))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    print(f"127.0.0.1:{sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
