"""Tests of the gateway's decisions: prompt pacing, arrivals, slots, loads, healths."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornlead.fetches.arrival_times import ArrivalTimes
from hawthornlead.gateway.drains import Drain
from hawthornlead.gateway.engine_slots import (
    TURN_REQUEST_GRACE_S,
    TURN_RETENTION_S,
    UNREPORTED_TURN_S,
    AdapterKey,
    EngineSlots,
    SlotState,
)
from hawthornlead.gateway.prompt_pacers import (
    BURST_MS,
    DUTY,
    EVENT_MS,
    TOKENS_PER_MS,
    PromptPacer,
    read_ms,
)
from hawthornlead.gateway.records import (
    AdapterVersion,
    EngineReport,
    EngineSpec,
    HeldModel,
    ModelSpec,
)
from hawthornlead.gateway.target_healths import TargetHealths
from hawthornlead.gateway.target_loads import UPDATE_TTL_S, TargetLoads
from hawthornlead.messages.gateways import AdapterUse, TargetLoad, VmLoads
from hawthornlead.timers import ManualTimerService

MODEL = ModelSpec("tide", 100.0, 2.0, 50, 1.0)
SPEC = EngineSpec(8, 1000, 110.0, 3, 6.0, (MODEL,))


@pytest.fixture
def timers():
    """Time moved by hand."""
    return ManualTimerService()


def report(ready=(), arriving=(), count=0):
    adapters = tuple([AdapterVersion("tide", name, 1) for name in ready])
    coming = tuple([AdapterVersion("tide", name, 1) for name in arriving])
    held = HeldModel("tide", 1, adapters)
    return EngineReport(count, False, 0, 0, 0, 0, (held,), coming)


def key(name):
    return AdapterKey("tide", name)


# The time between two events that callers tolerate.
GAP_MS = 300.0


def test_prompts_that_come_at_once_are_spread_out():
    """Streams pause for half a second although their engine is half empty.

    Long prompts of several callers arrived together, and the engine read them one after
    the other between two tokens of all other streams.
    """
    pacer = PromptPacer()
    waits = [pacer.reserve(4000, GAP_MS, now=5.0) for _ in range(4)]
    read_s = 4000 / TOKENS_PER_MS / 1000
    assert waits[0] == 0
    for before, after in zip(waits[1:], waits[2:], strict=False):
        assert after - before == pytest.approx(read_s / DUTY)


def test_a_short_prompt_at_an_idle_moment_does_not_wait():
    pacer = PromptPacer()
    short = int(BURST_MS * TOKENS_PER_MS / 2)
    assert pacer.reserve(short, GAP_MS, now=5.0) == 0
    assert pacer.reserve(short, GAP_MS, now=5.0) == 0
    assert pacer.expected_wait(now=5.0) == 0
    assert pacer.reserve(4000, GAP_MS, now=9.0) == 0


@pytest.mark.parametrize("gap_ms", [250.0, 300.0, 400.0])
def test_a_long_prompt_waits_for_those_before_it(gap_ms):
    """All streams of an engine pause for longer than their callers tolerate.

    A prompt that takes nearly the whole gap started while another was being read.
    """
    pacer = PromptPacer()
    long = int((gap_ms * (1 - DUTY) - EVENT_MS + 1) * TOKENS_PER_MS)
    pacer.reserve(600, gap_ms, now=5.0)
    assert pacer.expected_wait(5.0, 600, gap_ms) < pacer.expected_wait(
        5.0, long, gap_ms
    )
    begins_at = 5.0 + pacer.reserve(long, gap_ms, now=5.0)
    assert begins_at - 5.0 >= read_ms(600) / 1000 / DUTY - 1e-9


@given(st.lists(st.tuples(st.floats(0, 0.2), st.integers(1, 7000)), max_size=60))
def test_paced_prompts_never_take_more_than_their_share(arrivals):
    pacer, now, starts = PromptPacer(), 0.0, []
    for gap_s, tokens in arrivals:
        now += gap_s
        starts.append((now + pacer.reserve(tokens, GAP_MS, now), tokens))
    for index, (began_at, _) in enumerate(starts):
        read_s = 0.0
        for start_at, tokens in starts[index:]:
            if read_s:
                allowed_s = (start_at - began_at) * DUTY + BURST_MS / 1000
                assert read_s <= allowed_s + 1e-6
            read_s += tokens / TOKENS_PER_MS / 1000


def test_arrivals_are_predicted_only_once_observed():
    times = ArrivalTimes()
    assert times.expected_s is None
    for seen_s in (0.37, 0.39, 0.38):
        times.observe(seen_s)
    assert 0.24 < times.expected_s < 0.3


def test_a_report_of_an_earlier_residency_does_not_shorten_predictions():
    """Requests are sent to adapters that are still arriving.

    An adapter was evicted and loaded again at once. The lagging report still showed its
    earlier residency, so the load seemed to take 10 ms.
    """
    times = ArrivalTimes()
    for seen_s in (0.37, 0.01, 0.39, 0.02, 0.03, 0.38, 0.01):
        times.observe(seen_s)
    assert times.expected_s > 0.24


def test_a_refusal_lengthens_predictions():
    times = ArrivalTimes()
    for _ in range(3):
        times.observe(0.37)
    before = times.expected_s
    for _ in range(4):
        times.record_too_early()
    assert times.expected_s > before


def test_no_adapter_in_use_is_evicted():
    slots = EngineSlots(SPEC)
    slots.apply_report(report(ready=("a1", "a2", "a3")), now=0.0)
    slots.apply_running({key("a1"): 2})
    slots.record_turn(key("a2"), "vm-1", at=10.0)
    assert slots.victim(now=10.0) == key("a3")
    slots.remove(key("a3"))
    assert slots.victim(now=10.0 + UNREPORTED_TURN_S / 2) is None
    assert (
        slots.victim(now=10.0 + 2 * UNREPORTED_TURN_S, announce_interval_s=1.0) is None
    )
    assert slots.victim(now=10.0 + 2 * UNREPORTED_TURN_S) == key("a2")


def test_an_adapter_may_leave_as_soon_as_its_requests_are_known_to_have_ended():
    """Callers are refused for lack of a slot although engines have idle adapters.

    An adapter counted as in use until each VM's next announcement plus 0.39 s, which is
    as long as most runs. Of 3,975 loads refused on a heavy day two thirds were at
    engines with an idle adapter. The owner is notified of each request's end, and only
    a lost notice leaves these waits.
    """
    slots = EngineSlots(SPEC)
    slots.apply_report(report(ready=("a1",)), now=0.0)
    for vm in ("vm-1", "vm-2", "vm-1"):
        slots.record_turn(key("a1"), vm, at=10.0)
    slots.end_turn(key("a1"), "vm-1")
    slots.end_turn(key("a1"), "vm-2")
    assert slots.victim(now=10.1, announce_interval_s=0.24) is None
    slots.end_turn(key("a1"), "vm-1")
    assert slots.victim(now=10.1, announce_interval_s=0.24) == key("a1")


def test_a_turn_whose_end_is_never_reported_is_discarded():
    """A VM's memory grows without bound.

    Killed VMs never report the ends of their requests, and an evicted adapter is not
    checked again.
    """
    slots = EngineSlots(SPEC)
    for number in range(50):
        slots.record_turn(key(f"a{number}"), "vm-1", at=10.0)
    slots.expire_uses(now=10.0 + TURN_RETENTION_S / 2)
    assert len(slots._turns) == 50
    slots.expire_uses(now=10.1 + TURN_RETENTION_S)
    assert not slots._turns


def test_an_end_that_is_reported_twice_ends_no_other_request():
    slots = EngineSlots(SPEC)
    slots.apply_report(report(ready=("a1",)), now=0.0)
    slots.record_turn(key("a1"), "vm-1", at=10.0)
    slots.end_turn(key("a1"), "vm-2")
    assert slots.victim(now=10.1, announce_interval_s=0.24) is None


def test_an_adapter_that_has_just_arrived_is_kept_for_its_requests():
    slots = EngineSlots(SPEC)
    slots.set(key("a1"), 1, SlotState.READY, now=10.0)
    assert slots.victim(now=10.0 + TURN_REQUEST_GRACE_S / 2) is None
    assert slots.victim(now=10.0 + 2 * TURN_REQUEST_GRACE_S) == key("a1")


def test_the_least_requested_adapter_is_evicted_first():
    slots = EngineSlots(SPEC)
    slots.apply_report(report(ready=("a1", "a2", "a3")), now=0.0)
    for name, count in (("a1", 6), ("a2", 1), ("a3", 9)):
        slots.record_use(key(name), count, now=1.0)
    assert slots.victim(now=5.0) == key("a2")


def test_arriving_and_leaving_adapters_use_slots():
    """An engine crashes when it is ordered to load more adapters than it has slots."""
    slots = EngineSlots(SPEC)
    slots.apply_report(report(ready=("a1",), arriving=("a2",)), now=0.0)
    assert slots.has_capacity(key("a9"))
    slots.set(key("a1"), 1, SlotState.LEAVING, now=0.0)
    slots.set(key("a3"), 1, SlotState.ARRIVING, now=0.0)
    assert not slots.has_capacity(key("a9"))
    slots.apply_report(report(ready=("a1", "a3"), arriving=("a2",)), now=1.0)
    assert slots.slots[key("a1")].state is SlotState.LEAVING
    assert not slots.has_capacity(key("a9"))


def test_memory_bounds_adapters_too():
    slots = EngineSlots(SPEC._replace(memory_mb=101.5, adapter_slots=9))
    slots.apply_report(report(ready=("a1",)), now=0.0)
    assert not slots.has_capacity(key("a2"))


def test_loads_of_silent_vms_expire(timers):
    loads = TargetLoads(timers=timers)
    update = VmLoads((TargetLoad("e1", 4, (AdapterUse("tide", "a1", 4, 4),)),))
    loads.apply_loads("vm-2", update)
    loads.on_request_started("e1", key("a1"))
    assert loads.running("e1") == 5
    assert loads.adapters_running("e1") == {key("a1"): 5}
    timers._now += UPDATE_TTL_S + 1
    assert loads.running("e1") == 1
    loads.on_request_ended("e1", key("a1"))
    assert loads.own_total == 0


def test_each_started_request_is_announced_once_even_if_it_has_ended(timers):
    loads = TargetLoads(timers=timers)
    loads.on_request_started("e1", key("a1"))
    loads.on_request_ended("e1", key("a1"))
    (load,) = loads.build_update().loads
    assert load.uses == (AdapterUse("tide", "a1", 0, 1),)
    assert loads.build_update().loads == ()


def test_a_target_that_cannot_be_reached_is_suspect_for_a_while(timers):
    healths = TargetHealths(timers=timers)
    healths.record_failure("e1", gone=True)
    assert healths.is_suspect("e1")
    timers._now += 1.0
    assert not healths.is_suspect("e1")
    healths.record_failure("e1", gone=True)
    healths.record_answer("e1", wait_ms=50)
    assert not healths.is_suspect("e1")


def test_failures_add_cost_and_expire(timers):
    healths = TargetHealths(timers=timers)
    for _ in range(5):
        healths.record_failure("e1")
        healths.record_answer("e1", wait_ms=50)
    cost = healths.cost_ms("e1")
    assert cost > 500
    timers._now += 30
    assert healths.cost_ms("e1") < 1
    assert healths.cost_ms("e2") == 0


def test_a_slow_answer_that_the_engines_speed_explains_costs_nothing(timers):
    """A slow engine was charged twice, for its speed and for its answers."""
    healths = TargetHealths(timers=timers)
    for _ in range(60):
        healths.record_answer("e1", wait_ms=600.0)
    assert healths.cost_ms("e1") > 150
    assert healths.cost_ms("e1", slowness=2.0) == 0


async def test_a_drain_serves_cached_answers_and_then_refuses(timers):
    open_requests = [1]
    drain = Drain(
        timers=timers,
        grace_s=8.0,
        readiness_ttl_s=1.0,
        open_requests=lambda: open_requests[0],
    )
    assert drain.refusal() is None
    drain.start()
    assert drain.refusal() is None
    await timers.advance(5.0)
    assert drain.refusal().retry_after_s == 0


async def test_a_drain_cuts_no_request_that_came_late(timers):
    """A stream is cut off because its VM was restarted.

    It arrived 4 s after the VM was asked to stop, was accepted, and was cut off 4 s
    later at the end of the grace period. Requests whose deadline is before that are
    still served.
    """
    drain = Drain(
        timers=timers, grace_s=8.0, readiness_ttl_s=1.0, open_requests=lambda: 1
    )
    drain.start()
    await timers.advance(2.0)
    assert drain.refusal(20.0) is None
    await timers.advance(2.0)
    assert drain.refusal(20.0).retry_after_s == 0
    assert drain.refusal(3.9) is not None
    assert drain.refusal(3.7) is None
    assert drain.refusal(0.6) is None


def test_state_of_targets_that_are_gone_is_discarded(timers):
    """A VM's memory grows: engines restart 69 times a day, each time under another id.

    The state of each would be kept for the life of the VM's process.
    """
    healths = TargetHealths(timers=timers)
    for target in ("e1", "e2"):
        healths.record_failure(target, gone=True)
    healths.retain({"e2"})
    assert not healths.is_suspect("e1")
    assert healths.is_suspect("e2")
    loads = TargetLoads(timers=timers)
    loads.on_request_started("e1", key("a1"))
    loads.on_request_ended("e1", key("a1"))
    assert loads.adapters_running("e1") == {}
    assert not loads._own_uses


def test_counts_of_adapters_without_requests_are_discarded():
    """A VM's memory grows: it sees thousands of adapters a day, most of them once."""
    slots = EngineSlots(SPEC)
    slots.record_use(key("a1"), 1, now=0.0)
    slots.record_use(key("a2"), 1, now=0.0)
    slots.record_use(key("a2"), 1, now=100.0)
    slots.expire_uses(now=110.0)
    assert set(slots._uses) == {key("a2")}
