"""Tests of how a daemon builds its parts and in which order it stops them."""

from random import Random

from hawthornlead.daemon.daemons import Daemon
from hawthornlead.settings import default_settings
from hawthornlead.stores.memory_stores import MemoryObjects, MemoryStore
from hawthornlead.timers import TimerService


def _settings():
    return default_settings(
        VM_NAME="vm-1",
        DATA_CENTRE="gijon",
        CALLER_ADDRESS="127.0.0.1:0",
        PEER_ADDRESS="127.0.0.1:0",
        STORE_ADDRESS="127.0.0.1:1",
        VM_LIST_ADDRESS="127.0.0.1:1",
    )


async def test_own_requests_and_those_to_own_targets_are_counted_apart():
    """A VM sends a request to a target that it owns.

    A shared counter would count it twice, and its adapter would appear twice as
    popular as one that is requested elsewhere.
    """
    daemon = Daemon(_settings(), seed=1)
    owners_count = daemon._target_owners._policies.popularity
    assert daemon._requests._routing.popularity is not owners_count


async def test_peer_port_is_closed_after_everything_else(monkeypatch):
    """A VM shuts down while others look for proof that it is gone.

    A peer port that refuses connections is such proof. If it were closed before the
    connections to targets and callers, a successor would act while this process
    still does.
    """
    settings = _settings()
    timers = TimerService()
    parts = {"settings": settings, "timers": timers, "rng": Random(1)}
    objects = MemoryObjects()
    daemon = Daemon(settings, store=MemoryStore(objects, **parts), seed=1)
    await daemon.start()
    (server,) = daemon._servers
    stopped = []

    def record_calls(name, part, method):
        original = getattr(part, method)

        async def call(*args, **kwargs):
            stopped.append(name)
            return await original(*args, **kwargs)

        monkeypatch.setattr(part, method, call)

    record_calls("mesh", daemon._mesh, "stop")
    record_calls("callers", server, "close_all_connections")
    record_calls("owners", daemon._owners, "release_all")
    record_calls("lease", daemon._leases, "release")
    record_calls("targets", daemon._target_owners, "stop")
    close = daemon._connections.close

    def close_targets():
        stopped.append("connections")
        close()

    monkeypatch.setattr(daemon._connections, "close", close_targets)
    await daemon.stop()
    timers.stop()
    assert stopped == ["targets", "owners", "lease", "connections", "callers", "mesh"]
