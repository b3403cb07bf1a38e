"""Tests of placing requests when engines are full or at their limits."""

import pytest
from prometheus_client import CollectorRegistry
from result import Err, Ok

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.placers import PlacementRequest, Placer
from hawthornlead.gateway.records import (
    CallerRequest,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    ServiceShare,
    ServiceSpec,
    TargetEntry,
)
from hawthornlead.gateway.run_times import RunTimes
from hawthornlead.gateway.target_choices import Holding
from hawthornlead.gateway.target_searches import MAX_FULL_TRIES, MIN_FULL_RETRY_S
from hawthornlead.messages.gateways import AdapterLoaded, LoadAdapter, PromptReserved
from hawthornlead.timers import ManualTimerService

SPEC = EngineSpec(64, 100_000, 200.0, 5, 6.0, (ModelSpec("tide", 100.0, 2.0, 9, 1.0),))
SERVICE = ServiceSpec("llm", "/health", 100, SPEC)
ROUTE = Route(
    "notes",
    "a.example",
    "/notes/",
    RouteKind.STREAMING,
    4000.0,
    1000.0,
    1,
    (ServiceShare("llm", 1.0),),
    1,
    False,
    400.0,
)
REQUEST = CallerRequest("r1", 4000.0, "tide", "a1", 500, 50, 50, "")


class FakeTargets:
    """Engines that hold nothing, with owners that answer."""

    def __init__(self, count):
        self.entries = {}
        for number in range(count):
            target = f"e{number}"
            self.entries[target] = TargetEntry(
                target, "llm", f"10.0.0.{number}:80", "gijon", 64, False, None, ()
            )

    def of_service(self, service):
        return tuple(self.entries.values())

    def holding(self, entry, service, key):
        return Holding.ABSENT

    def is_orderable(self, target):
        return True

    def owner(self, target):
        return f"owner-of-{target}"

    def is_current(self, entry):
        return True

    def turn_at(self, target):
        return 0.0

    def record_turn(self, target, wait_s):
        """Take what an owner said of prompts."""

    def arriving(self, target):
        return 0

    def version(self, key):
        return 0


class Quiet:
    """Targets without requests and without failures."""

    def running(self, target):
        return 0

    def is_suspect(self, target):
        return False

    def cost_ms(self, target, slowness=1.0):
        return 0.0


class Unlimited:
    """Targets that set no limit and ask for no backoff."""

    def is_limited(self, target):
        return False

    def wait_s(self, target):
        return 0.0

    def acquire(self, target):
        return True


class FakeMesh:
    """Owners whose engines have a free slot after the times in ``waits``."""

    vm = "vm-1"

    def __init__(self, waits):
        self.waits = waits
        self.asked = []
        self.reserved = []
        self.turn_s = None

    async def call(self, vm, message, timeout=None):
        if not isinstance(message, LoadAdapter):
            self.reserved.append(message)
            return Ok(PromptReserved(0.0, True, True))
        self.asked.append(message)
        wait_s = self.waits[message.target]
        if wait_s <= message.slot_wait_s:
            return Ok(AdapterLoaded(1, self.turn_s))
        return Err(Failure(ErrorKind.NO_SLOT, "no slot to spare", wait_s))


class FakeLimits(Unlimited):
    """Targets of which some are at their limits; ``taken`` are requests for them."""

    def __init__(self, waits):
        self.waits = waits
        self.taken = []

    def is_limited(self, target):
        return target in self.waits

    def wait_s(self, target):
        return self.waits.get(target, 0.0)

    def acquire(self, target):
        self.taken.append(target)
        return not self.wait_s(target)

    def refund(self, target):
        self.taken.remove(target)


class Site:
    """A placer with engines whose slots become free after ``waits``."""

    def __init__(self, waits, limits=None):
        self.mesh = FakeMesh({f"e{number}": wait for number, wait in enumerate(waits)})
        self.timers = ManualTimerService()
        self.targets = FakeTargets(len(waits))
        self.placer = Placer(
            data_centre="gijon",
            targets=self.targets,
            loads=Quiet(),
            healths=Quiet(),
            limits=limits or Unlimited(),
            backoffs=Unlimited(),
            mesh=self.mesh,
            timers=self.timers,
            metrics=GatewayMetrics(CollectorRegistry()),
            run_times=RunTimes(),
        )
        self.placer.apply_configuration(Configuration(1, (ROUTE,), (SERVICE,), None))

    async def place(self, software=None):
        now = self.timers.now()
        request = PlacementRequest(
            ROUTE, "llm", REQUEST, now, now + 4.0, frozenset(), software
        )
        return await self.placer.place(request)

    def run_software(self, *versions):
        """Have the engines run these software versions, one each."""
        for target, version in zip(self.targets.entries, versions, strict=True):
            entry = self.targets.entries[target]
            self.targets.entries[target] = entry._replace(software=version)


