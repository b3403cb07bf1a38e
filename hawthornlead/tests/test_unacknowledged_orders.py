"""Tests of restarted engines while orders to a former incarnation may arrive."""

import asyncio

import pytest

from hawthornlead.errors import ErrorKind
from hawthornlead.gateway import engine_reports
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.records import OrderKind, OrderOutcome
from hawthornlead.gateway.unacknowledged_orders import (
    MAX_ORDER_DELAY_S,
    UnacknowledgedOrders,
)
from hawthornlead.timers import ManualTimerService

from .fakes_owned_engines import LOAD_S, SLOTS, Bed, shorten_waits

KEY = AdapterKey("tide", "a1")


@pytest.fixture
async def bed(monkeypatch):
    """An owner that has read the report of an engine that reports its start time."""
    shorten_waits(monkeypatch)
    made = Bed()
    made.engine.started_ms = 1000
    made.owner = made.own(UnacknowledgedOrders(timers=made.timers))
    await made.start()
    yield made
    made.owner.stop()


async def fill(bed, prefix, count):
    """Load ``count`` adapters, one after the other."""
    for number in range(count):
        loaded = await bed.load(f"{prefix}{number}")
        while loaded.is_err():
            await asyncio.sleep(loaded.err_value.retry_after_s)
            loaded = await bed.load(f"{prefix}{number}")


async def test_a_late_load_of_the_former_incarnation_always_fits(bed):
    """A load beyond the slots crashes an engine seconds after its restart.

    A load got no answer, the engine restarted, and its slots were filled. Then the load
    was carried out, because it named a count that was valid again.
    """
    bed.engine.late = 1
    assert (await bed.load("late", version=1)).is_ok()
    (late,) = bed.engine.kept
    await bed.restart()
    await fill(bed, "b", SLOTS + 2)
    assert bed.engine.carry_out_now(late) is OrderOutcome.STARTED
    assert bed.engine.most <= SLOTS
    await bed.until(lambda: AdapterKey("tide", "late") in bed.owner.slots.slots)
    await fill(bed, "c", 4)
    assert bed.engine.most <= SLOTS


async def test_a_late_load_of_an_older_version_is_detected(bed):
    """Requests run on a version of their adapter that was replaced seconds ago.

    A load of the older version got no answer. The engine restarted, loaded the newer
    version, and then carried out the old order. Its owner still took it to hold the
    newer one.
    """
    bed.engine.late = 1
    assert (await bed.load("a1", version=1)).is_ok()
    (late,) = bed.engine.kept
    await bed.restart()
    assert (await bed.load("a1", version=2)).ok_value == 2
    assert bed.engine.carry_out_now(late) is OrderOutcome.STARTED
    await asyncio.sleep(2 * LOAD_S)
    assert bed.engine.held["a1"] == 1
    await bed.until(lambda: not bed.owner.slots.ready(KEY, 2))
    assert (await bed.load("a1", version=2)).ok_value == 2
    assert bed.engine.held["a1"] == 2


async def test_a_late_unload_is_detected(bed):
    assert (await bed.load("a1")).is_ok()
    bed.engine.late = 1
    assert (await bed.load("a2")).is_ok()
    (late,) = bed.engine.kept
    await bed.restart()
    assert (await bed.load("a1")).is_ok()
    unload = late._replace(kind=OrderKind.UNLOAD, adapter="a1", version=0)
    assert bed.engine.carry_out_now(unload) is OrderOutcome.HOLDS_ALREADY
    await bed.until(lambda: not bed.owner.slots.ready(KEY, 0))


async def test_without_an_unanswered_order_all_slots_are_used(bed):
    """A restarted engine keeps a slot empty without need."""
    await fill(bed, "a", SLOTS)
    await bed.restart()
    await fill(bed, "b", SLOTS)
    assert not [o for o in bed.engine.orders if o.kind is OrderKind.UNLOAD]
    assert len(bed.engine.held) == SLOTS


async def test_an_order_in_flight_as_its_owner_stops_counts_as_unanswered(bed):
    """The order in flight when a restart was seen is not counted as unanswered."""
    reached = asyncio.Event()

    async def never(address, target, order, allowed):
        reached.set()
        await asyncio.sleep(3600)

    bed.engine.order = never
    asking = asyncio.create_task(bed.load("a1"))
    await reached.wait()
    bed.owner.stop()
    refused = await asking
    assert refused.err_value.kind is ErrorKind.NO_GRANT
    assert bed.owner.unanswered_until > bed.timers.now() + MAX_ORDER_DELAY_S - 1


