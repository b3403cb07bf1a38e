"""A server for requests of callers, or for those that other VMs relay.

::

    server = RequestServer("10.1.0.38:8149", serve, account, now)
    server.start()
"""

from collections.abc import Callable

from tornado.netutil import bind_sockets

from ..resources.accounts import Account
from ..resources.servers import AccountedServer
from .caller_calls import CallerDispatcher, Handler

# The largest accepted body, whatever the configuration allows.
MAX_BODY_BYTES = 16 << 20
MAX_HEADER_BYTES = 64 << 10
# Longer than any idle time that the configuration allows callers.
IDLE_TIMEOUT_S = 30.0


class RequestServer:
    """Reads requests on one address; without an address it does nothing.

    ``max_body_bytes`` returns the largest body that a request may have now.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        account: Account,
        now: Callable[[], float],
        max_body_bytes: Callable[[], int] = lambda: MAX_BODY_BYTES,
    ):
        self._address = address
        self._dispatcher = CallerDispatcher(handler, now, max_body_bytes)
        self._server = AccountedServer(
            self._dispatcher,
            account=account,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
        )

    @property
    def open(self) -> int:
        """How many requests are being read or answered."""
        return self._dispatcher.open

    def start(self) -> None:
        """Listen; raises ``OSError`` when the address is taken."""
        host, _, port = self._address.rpartition(":")
        if port:
            self._server.add_sockets(bind_sockets(int(port), host))

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.stop()

    async def close_all_connections(self) -> None:
        """Close all connections, also those with an open request."""
        await self._server.close_all_connections()
