"""Tests of engines that start again while orders to their former start may come."""

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
    """An owner that has read the report of an engine that tells its start."""
    shorten_waits(monkeypatch)
    made = Bed()
    made.engine.started_ms = 1000
    made.owner = made.own(UnacknowledgedOrders(timers=made.timers))
    await made.start()
    yield made
    made.owner.stop()


async def fill(bed, prefix, count):
    """Load so many adapters, one after the other."""
    for number in range(count):
        loaded = await bed.load(f"{prefix}{number}")
        while loaded.is_err():
            await asyncio.sleep(loaded.err_value.retry_after_s)
            loaded = await bed.load(f"{prefix}{number}")


async def test_a_late_load_of_the_former_start_fits_whenever_it_comes(bed):
    """An engine breaks down of one adapter too many, seconds after it started again.

    A load got no answer; the engine started again and its slots were filled. Then the
    load was carried out, since it named a count that was right once more.
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


async def test_a_late_load_of_an_older_version_is_noticed(bed):
    """Requests run on a version of their adapter that was replaced seconds ago.

    A load that named the version before got no answer. The engine started again and
    loaded the newer version, and then carried out the old order: it was believed to
    hold the newer one still.
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


async def test_a_late_unload_is_noticed(bed):
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
    """An engine that started again keeps a slot empty for nothing."""
    await fill(bed, "a", SLOTS)
    await bed.restart()
    await fill(bed, "b", SLOTS)
    assert not [o for o in bed.engine.orders if o.kind is OrderKind.UNLOAD]
    assert len(bed.engine.held) == SLOTS


async def test_an_order_under_way_as_its_owner_ends_counts_as_unanswered(bed):
    """The order that was being sent as the restart was seen is forgotten."""
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


async def test_a_report_of_a_later_start_ends_what_is_believed(bed):
    assert (await bed.load("a1")).is_ok()
    bed.engine.restart()
    bed.owner.on_adapter_missing(KEY)
    await bed.until(lambda: bed.restarts)
    assert set(bed.restarts) == {bed.engine.started_ms}


async def test_a_report_of_the_former_start_is_not_heeded(bed):
    """An engine is believed to hold what it held before it started again.

    Its report lags, and still was that of the former start.
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
async def untold(monkeypatch):
    """An owner whose engine tells no start."""
    shorten_waits(monkeypatch)
    made = Bed()
    await made.start()
    yield made
    made.owner.stop()


async def test_a_count_gone_back_tells_of_a_restart_where_starts_are_not_told(
    untold, monkeypatch
):
    """All loads of an engine are refused for good, or go by what it no longer holds."""
    monkeypatch.setattr(engine_reports, "MAX_REPORT_DELAY_S", 0.1)
    await fill(untold, "a", 3)
    untold.engine.restart()
    untold.owner.on_adapter_missing(AdapterKey("tide", "a1"))
    await untold.until(lambda: untold.restarts)
    assert set(untold.restarts) == {None}


async def test_a_report_older_than_the_last_order_is_no_restart(untold):
    """The runs at a sound engine are given up, as if it had started again.

    Its report lagged longer than usual and didn't show the last order yet.
    """
    before = await untold.engine.report("", "e1")
    await fill(untold, "a", 2)
    fresh = untold.engine.report
    untold.engine.report = lambda address, target: _answer(before)
    untold.owner.on_adapter_missing(AdapterKey("tide", "a1"))
    await asyncio.sleep(0.2)
    assert not untold.restarts
    untold.engine.report = fresh
    await untold.until(lambda: untold.owner.known)
    assert untold.owner.slots.ready(AdapterKey("tide", "a1"), 0)


def test_late_orders_are_expected_only_of_a_start_that_is_younger():
    """Each claim of an engine costs two evictions, though none of its orders is late.

    Within one start the count excludes what comes late: a claim of an engine that has
    run for longer than late orders take needs no slot to spare.
    """
    timers = ManualTimerService()
    timers._now = 100.0
    until = timers.now() + MAX_ORDER_DELAY_S
    old = UnacknowledgedOrders(timers=timers, since=50.0, unanswered_until=until)
    young = UnacknowledgedOrders(timers=timers, since=98.0, unanswered_until=until)
    answered = UnacknowledgedOrders(timers=timers, since=98.0)
    assert [each.spare_slots for each in (old, young, answered)] == [0, 1, 0]
    # A restart that is seen next inherits what may still come of the claim.
    assert old.unanswered_until == until
    timers._now = 98.0 + MAX_ORDER_DELAY_S
    assert young.spare_slots == 0


def test_an_answered_order_leaves_earlier_ones_expected():
    timers = ManualTimerService()
    timers._now = 100.0
    late = UnacknowledgedOrders(timers=timers)
    late.on_sent()
    late.on_sent()
    late.on_answered()
    assert late.unanswered_until == 100.0 + MAX_ORDER_DELAY_S
