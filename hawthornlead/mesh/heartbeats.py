"""Which connections carry heartbeats, how often, and after how long one is silent."""

from collections.abc import Callable, Collection, Container, Iterable

from ..settings import Settings
from .connections import Connection

# At this time a peer heartbeats take the same share of a core however many peers there
# are.
BEAT_EACH_S = 0.02


class Beats:
    """The heartbeats of one VM: with all its peers, or only with some of them.

    Where only some connections carry them, silence on the others means nothing: a
    caller whose question has no answer finds out that such a connection is dead.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._beaten: Callable[[], Container[str]] | None = None

    def only(self, beaten: Callable[[], Container[str]]) -> None:
        """Let only the connections with these VMs carry heartbeats."""
        self._beaten = beaten

    def of(self, peers: Iterable[str]) -> list[str]:
        """Return the peers whose connections carry heartbeats."""
        if self._beaten is None:
            return list(peers)
        beaten = self._beaten()
        return [vm for vm in peers if vm in beaten]

    def pause_s(self, peers: Collection[str]) -> float:
        """Return the time between two heartbeats; the more peers, the longer."""
        if self._beaten is not None:
            return self._settings["HEARTBEAT_S"]
        return max(self._settings["HEARTBEAT_S"], BEAT_EACH_S * len(peers))

    def silent(
        self, connections: Iterable[Connection], peers: Collection[str], now: float
    ) -> list[Connection]:
        """Return the connections on which heartbeats were due and nothing came.

        The time allowed grows as the time between heartbeats does: the other end beats
        as seldom.
        """
        stretched = self.pause_s(peers) / self._settings["HEARTBEAT_S"]
        heard_after = now - self._settings["PEER_SILENT_S"] * stretched
        beaten = self._beaten() if self._beaten is not None else None
        silent = []
        for connection in connections:
            if connection.last_seen_at >= heard_after:
                continue
            hello = connection.hello
            if beaten is None or hello is None or hello.vm in beaten:
                silent.append(connection)
        return silent
