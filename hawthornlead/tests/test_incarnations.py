"""Tests of what one VM believes of a target that starts again under its id."""

import asyncio

import pytest
from result import Err, Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventRing
from hawthornlead.gateway.crash_watches import (
    BREAK_BATCH_S,
    RESTART_SEEN_S,
    BrokenRequest,
    CrashWatch,
)
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.records import (
    Incarnation,
    Loss,
    RestartSeen,
    ServiceSpec,
    StoredRecord,
)
from hawthornlead.gateway.request_signatures import RequestSignature
from hawthornlead.gateway.target_choices import Holding
from hawthornlead.gateway.target_loads import TargetLoads
from hawthornlead.gateway.target_tables import TargetTable
from hawthornlead.messages.gateways import (
    AdapterUse,
    HeldAdapter,
    HeldAdapters,
    TargetHoldings,
    TargetLoad,
    VmLoads,
)
from hawthornlead.timers import ManualTimerService

from .standins.platform_engine import PlatformEngine

KEY = AdapterKey("tide", "a1")
SERVICE = ServiceSpec("llm", "/health", 50, engine=True)
FIRST, SECOND, THIRD = 1000, 2000, 3000


class Reaching:
    """Memberships that reach every VM."""

    def is_reachable(self, vm):
        return True


class Site:
    """What one VM knows of the engine ``e1``, and what it told of restarts."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.events = EventRing("vm-1", HybridClock(self.timers))
        self.targets = TargetTable(
            memberships=Reaching(), timers=self.timers, events=self.events
        )
        self.restarts = []
        self.lost = []
        self.targets.subscribe(lambda *lost: self.lost.append(lost))
        self.targets.subscribe_restarts(
            lambda former, entry: self.restarts.append(
                (former.started_ms, entry.started_ms)
            )
        )
        self._revision = 0

    def enter(self, started_ms, address="10.0.0.1:80", state="ready", software="v1"):
        """Take the engine's entry, newer than all before."""
        engine = PlatformEngine("e1", "llm", "tide")
        engine.born, engine.address = started_ms, address
        engine.software = software
        self._revision += 1
        record = StoredRecord("e1", self._revision, engine.entry(state), None)
        self.targets.apply_entry(record)

    def tell(self, started_ms, ready=True, fence=1, number=1, vm="vm-2"):
        """Take its owner's word that it holds the adapter."""
        held = HeldAdapters.of([HeldAdapter(*KEY, 1, ready)])
        told = TargetHoldings("e1", fence, number, ("tide",), held, 0.5, started_ms)
        self.targets.apply_holdings(vm, told)

    @property
    def started_ms(self):
        """The start that is known."""
        return self.targets.entries["e1"].started_ms

    @property
    def holding(self):
        """How the engine is believed to hold the adapter."""
        return self.targets.holding(self.targets.entries["e1"], SERVICE, KEY)


@pytest.fixture
def site():
    """A VM that knows the engine's first start, with an adapter."""
    made = Site()
    made.enter(FIRST)
    made.tell(FIRST)
    assert made.holding is Holding.READY
    return made


@pytest.mark.parametrize("address", ["10.0.0.1:80", "10.0.0.9:80"])
def test_an_entry_of_another_start_drops_all_belief(site, address):
    site.enter(SECOND, address)
    assert site.holding is Holding.ABSENT
    assert site.targets.turn_at("e1") == 0
    assert site.restarts == [(FIRST, SECOND)]
    assert site.lost == [(Incarnation("e1", FIRST), Loss.RESTARTED)]
    assert site.targets.entries["e1"].address == address
    assert site.targets.owner("e1") == "vm-2"
    (logged,) = [e for e in site.events.newest("e1") if "former_started_ms" in e.text]
    for text in (f"former_started_ms={FIRST}", f"started_ms={SECOND}", "seen=entry"):
        assert text in logged.text


def test_an_entry_of_the_same_start_drops_nothing(site):
    site.enter(FIRST, state="draining")
    site.enter(FIRST, "10.0.0.9:80")
    assert site.holding is Holding.READY
    assert not site.restarts


def test_an_entry_goes_by_the_order_of_revisions_not_by_its_clock(site):
    """An engine whose clock was set back at its restart is taken for the former one."""
    site.enter(FIRST - 500)
    assert site.restarts == [(FIRST, FIRST - 500)]
    assert site.holding is Holding.ABSENT


