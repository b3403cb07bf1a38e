"""Which connections carry heartbeats, their interval, and which ones are silent."""

from collections.abc import Callable, Collection, Container, Iterable

from ..settings import Settings
from .connections import Connection

# An interval of this much per peer keeps the CPU time for heartbeats constant, however
# many peers there are.
HEARTBEAT_INTERVAL_PER_PEER_S = 0.02


class HeartbeatSchedule:
    """The heartbeats of one VM: with all its peers, or only with some of them.

    If only some connections carry heartbeats, silence on the others means nothing: such
    a connection is found dead when a call on it gets no reply.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._limited_to: Callable[[], Container[str]] | None = None

    def limit_to(self, vms: Callable[[], Container[str]]) -> None:
        """Send heartbeats only on the connections with these VMs."""
        self._limited_to = vms

    def carried_by(self, peers: Iterable[str]) -> list[str]:
        """Return the peers whose connections carry heartbeats."""
        if self._limited_to is None:
            return list(peers)
        vms = self._limited_to()
        return [vm for vm in peers if vm in vms]

    def interval_s(self, peers: Collection[str]) -> float:
        """Return the interval between heartbeats, which grows with the peers."""
        if self._limited_to is not None:
            return self._settings["HEARTBEAT_S"]
        return max(
            self._settings["HEARTBEAT_S"], HEARTBEAT_INTERVAL_PER_PEER_S * len(peers)
        )

    def silent(
        self, connections: Iterable[Connection], peers: Collection[str], now: float
    ) -> list[Connection]:
        """Return the connections on which heartbeats were due and nothing came.

        The silence allowed grows with the interval of heartbeats, since the other end
        uses the same interval.
        """
        factor = self.interval_s(peers) / self._settings["HEARTBEAT_S"]
        seen_after = now - self._settings["PEER_SILENT_S"] * factor
        vms = self._limited_to() if self._limited_to is not None else None
        silent = []
        for connection in connections:
            if connection.last_seen_at >= seen_after:
                continue
            hello = connection.hello
            if vms is None or hello is None or hello.vm in vms:
                silent.append(connection)
        return silent
