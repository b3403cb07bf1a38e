"""Tests of the right to order an engine, from its check until the order is sent."""

import asyncio

from prometheus_client import CollectorRegistry
from result import Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.gateway.engine_calls import EngineCalls
from hawthornlead.gateway.engine_orders import (
    LOAD_IN_PROGRESS_S,
    MAX_UNANSWERED,
    EngineOrders,
)
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.owner_objects import OWNERS_KIND
from hawthornlead.gateway.records import OrderKind, OrderOutcome, TargetEntry
from hawthornlead.gateway.unacknowledged_orders import UnacknowledgedOrders
from hawthornlead.gateway.vm_leases import CLOCK_MARGIN_S, LEASE_S

from .fakes_leases import Fleet

ENTRY = TargetEntry("e1", "llm", "10.0.0.1:80", "gijon", 8, False, None, ())


class SlowConnections:
    """Connections that open when the test allows it; ``sent`` are the bodies."""

    whole = False

    def __init__(self):
        self.connecting = asyncio.Event()
        self.may_open = asyncio.Event()
        self.sent = []
        self.ended = None

    async def open(self, address, fresh=False):
        """Open a connection once the test allows it."""
        self.connecting.set()
        await self.may_open.wait()
        return Ok(self)

    def forget(self, address):
        """Keep nothing."""

    def close(self):
        """Keep nothing."""

    def send(self, method, path, headers, body, *, request_id, sink, max_bytes):
        """Take the order and never answer it."""
        self.sent.append(body)
        self.ended = asyncio.ensure_future(asyncio.sleep(0))


def orders_of(fleet, connections):
    """Return the orders of ``a`` to an engine that has accepted none."""
    orders = EngineOrders(
        ownerships=fleet.a.ownerships,
        calls=EngineCalls(connections=connections),
        timers=fleet.timers,
        holder="a",
        events=EventRing("a", HybridClock(fleet.timers)),
        metrics=GatewayMetrics(CollectorRegistry()),
        unacknowledged=UnacknowledgedOrders(timers=fleet.timers),
    )
    orders.set_accepted(0)
    return orders


async def give_while(fleet, happen):
    """Have ``a`` order an engine, and call ``happen`` while it connects."""
    connections = SlowConnections()
    orders = orders_of(fleet, connections)
    key = AdapterKey("m", "a1")
    giving = asyncio.ensure_future(orders.give(ENTRY, OrderKind.LOAD, key, 1))
    await connections.connecting.wait()
    await happen()
    connections.may_open.set()
    return await giving, connections.sent


async def owned_by_a():
    """Return two VMs with leases of which the first owns an engine."""
    fleet = Fleet()
    await fleet.a.lease._renew()
    await fleet.b.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    return fleet


async def test_an_order_is_sent_while_its_owner_may_give_it():
    fleet = await owned_by_a()

    async def happen():
        fleet.pass_time(0.1)

    outcome, sent = await give_while(fleet, happen)
    assert outcome is OrderOutcome.UNKNOWN
    assert len(sent) == 1


async def test_no_order_leaves_after_a_yield():
    """Two VMs order one engine, and the older owner's order arrives last.

    The owner had checked its right to order and was connecting. Meanwhile it yielded
    the engine to another VM, which claimed it.
    """
    fleet = await owned_by_a()
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")

    async def happen():
        assert await fleet.b.ownerships.claim("e1")

    outcome, sent = await give_while(fleet, happen)
    assert outcome is OrderOutcome.REFUSED
    assert not sent


async def test_no_order_leaves_when_the_lease_ends_while_connecting():
    """The same, with an owner that was suspended while it connected."""
    fleet = await owned_by_a()

    async def happen():
        for _ in range(int(LEASE_S + CLOCK_MARGIN_S + 3)):
            fleet.pass_time(1.0)
            await fleet.b.lease._renew()
            await fleet.b.ownerships.claim("e1")
        assert fleet.b.ownerships.current("e1") is not None

    outcome, sent = await give_while(fleet, happen)
    assert outcome is OrderOutcome.REFUSED
    assert not sent


async def test_a_report_is_read_if_all_answers_to_orders_come_late():
    """An engine loads nothing while its answers take over a tenth of a second.

    The first order was carried out, but its answer came too late. Each further order
    named the same count and was refused, and that answer also came too late.
    """
    fleet = await owned_by_a()
    connections = SlowConnections()
    connections.may_open.set()
    orders = orders_of(fleet, connections)
    key = AdapterKey("m", "a1")
    for _ in range(MAX_UNANSWERED):
        assert orders.accepted == 0
        outcome = await orders.give(ENTRY, OrderKind.LOAD, key, 1)
        assert outcome is OrderOutcome.UNKNOWN
    assert orders.accepted is None


class AnsweringCalls:
    """Calls to an engine that starts every order."""

    async def order(self, address, target, order, allowed):
        return OrderOutcome.STARTED


async def test_a_load_of_an_arriving_adapter_does_not_confirm_the_count():
    """Streams of a healthy engine are cut because its order count seems to restart."""
    fleet = await owned_by_a()
    orders = orders_of(fleet, SlowConnections())
    orders._calls = AnsweringCalls()
    first, second = AdapterKey("m", "a1"), AdapterKey("m", "a2")
    await orders.give(ENTRY, OrderKind.LOAD, first, 0)
    await orders.give(ENTRY, OrderKind.LOAD, second, 0)
    assert (orders.accepted, orders.confirmed_accepted) == (2, 2)
    # The load in progress may bring this version already; then the order has no effect.
    await orders.give(ENTRY, OrderKind.LOAD, first, 2)
    assert (orders.accepted, orders.confirmed_accepted) == (None, 2)
    orders.set_accepted(2)
    await orders.give(ENTRY, OrderKind.UNLOAD, second, 0)
    orders.set_accepted(3)
    await orders.give(ENTRY, OrderKind.LOAD, second, 0)
    assert (orders.accepted, orders.confirmed_accepted) == (4, 4)
    fleet.pass_time(LOAD_IN_PROGRESS_S + 0.1)
    await fleet.a.lease._renew()
    await orders.give(ENTRY, OrderKind.LOAD, first, 3)
    assert (orders.accepted, orders.confirmed_accepted) == (5, 5)
