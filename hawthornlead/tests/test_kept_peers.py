"""Tests of which idle connection is taken for a proved writer."""

from collections import deque

from hawthornlead.connections.connection_pools import Connection, _Kept, _pop_newest


def kept(*peers):
    """Return idle connections, the oldest first, whose peers stated these."""
    connections = deque()
    for number, peer in enumerate(peers):
        connection = Connection(None, number)
        connection.peer = peer
        connections.append(_Kept(10.0, connection))
    return connections


def test_the_newest_connection_to_a_peer_is_taken_before_all_others():
    """Guards against a report for each stream beside connections that need none."""
    idle = kept("e1", "e1", None, "e2")
    assert _pop_newest(idle, "e1").connection.number == 1
    assert _pop_newest(idle, None).connection.number == 3
    assert _pop_newest(idle, "e3").connection.number == 2
    assert len(idle) == 1
