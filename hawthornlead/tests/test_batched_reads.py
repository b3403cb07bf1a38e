"""Tests of reads of the store that are requested at once."""

import asyncio

import pytest
from result import Err, Ok

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.batched_reads import MIN_LISTED, BatchedReads
from hawthornlead.gateway.owner_objects import OWNERS_KIND
from hawthornlead.gateway.records import StoreChanges, StoredRecord
from hawthornlead.gateway.vm_leases import LEASES_KIND

from .fakes_leases import Fleet

ENGINES = [f"i-{number}" for number in range(70)]


class Store:
    """Holds objects by name, counts calls, and answers once it is allowed to."""

    def __init__(self):
        self.revision = 1
        self.names = set(ENGINES)
        self.failure = None
        self.calls = []
        self.open = asyncio.Event()
        self.open.set()

    async def get(self, kind, name):
        self.calls.append(f"get {name}")
        await self.open.wait()
        if self.failure:
            return Err(self.failure)
        return Ok(self._record(name) if name in self.names else None)

    async def list_all(self, kind):
        self.calls.append("list")
        await self.open.wait()
        if self.failure:
            return Err(self.failure)
        records = [self._record(name) for name in sorted(self.names)]
        return Ok(StoreChanges(tuple(records), self.revision))

    def _record(self, name):
        return StoredRecord(name, self.revision, {}, None)


@pytest.fixture
async def store():
    return Store()


@pytest.fixture
def reads(store):
    return BatchedReads(store, "things")


async def all_of(reads, names):
    return await asyncio.gather(*(reads.get(name) for name in names))


async def test_many_objects_at_once_cost_one_call(store, reads):
    """Each VM read each engine's owner alone after a power cut: 70 calls, 89 VMs."""
    found = await all_of(reads, ENGINES)
    assert [each.ok_value.name for each in found] == ENGINES
    assert store.calls == ["list"]


async def test_few_objects_are_read_one_by_one(store, reads):
    few = ENGINES[: MIN_LISTED - 1]
    assert [each.ok_value.name for each in await all_of(reads, few)] == few
    assert store.calls == [f"get {name}" for name in few]


async def test_one_object_for_many_costs_one_call(store, reads):
    found = await all_of(reads, ["i-1"] * 70)
    assert {each.ok_value.name for each in found} == {"i-1"}
    assert store.calls == ["get i-1"]


async def test_an_object_that_a_listing_lacks_is_read_alone(store, reads):
    """A listing skips what it can't read; that doesn't mean that there is none."""
    found = await all_of(reads, [*ENGINES, "unreadable"])
    assert found[-1] == Ok(None)
    assert store.calls == ["list", "get unreadable"]


async def test_a_read_that_was_sent_before_is_not_joined(store, reads):
    """It may miss a release of which the caller was just told."""
    store.open.clear()
    first = asyncio.create_task(all_of(reads, ENGINES))
    while not store.calls:
        await asyncio.sleep(0)
    second = asyncio.create_task(all_of(reads, ENGINES))
    while len(store.calls) < 2:
        await asyncio.sleep(0)
    store.open.set()
    await first
    await second
    assert store.calls == ["list", "list"]


async def test_a_listing_that_fails_fails_all(store, reads):
    store.failure = Failure(ErrorKind.STORE_UNAVAILABLE, "answered 503", 1.0)
    found = await all_of(reads, ENGINES)
    assert {each.err_value for each in found} == {store.failure}
    assert store.calls == ["list"]


async def test_a_caller_that_gives_up_takes_nothing_from_the_others(store, reads):
    given_up = asyncio.create_task(reads.get("i-0"))
    others = asyncio.create_task(all_of(reads, ENGINES))
    await asyncio.sleep(0)
    given_up.cancel()
    assert [each.ok_value.name for each in await others] == ENGINES
    assert given_up.cancelled()


async def test_claims_of_many_engines_read_owners_and_leases_twice_in_all():
    """All VMs check all engines at once after a power cut, with two calls for each."""
    fleet = Fleet()
    calls = []
    for operation in ("get", "list_all"):
        made = getattr(fleet.store, operation)

        def counted(kind, *name, made=made):
            calls.append(kind)
            return made(kind, *name)

        setattr(fleet.store, operation, counted)
    assert await fleet.a.lease._renew()
    assert await fleet.b.lease._renew()
    claimed = await asyncio.gather(*(fleet.a.ownerships.claim(e) for e in ENGINES))
    assert all(claimed)
    calls.clear()
    claimed = await asyncio.gather(*(fleet.b.ownerships.claim(e) for e in ENGINES))
    assert not any(claimed)
    assert calls == [OWNERS_KIND, LEASES_KIND]
