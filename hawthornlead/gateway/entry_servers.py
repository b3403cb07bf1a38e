"""Servers for queries to a VM itself: entry addresses, readiness, metrics."""

from collections.abc import Callable
from typing import NamedTuple

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from .caller_calls import CallerCall, CallerDispatcher

JSON = "application/json"


class Reply(NamedTuple):
    """The answer to one query."""

    status: int
    body: bytes
    content_type: str = JSON


Query = Callable[[], Reply]


class QueryServer:
    """Answers a few fixed paths on one address.

    ::

        server = QueryServer("10.1.0.38:8141", {READY_PATH: ready}, now)
        server.start()
    """

    def __init__(
        self, address: str, queries: dict[str, Query], now: Callable[[], float]
    ):
        self._address = address
        self._queries = queries
        self._server = HTTPServer(CallerDispatcher(self._handle, now))

    def start(self) -> None:
        """Listen; raises ``OSError`` when the address is taken."""
        host, _, port = self._address.rpartition(":")
        self._server.add_sockets(bind_sockets(int(port), host))

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.stop()

    async def _handle(self, call: CallerCall) -> None:
        query = self._queries.get(call.path.partition("?")[0])
        reply = query() if query else Reply(404, b"{}")
        headers = httputil.HTTPHeaders({"Content-Type": reply.content_type})
        call.answer(reply.status, "OK", headers, reply.body)
