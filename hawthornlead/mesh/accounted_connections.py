"""Connections of other VMs, or of strangers at their address, in the process's account.

::

    create = accounted(account)
    server = await serve(handler, host, port, create_connection=create)
"""

from collections.abc import Callable
from functools import partial

from websockets.asyncio.server import ServerConnection

from ..resources.accounts import Account, Holding


class AccountedConnection(ServerConnection):
    """A websocket that a VM accepted; what has come of a frame is held for it."""

    def __init__(self, *parts, account: Account, **options):
        super().__init__(*parts, **options)
        self._account = account
        self._holding: Holding | None = None

    def connection_made(self, transport) -> None:
        """Open a holding, or close the connection if there is no room for it."""
        super().connection_made(transport)
        self._holding = self._account.open(transport.abort)
        if self._holding is None:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read what has come, and hold the part of a frame that it ends in."""
        super().data_received(data)
        if self._holding is None:
            return
        # The library has no public look at its buffer.
        if not self._holding.set_buffered(len(self.protocol.reader.buffer)):
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the holding."""
        if self._holding is not None:
            self._holding.close()
            self._holding.end()
        super().connection_lost(exc)

    def admit(self) -> None:
        """Note that the other end is a VM, whose connection gives way to none."""
        if self._holding is not None:
            self._holding.begin_work()


def accounted(account: Account | None) -> Callable[..., ServerConnection] | None:
    """Return what makes accepted connections, None if they are in no account."""
    return account and partial(AccountedConnection, account=account)
