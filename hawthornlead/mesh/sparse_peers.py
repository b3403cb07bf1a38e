"""A mesh in which each VM is connected with some of the others only.

The choice is made elsewhere. Permanent connections carry heartbeats; the others are
opened on demand, and are known to work only by the last reply on them::

    mesh.set_links(addresses, eager=frozenset(("gijon-1", "gijon-4")))
    if await mesh.wait_connected("bilbao-3", 0.1):
        reply = await mesh.call("bilbao-3", question, 0.1)
"""

from collections.abc import Callable, Container

from .arrivals import Arrivals
from .connections import Connection
from .peer_sessions import PeerSession
from .peers import PeerMesh


class SparsePeerMesh(PeerMesh):
    """A ``PeerMesh`` that doesn't dial every VM."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self._arrivals = Arrivals()

    def set_links(self, addresses: dict[str, str], eager: Container[str]) -> None:
        """Dial these VMs, by name and address (IP:PORT), and no others.

        Those that are ``eager`` are dialled at once, since they don't dial this VM.
        """
        self._dialler.set_peers(addresses, eager)

    def limit_heartbeats_to(self, vms: Callable[[], Container[str]]) -> None:
        """Send heartbeats only to these VMs, and expect them only from these."""
        self._heartbeats.limit_to(vms)

    def connected(self, vm: str) -> bool:
        """Whether a VM is connected."""
        return vm in self._peers

    def last_seen_at(self, vm: str) -> float | None:
        """Return when a connected VM was last seen, None if it isn't connected."""
        peer = self._peers.get(vm)
        return peer.info.last_seen_at if peer is not None else None

    async def wait_connected(self, vm: str, wait_s: float) -> bool:
        """Wait until a VM that is being dialled is connected; False on a time-out."""
        if vm in self._peers:
            return True
        return await self._arrivals.wait(vm, wait_s)

    def drop(self, vm: str) -> None:
        """Close the connections with a VM; if it is dialled, it is dialled again."""
        peer = self._peers.get(vm)
        for connection in tuple(peer.connections) if peer is not None else ():
            connection.abort("no reply")

    def frame(self, message) -> bytes:
        """Return the frame of a message without a reply."""
        return self._encode(message).unwrap()

    def _admit(self, connection: Connection, hello) -> PeerSession:
        peer = super()._admit(connection, hello)
        self._arrivals.on_connected(hello.vm)
        return peer
