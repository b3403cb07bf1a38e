"""Tests of unanswered orders that the engine carries out later, with learned fetches.

An engine may carry out an order up to twelve seconds after it was sent, also while
the owner has read a report that doesn't show it yet.
"""

import asyncio

from prometheus_client import CollectorRegistry

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.fetches.fetch_estimates import FetchEstimates
from hawthornlead.gateway.engine_orders import EngineOrders
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.records import OrderKind, OrderOutcome, TargetEntry
from hawthornlead.gateway.unacknowledged_orders import UnacknowledgedOrders

from .fakes_clocks import PlayedTimers, run_played
from .fakes_lagging_engines import LaggingBed
from .fakes_owned_engines import Owned

ENTRY = TargetEntry("e1", "llm", "10.0.0.1:80", "gijon", 8, False, None, ())


class ScriptedCalls:
    """Answers orders with the given outcomes."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)

    async def order(self, address, target, order, allowed, timeout_s=0.1):
        """Return the next outcome."""
        await asyncio.sleep(0.01)
        return self._outcomes.pop(0)


def orders_answered(*outcomes):
    timers = PlayedTimers()
    return EngineOrders(
        ownerships=Owned(),
        calls=ScriptedCalls(outcomes),
        timers=timers,
        holder="vm-1",
        events=EventRing("vm-1", HybridClock(timers)),
        metrics=GatewayMetrics(CollectorRegistry()),
        unacknowledged=UnacknowledgedOrders(timers=timers),
        estimates=FetchEstimates(),
    )


def test_a_refusal_shows_no_order_if_an_earlier_one_of_its_count_may_be_the_taken_one():
    """An order for a1 is on its way while a report shows the count that it names.

    The engine carries it out between two orders for b1. If b1 counted as ordered, its
    requests would be sent to an engine that is fetching a1.
    """

    async def play():
        orders = orders_answered(
            OrderOutcome.UNKNOWN, OrderOutcome.UNKNOWN, OrderOutcome.CONFLICT
        )
        orders.set_accepted(5)
        await orders.give(ENTRY, OrderKind.LOAD, AdapterKey("tide", "a1"), 1)
        orders.set_accepted(None)
        orders.set_accepted(5)
        for expected in (OrderOutcome.UNKNOWN, OrderOutcome.CONFLICT):
            key = AdapterKey("tide", "b1")
            assert await orders.give(ENTRY, OrderKind.LOAD, key, 1) is expected
        assert orders.accepted is None

    run_played(play())


def test_a_report_after_a_late_order_is_awaited_instead_of_repeated_refusals():
    """An engine carries out an order for a1 after 0.15 s and reports it 0.2 s later.

    Until then each order for b1 is refused. Orders and reports were repeated every 6 ms
    and then the load failed.
    """

    async def play():
        bed = LaggingBed(0.2)
        await bed.start()
        engine, loop = bed.engine, asyncio.get_running_loop()
        on_time = engine.order

        async def late(address, target, order, allowed, timeout_s=0.1):
            engine.order = on_time
            loop.call_later(0.15, engine.carry_out, order)
            await asyncio.sleep(timeout_s)
            return OrderOutcome.UNKNOWN

        engine.order = late
        # The request gives up before the order could be repeated.
        loading = asyncio.create_task(bed.load("a1", wait_s=0.05))
        await asyncio.sleep(0.2)
        assert (await loading).is_err()
        reports, engine.orders = engine.reports, []
        loaded = await bed.load("b1")
        tried = len(engine.orders), engine.reports - reports
        bed.owner.stop()
        assert loaded.is_ok(), tried
        assert tried[0] <= 4
        assert {"a1", "b1"} <= engine.held.keys()

    run_played(play())