async def test_a_report_of_a_later_incarnation_reveals_a_restart(bed):
    assert (await bed.load("a1")).is_ok()
    bed.engine.restart()
    bed.owner.on_adapter_missing(KEY)
    await bed.until(lambda: bed.restarts)
    assert set(bed.restarts) == {bed.engine.started_ms}


async def test_a_report_of_the_former_incarnation_is_ignored(bed):
    """An engine is taken to hold what it held before its restart.

    Its report lagged, and was still that of the former incarnation.
    """
    assert (await bed.load("a1")).is_ok()
    before = await bed.engine.report("", "e1")
    await bed.restart()
    bed.engine.report = lambda address, target: _answer(before)
    bed.owner.on_adapter_missing(KEY)
    bed.owner._orders.set_accepted(None)
    await asyncio.sleep(0.2)
    assert not bed.owner.known
    assert not bed.owner.slots.slots
    assert not bed.restarts


async def _answer(answer):
    return answer


@pytest.fixture
async def bed_without_start_times(monkeypatch):
    """An owner whose engine reports no start time."""
    shorten_waits(monkeypatch)
    made = Bed()
    await made.start()
    yield made
    made.owner.stop()


async def test_a_lower_count_reveals_a_restart_if_start_times_are_not_reported(
    bed_without_start_times, monkeypatch
):
    """All loads of an engine are refused permanently, or use its outdated holdings."""
    monkeypatch.setattr(engine_reports, "MAX_REPORT_DELAY_S", 0.1)
    await fill(bed_without_start_times, "a", 3)
    bed_without_start_times.engine.restart()
    bed_without_start_times.owner.on_adapter_missing(AdapterKey("tide", "a1"))
    await bed_without_start_times.until(lambda: bed_without_start_times.restarts)
    assert set(bed_without_start_times.restarts) == {None}


async def test_a_report_older_than_the_last_order_is_no_restart(
    bed_without_start_times,
):
    """The runs at a healthy engine are abandoned as if it had restarted.

    Its report lagged longer than usual and didn't show the last order yet.
    """
    before = await bed_without_start_times.engine.report("", "e1")
    await fill(bed_without_start_times, "a", 2)
    fresh = bed_without_start_times.engine.report
    bed_without_start_times.engine.report = lambda address, target: _answer(before)
    bed_without_start_times.owner.on_adapter_missing(AdapterKey("tide", "a1"))
    await asyncio.sleep(0.2)
    assert not bed_without_start_times.restarts
    bed_without_start_times.engine.report = fresh
    await bed_without_start_times.until(lambda: bed_without_start_times.owner.known)
    assert bed_without_start_times.owner.slots.ready(AdapterKey("tide", "a1"), 0)


def test_late_orders_may_arrive_only_at_a_younger_incarnation():
    """Each claim of an engine costs two evictions, although no order is late.

    Within one incarnation the count excludes late orders. The claim of an engine that
    has run longer than ``MAX_ORDER_DELAY_S`` needs no spare slot.
    """
    timers = ManualTimerService()
    timers._now = 100.0
    until = timers.now() + MAX_ORDER_DELAY_S
    old = UnacknowledgedOrders(timers=timers, since=50.0, unanswered_until=until)
    young = UnacknowledgedOrders(timers=timers, since=98.0, unanswered_until=until)
    answered = UnacknowledgedOrders(timers=timers, since=98.0)
    assert [each.spare_slots for each in (old, young, answered)] == [0, 1, 0]
    # If the engine restarts next, orders from before the claim may still arrive.
    assert old.unanswered_until == until
    timers._now = 98.0 + MAX_ORDER_DELAY_S
    assert young.spare_slots == 0


def test_an_answered_order_leaves_earlier_ones_unanswered():
    timers = ManualTimerService()
    timers._now = 100.0
    late = UnacknowledgedOrders(timers=timers)
    late.on_sent()
    late.on_sent()
    late.on_answered()
    assert late.unanswered_until == 100.0 + MAX_ORDER_DELAY_S
