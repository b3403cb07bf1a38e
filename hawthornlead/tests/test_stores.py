"""Tests of the object API clients: conditional updates, lost replies, watches."""

import asyncio
import random

import pytest

from hawthornlead.errors import ErrorKind
from hawthornlead.settings import default_settings
from hawthornlead.stores.http_stores import HttpObjectStore
from hawthornlead.stores.memory_stores import MemoryObjects, MemoryStore
from hawthornlead.stores.stores import StoreList, may_have_taken_effect
from hawthornlead.timers import ManualTimerService, TimerService

from .standins.object_api import ObjectApiStandIn


def make_store(objects=None, timers=None, name="vm-1", seed=1) -> MemoryStore:
    return MemoryStore(
        objects,
        settings=default_settings(VM_NAME=name, WATCH_SILENT_S=4.0),
        timers=timers or ManualTimerService(),
        rng=random.Random(seed),
    )


def add_one(value):
    return {**(value or {}), "n": (value or {}).get("n", 0) + 1}


async def test_conditional_put():
    store = make_store()
    first = (await store.put("k", "a", {"n": 1}, None)).ok_value
    assert (await store.put("k", "a", {"n": 2}, None)).err_value.kind is (
        ErrorKind.VERSION_CONFLICT
    )
    assert (await store.put("k", "a", {"n": 2}, first.version)).is_ok()
    assert (await store.put("k", "a", {"n": 3}, first.version)).is_err()
    big = {"n": "x" * (1 << 20)}
    assert (await store.put("k", "b", big, None)).err_value.kind is ErrorKind.TOO_LARGE


async def test_lost_reply_takes_effect_once():
    # A counter is raised twice by one change: the write took effect, its reply was
    # lost, and the writer wrote again.
    store = make_store()
    for lost in (1, 0, 1):
        store.lose_next_reply = lost
        assert (await store.update("k", "a", add_one)).is_ok()
    assert (await store.get("k", "a")).ok_value.value["n"] == 3


async def test_lost_reply_then_others_write():
    # As above, but other writers change the object before the first one reads it
    # back, so the newest write id is not its own. After up to 15 other writes it still
    # finds its id; after more it reports that the write may have taken effect.
    for others, known in ((15, True), (16, False)):
        objects = MemoryObjects()
        store, other = make_store(objects), make_store(objects, name="vm-2", seed=2)
        store.lose_next_reply = 1
        put = store._put

        async def put_then_others(*args, put=put, other=other, others=others):
            outcome = await put(*args)
            for _ in range(others):
                assert (await other.update("k", "a", add_one)).is_ok()
            return outcome

        store._put = put_then_others
        updated = await store.update("k", "a", add_one)
        assert updated.is_ok() is known
        assert known or may_have_taken_effect(updated.err_value)
        assert (await other.get("k", "a")).ok_value.value["n"] == others + 1


async def test_outage_reports_whether_a_write_may_have_taken_effect():
    store = make_store()
    store.outage = True
    failure = (await store.update("k", "a", add_one)).err_value
    assert failure.kind is ErrorKind.STORE_UNAVAILABLE
    assert failure.retry_after_s and not may_have_taken_effect(failure)
    failure = (await store.put("k", "a", {}, None)).err_value
    assert may_have_taken_effect(failure)


async def test_nothing_to_do_writes_nothing():
    store = make_store()
    assert (await store.update("k", "a", lambda value: None)).is_ok()
    assert store.objects.writes == 0


async def test_concurrent_updates_all_count():
    objects, timers = MemoryObjects(), TimerService()
    stores = [make_store(objects, timers, f"vm-{i}", seed=i) for i in range(8)]
    await asyncio.gather(*(store.update("k", "a", add_one) for store in stores))
    assert objects.get("k", "a").value["n"] == 8


async def test_stale_read_is_read_again():
    # A read is delayed in the network while a newer one is answered. Its late answer
    # would return the old value to the reader.
    store = make_store()
    await store.update("k", "a", add_one)
    old = await store._get("k", "a")
    await store.update("k", "a", add_one)
    fresh, late = store._get, [old]

    async def late_then_fresh(kind, name):
        return late.pop() if late else await fresh(kind, name)

    store._get = late_then_fresh
    assert (await store.get("k", "a")).ok_value.value["n"] == 2
    late[:] = [old] * 5
    assert (await store.get("k", "a")).is_err()


class Follower:
    """Records the events that a watch reports."""

    def __init__(self, store):
        self.seen = []
        self.synced = 0
        self.watch = store.watch("k", self.on_event, self.on_synced)

    def on_event(self, event):
        self.seen.append((event.type, event.object.name, event.object.value.get("n")))

    def on_synced(self):
        self.synced += 1


async def followed(store, timers):
    follower = Follower(store)
    await timers.advance(0)
    return follower


async def test_watch_lists_then_follows():
    timers = ManualTimerService()
    store = make_store(timers=timers)
    stored = (await store.put("k", "a", {"n": 1}, None)).ok_value
    await store.put("other", "x", {"n": 9}, None)
    follower = await followed(store, timers)
    stored = (await store.put("k", "a", {"n": 2}, stored.version)).ok_value
    await store.delete("k", "a", stored.version)
    await timers.advance(0)
    assert follower.seen == [("put", "a", 1), ("put", "a", 2), ("delete", "a", None)]
    assert follower.synced == 1