async def test_one_free_slot_among_many_full_engines_is_found():
    """A caller is refused although an engine has a free slot.

    Three engines were asked and were full; the other six were not asked.
    """
    site = Site([0.9] * 8 + [0.0])
    placed = await site.place()
    assert placed.unwrap().entry.target == "e8"


async def test_where_all_are_full_the_request_waits_for_the_next_slot():
    site = Site([0.9, 0.2, 0.9])
    placed = await site.place()
    assert placed.unwrap().entry.target == "e1"
    assert site.mesh.asked[-1].slot_wait_s > 0.2


async def test_a_request_that_cannot_start_in_time_is_refused_without_a_wait():
    site = Site([2.0, 0.9, 3.0])
    refused = (await site.place()).unwrap_err()
    assert refused.kind is ErrorKind.NO_SLOT
    assert refused.retry_after_s == 0.9
    assert {message.slot_wait_s for message in site.mesh.asked} == {0.0}


async def test_a_caller_is_not_told_to_retry_while_the_engines_are_still_full():
    site = Site([0.6, 0.6])
    refused = (await site.place()).unwrap_err()
    assert refused.retry_after_s >= MIN_FULL_RETRY_S


@pytest.mark.parametrize("count", [MAX_FULL_TRIES, 70])
async def test_in_a_large_fleet_not_all_are_asked_and_the_request_still_waits(count):
    """With 70 engines a request is refused that could have waited 0.5 s.

    It stopped after a dozen full engines, before it asked to wait at any.
    """
    site = Site([0.5] * count)
    placed = await site.place()
    assert placed.is_ok()
    assert len(site.mesh.asked) == MAX_FULL_TRIES + 1


async def test_an_engine_at_its_limit_is_left_for_another():
    limits = FakeLimits({"e0": 2.0, "e1": 0.0})
    placed = (await Site([0.0, 0.0], limits).place()).unwrap()
    assert placed.entry.target == "e1"
    assert placed.counted
    assert limits.taken == ["e1"]


async def test_where_all_are_at_their_limits_the_request_is_refused_at_once():
    site = Site([0.0, 0.0], FakeLimits({"e0": 9.0, "e1": 1.5}))
    failure = (await site.place()).err_value
    assert failure.kind is ErrorKind.OVERLOADED
    assert failure.retry_after_s == 1.5
    assert site.mesh.asked == []


async def test_a_request_that_finds_no_slot_is_refunded_to_the_limit():
    limits = FakeLimits({"e0": 0.0})
    assert (await Site([9.0], limits).place()).is_err()
    assert limits.taken == []


async def test_a_bound_stream_is_placed_at_the_one_engine_of_its_version():
    """Guards against a stream that is refused as other versions use up its tries."""
    site = Site([0.0] * 8 + [0.3])
    site.run_software(*["v2"] * 8, "v1")
    placed = (await site.place("v1")).unwrap()
    assert placed.entry.target == "e8"
    assert {message.target for message in site.mesh.asked} == {"e8"}


async def test_a_bound_stream_is_refused_at_once_where_no_engine_runs_its_version():
    site = Site([0.0] * 3)
    site.run_software("v2", "v2", "")
    failure = (await site.place("v1")).err_value
    assert failure.detail == "no target runs software version v1"
    assert site.mesh.asked == []
    assert (await site.place("")).is_err()


@pytest.mark.parametrize("changed", [0, 1])
async def test_an_engine_that_changed_its_version_during_the_search_is_left_out(
    changed,
):
    """Guards against scores that are older than the entry of their target."""
    site = Site([0.0] * 3)
    site.run_software("v1", "v1", "v1")
    call = site.mesh.call

    async def fill_and_change(vm, message, timeout=None):
        if not site.mesh.asked:
            others = [each for each in site.mesh.waits if each != message.target]
            entry = site.targets.entries[others[changed]]
            site.targets.entries[entry.target] = entry._replace(software="v2")
            site.mesh.waits[message.target] = 0.9
        return await call(vm, message, timeout)

    site.mesh.call = fill_and_change
    placed = (await site.place("v1")).unwrap()
    assert site.targets.entries[placed.entry.target].software == "v1"
    assert all(
        site.targets.entries[message.target].software == "v1"
        for message in site.mesh.asked
    )


@pytest.mark.parametrize(("turn_s", "reserved"), [(None, 1), (0.0, 0)])
async def test_a_turn_given_with_the_adapter_is_not_asked_for_again(turn_s, reserved):
    """A prompt takes two turns of its engine, one of which nobody uses."""
    site = Site([0.0])
    site.mesh.turn_s = turn_s
    placed = (await site.place()).unwrap()
    assert len(site.mesh.reserved) == reserved
    assert placed.turn_s == 0.0
    assert placed.foreseen is (turn_s is not None)
    assert site.mesh.asked[0].tokens == REQUEST.prompt_tokens