def test_a_word_of_a_later_start_drops_the_former_before_its_entry_comes(site):
    """A VM whose watch is behind sends requests to what is long gone."""
    site.targets.observe_incarnation(
        Incarnation("e1", SECOND), RestartSeen.PEER_MESSAGE
    )
    assert site.started_ms == SECOND
    assert site.holding is Holding.UNKNOWN
    site.tell(SECOND, ready=False)
    assert site.holding is Holding.ARRIVING
    # An entry of the former start that was on its way, and then the new one's.
    site.enter(FIRST, state="draining")
    assert site.started_ms == SECOND
    assert site.targets.is_usable("e1")
    site.enter(SECOND, "10.0.0.9:80")
    assert site.holding is Holding.ARRIVING
    assert site.targets.entries["e1"].address == "10.0.0.9:80"
    assert site.restarts == [(FIRST, SECOND)]


def test_a_word_of_a_former_start_is_never_applied_to_a_later_one(site):
    """Requests go to an engine that started again, for what its former start held.

    The word of its owner about the former start came after the new start's entry.
    """
    site.enter(SECOND)
    site.tell(FIRST, number=9)
    assert site.holding is Holding.ABSENT
    assert not site.targets.observe_incarnation(
        Incarnation("e1", FIRST), RestartSeen.REPORT
    )
    assert site.started_ms == SECOND
    assert len(site.restarts) == 1


def test_words_before_the_first_entry_count_for_their_start_only():
    site = Site()
    site.tell(SECOND)
    site.enter(SECOND)
    assert site.holding is Holding.READY
    other = Site()
    other.tell(FIRST)
    other.enter(SECOND)
    assert other.holding is Holding.ABSENT
    assert not other.restarts


def test_an_older_owner_is_not_heard_on_a_later_start_either(site):
    site.tell(FIRST, fence=4, vm="vm-3")
    site.enter(SECOND)
    site.tell(SECOND, fence=3, vm="vm-2")
    assert site.holding is Holding.ABSENT
    assert site.targets.owner("e1") == "vm-3"


def test_three_starts_in_a_row_are_each_told_once(site):
    site.enter(SECOND)
    site.targets.observe_incarnation(Incarnation("e1", THIRD), RestartSeen.REPORT)
    site.enter(THIRD)
    site.tell(SECOND)
    assert site.restarts == [(FIRST, SECOND), (SECOND, THIRD)]


def test_an_entry_without_the_start_that_was_told_before_is_another_writers(site):
    with pytest.raises(ValueError, match="start"):
        site.enter(None)
    assert site.started_ms == FIRST
    assert site.holding is Holding.READY
    # Nor does it become one by the engine's own entry having gone.
    site.targets.remove_entry("e1")
    with pytest.raises(ValueError, match="start"):
        site.enter(None)


def test_where_starts_are_not_told_an_address_or_a_count_tells():
    """An engine that tells no start is taken for the former one for good."""
    site = Site()
    site.enter(None)
    site.tell(None)
    site.enter(None)
    assert not site.restarts
    site.enter(None, "10.0.0.9:80")
    assert site.holding is Holding.ABSENT
    site.targets.on_order_count_reset("e1")
    site.enter(None, "10.0.0.9:80")
    assert site.restarts == [(None, 1), (1, 2)]
    # Another VM hears of the made-up start from the owner.
    other = Site()
    other.enter(None)
    other.tell(None)
    other.tell(1, ready=False)
    assert other.holding is Holding.ARRIVING


def test_an_entry_that_lapsed_and_returns_is_the_same_start(site):
    site.targets.remove_entry("e1")
    assert site.lost == [(Incarnation("e1", FIRST), Loss.ENTRY_GONE)]
    site.enter(FIRST)
    assert not site.restarts


def test_requests_at_a_former_start_are_not_counted(site):
    """A sound engine gets no requests, as those of its former start still count.

    Other VMs that hadn't heard of the restart went on telling of theirs, and this
    VM's own ended later, taking away from the count of the new start.
    """
    loads = TargetLoads(timers=site.timers, incarnation=site.targets.incarnation)
    site.targets.subscribe_restarts(lambda former, _: loads.on_restarted(former.target))
    used = (AdapterUse(*KEY, 4, 4),)
    loads.apply_loads("vm-2", VmLoads((TargetLoad("e1", 4, used, FIRST),)))
    for key in (KEY, KEY, None):
        loads.on_request_started("e1", key)
    assert loads.running("e1") == 7
    site.enter(SECOND)
    assert loads.running("e1") == 0
    assert loads.adapters_running("e1") == {}
    loads.on_request_started("e1", KEY)
    for key in (KEY, KEY, None):
        loads.on_request_ended("e1", key)
    assert loads.running("e1") == 1
    assert loads.build_update().loads == (
        TargetLoad("e1", 1, (AdapterUse(*KEY, 1, 1),), SECOND),
    )
    loads.on_request_ended("e1", KEY)
    assert loads.own_total == 0
    loads.apply_loads("vm-2", VmLoads((TargetLoad("e1", 2, used, SECOND),)))
    assert loads.running("e1") == 2


