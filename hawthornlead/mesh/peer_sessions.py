"""The session with one connected VM: its connections, and which to send on."""

from ..messages import Heartbeat, Hello
from .connections import Connection
from .meshes import PeerInfo


class PeerSession:
    """The connections with one incarnation of another VM."""

    def __init__(self, hello: Hello):
        self._last_seen_at = 0.0
        self.hello = hello
        self.heartbeat: Heartbeat | None = None
        self.connections: list[Connection] = []
        self.open_handlers = 0

    @property
    def info(self) -> PeerInfo:
        """The VM as other modules see it."""
        for connection in self.connections:
            self._last_seen_at = max(self._last_seen_at, connection.last_seen_at)
        vm, incarnation, data_centre, address, _ = self.hello
        return PeerInfo(
            vm, incarnation, data_centre, address, self.heartbeat, self._last_seen_at
        )

    def add(self, connection: Connection) -> None:
        """Add a connection, replacing an older one that the same end dialled."""
        for older in tuple(self.connections):
            if older.dialled == connection.dialled:
                older.abort("replaced by a fresh connection")
                self.connections.remove(older)
        self.connections.append(connection)

    def best(self, own: str, seen_after: float) -> Connection:
        """Return the connection to send on.

        Recently active ones come first, then the one that the lesser name dialled.
        """
        first = own < self.hello.vm
        return max(
            self.connections,
            key=lambda each: (each.last_seen_at > seen_after, each.dialled == first),
        )

    def spare(self, own: str, opened_before: float) -> list[Connection]:
        """Return the redundant connections that ``own`` dialled and should close.

        Both ends must have had time to switch to the other one, or replies in flight
        would be lost with the connection.
        """
        if len(self.connections) < 2 or own < self.hello.vm:
            return []
        if any(each.opened_at > opened_before for each in self.connections):
            return []
        return [each for each in self.connections if each.dialled]