@pytest.mark.parametrize("history_discarded", [False, True])
async def test_watch_resumes_or_relists(history_discarded):
    # The connection of a watch ends; meanwhile one object changes and another is
    # deleted. If the store has discarded its history, only a list shows it.
    timers = ManualTimerService()
    store = make_store(timers=timers)
    gone = (await store.put("k", "gone", {"n": 1}, None)).ok_value
    follower = await followed(store, timers)
    store.cut_watches()
    await timers.advance(0)
    await store.put("k", "new", {"n": 2}, None)
    await store.delete("k", "gone", gone.version)
    if history_discarded:
        store.objects.forget_history()
    await timers.advance(10)
    assert sorted(follower.seen[1:]) == [("delete", "gone", None), ("put", "new", 2)]
    assert follower.synced == (2 if history_discarded else 1)


async def test_silent_watch_is_reopened():
    # A device between store and VM drops the state of the open connection: nothing
    # arrives on it any more, although new connections work.
    timers = ManualTimerService()
    store = make_store(timers=timers)
    follower = await followed(store, timers)
    await timers.advance(20)
    assert follower.seen == []
    store.silence_watches()
    await store.put("k", "a", {"n": 1}, None)
    await timers.advance(8)
    assert follower.seen == [("put", "a", 1)]


async def test_watch_drops_stale_events():
    # A connection thought dead still delivers an old event after a newer one.
    timers = ManualTimerService()
    store = make_store(timers=timers)
    follower = await followed(store, timers)
    old = (await store.put("k", "a", {"n": 1}, None)).ok_value
    new = (await store.put("k", "a", {"n": 2}, old.version)).ok_value
    await store.delete("k", "a", new.version)
    await timers.advance(0)
    seen = list(follower.seen)
    store.objects._publish("k", "put", old)
    store.objects._publish("k", "put", new)
    await timers.advance(0)
    assert follower.seen == seen


async def test_watch_refuses_older_list():
    # A late list dates from before an object was deleted, and then an old event
    # arrives. Neither may bring the object back.
    timers = ManualTimerService()
    store = make_store(timers=timers)
    follower = await followed(store, timers)
    first = (await store.put("k", "a", {"n": 1}, None)).ok_value
    second = (await store.put("k", "a", {"n": 2}, first.version)).ok_value
    await store.delete("k", "a", second.version)
    await timers.advance(61)
    store.cut_watches()
    await timers.advance(5)
    assert follower.synced == 2
    seen = list(follower.seen)
    follower.watch._apply_list(StoreList(first.version, (first,)))
    store.objects._publish("k", "put", second)
    await timers.advance(0)
    assert follower.seen == seen


async def test_watch_survives_outage():
    timers = ManualTimerService()
    store = make_store(timers=timers)
    store.outage = True
    follower = await followed(store, timers)
    await timers.advance(30)
    store.outage = False
    await store.put("k", "a", {"n": 1}, None)
    await timers.advance(5)
    assert follower.seen == [("put", "a", 1)]


@pytest.fixture
async def stand_in():
    started = ObjectApiStandIn(bookmark_s=0.05)
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
async def http_store(stand_in):
    made = HttpObjectStore(
        settings=default_settings(
            VM_NAME="vm-1",
            STORE_ADDRESS=stand_in.address,
            STORE_TIMEOUT_S=1.0,
            WATCH_SILENT_S=0.3,
        ),
        timers=TimerService(),
        rng=random.Random(1),
    )
    yield made
    await made.stop()


async def test_http_store(stand_in, http_store):
    store = http_store
    assert (await store.get("k", "a/b")).ok_value is None
    seen = asyncio.Queue()
    store.watch("k", seen.put_nowait)
    for _ in range(2):
        assert (await store.update("k", "a/b", add_one)).is_ok()
    while (event := await seen.get()).object.value["n"] != 2:
        pass
    stored = (await store.get("k", "a/b")).ok_value
    assert stored.value["n"] == 2
    assert event.object == stored
    listed = (await store.list("k")).ok_value
    assert listed.items == (stored,)
    for version in (None, 99):
        failure = (await store.put("k", "a/b", {}, version)).err_value
        assert failure.kind is ErrorKind.VERSION_CONFLICT
    big = {"n": "x" * (1 << 20)}
    assert (await store.put("k", "c", big, None)).err_value.kind is ErrorKind.TOO_LARGE
    assert (await store.delete("k", "a/b", stored.version)).is_ok()
    assert (await seen.get()).type == "delete"


async def test_http_lost_reply(stand_in, http_store):
    # The connection closes without an answer after the write took effect.
    stand_in.set_faults(lose_replies=1)
    assert (await http_store.update("k", "a", add_one)).is_ok()
    assert stand_in.objects["k", "a"].value["n"] == 1
    assert len(stand_in.writes) == 1


async def test_http_outage(stand_in, http_store):
    stand_in.set_faults(outage=True)
    failure = (await http_store.put("k", "a", {}, None)).err_value
    assert failure.kind is ErrorKind.STORE_UNAVAILABLE
    assert may_have_taken_effect(failure)
    await stand_in.stop()
    failure = (await http_store.put("k", "a", {}, None)).err_value
    assert failure.kind is ErrorKind.STORE_UNAVAILABLE
    assert not may_have_taken_effect(failure)


@pytest.mark.parametrize("trouble", ["silent", "expire", "outage"])
async def test_http_watch_recovers(stand_in, http_store, trouble):
    # The watch's connection goes silent forever, or the store discards its history,
    # or is down for a while. Changes made meanwhile must still be reported.
    seen = asyncio.Queue()
    synced = asyncio.Event()
    http_store.watch("k", seen.put_nowait, synced.set)
    await synced.wait()
    while not stand_in.watchers:
        await asyncio.sleep(0.01)
    stand_in.set_faults(**{trouble: True})
    stand_in.store("k", "a", {"n": 1})
    if trouble == "outage":
        stand_in.set_faults(outage=False)
    assert (await seen.get()).object.value == {"n": 1}