class Opening:
    """Connections to an address that refuses, or takes, a new one."""

    def __init__(self):
        self.takes = False

    async def open(self, address, fresh=False):
        if self.takes:
            return Ok(self)
        return Err(Failure(ErrorKind.TARGET_UNREACHABLE, address))

    def close(self):
        """Close the connection."""

    def forget(self, address):
        """Close what is idle."""


class Deaths:
    """A crash watch and what it told."""

    def __init__(self, site):
        self._timers = site.timers
        self.told = []
        self.connections = Opening()
        self.watch = CrashWatch(
            quarantines=self,
            connections=self.connections,
            timers=site.timers,
            events=site.events,
        )

    async def broke(self, entry, fingerprint):
        """Have a connection break, and let the watch look."""
        request = BrokenRequest(RequestSignature(fingerprint, fingerprint, ()), False)
        self.watch.on_connection_broken(entry, request)
        await asyncio.sleep(0)
        await self._timers.advance(2 * BREAK_BATCH_S)

    def report_death(self, target, incarnation, fingerprints, prompts, survived):
        self.told.append((incarnation, sorted(fingerprints)))

    def unanswered(self, parts):
        """Return the parts that no target has answered."""
        return parts


async def test_each_start_of_a_target_dies_once(site):
    """A request crashes the same engine again and again, and is never refused.

    Its id stood for its incarnation, which dies once, so that all deaths under one
    id counted as one.
    """
    deaths = Deaths(site)
    for started_ms in (SECOND, THIRD):
        await deaths.broke(site.targets.entries["e1"], b"bad")
        site.enter(started_ms)
    assert deaths.told == [(f"e1@{FIRST}", [b"bad"]), (f"e1@{SECOND}", [b"bad"])]


async def test_a_target_that_is_back_at_once_died_all_the_same(site):
    """A request that crashes engines goes on to the next, and the next.

    The engine was back before a fresh connection could show that it had died.
    """
    deaths = Deaths(site)
    deaths.connections.takes = True
    first = site.targets.entries["e1"]
    await deaths.broke(first, b"seen before the restart")
    assert not deaths.told
    site.enter(SECOND)
    deaths.watch.on_restarted(first)
    assert deaths.told == [(f"e1@{FIRST}", [b"seen before the restart"])]
    await deaths.broke(first, b"seen after it")
    assert deaths.told[1:] == [(f"e1@{FIRST}", [b"seen after it"])]


async def test_a_connection_that_broke_long_before_a_restart_is_no_suspect(site):
    deaths = Deaths(site)
    deaths.connections.takes = True
    first = site.targets.entries["e1"]
    await deaths.broke(first, b"of another cause")
    assert deaths.watch._unproven
    await site.timers.advance(RESTART_SEEN_S)
    deaths.watch.on_restarted(first)
    assert not deaths.told


def test_an_entry_of_other_software_without_a_start_shows_a_restart():
    """Guards against one incarnation that is known by two software versions."""
    site = Site()
    site.enter(None)
    site.enter(None, software="v2")
    assert site.targets.entries["e1"].software == "v2"
    assert site.restarts == [(None, 1)]


def test_a_restart_that_another_vm_reports_leaves_the_software_version_unknown():
    """Guards against a stream bound to the version of an engine's former start."""
    site = Site()
    site.enter(FIRST)
    site.tell(SECOND)
    assert site.targets.entries["e1"].software == ""
    site.enter(FIRST)
    assert site.targets.entries["e1"].software == ""
    site.enter(SECOND, software="v2")
    assert site.targets.entries["e1"].software == "v2"


def test_an_entry_without_a_start_that_comes_after_reported_restarts_is_the_same():
    """Guards against an engine whose holdings count as those of a former start."""
    site = Site()
    site.enter(None)
    site.tell(1)
    site.tell(2, number=2)
    assert site.targets.entries["e1"].software == "v1"
    site.enter(None)
    assert site.targets.entries["e1"].started_ms == 2
    assert site.restarts == [(1, 2)]
