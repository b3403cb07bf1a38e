"""Servers for queries to a VM itself: entry addresses, readiness, metrics."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from tornado import httputil
from tornado.netutil import bind_sockets

from ..resources.accounts import Account
from ..resources.servers import AccountedServer
from ..settings import Settings
from .caller_calls import CallerCall, CallerDispatcher
from .request_servers import IDLE_TIMEOUT_S

JSON = "application/json"
# Queries have no body, or a small one that nobody reads.
MAX_QUERY_BODY_BYTES = 16 << 10
MAX_QUERY_HEADER_BYTES = 16 << 10


class Reply(NamedTuple):
    """The answer to one query."""

    status: int
    body: bytes
    content_type: str = JSON


Query = Callable[[], Reply]


class QueryServer:
    """Answers a few fixed paths on one address.

    ::

        server = QueryServer("10.1.0.38:8141", {READY_PATH: ready}, account, now)
        server.start()
    """

    def __init__(
        self,
        address: str,
        queries: dict[str, Query],
        account: Account,
        now: Callable[[], float],
    ):
        self._address = address
        self._queries = queries
        self._server = AccountedServer(
            CallerDispatcher(self._handle, now, lambda: MAX_QUERY_BODY_BYTES),
            account=account,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_QUERY_HEADER_BYTES,
        )

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


def build_query_servers(
    settings: Settings,
    queries: Iterable[tuple[str, str, Query]],
    account: Account,
    now: Callable[[], float],
) -> list[QueryServer]:
    """Return a server for each address, of queries by setting and path."""
    by_address: dict[str, dict[str, Query]] = {}
    for setting, path, query in queries:
        if address := settings[setting]:
            by_address.setdefault(address, {})[path] = query
    return [QueryServer(at, found, account, now) for at, found in by_address.items()]
