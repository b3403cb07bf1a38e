"""An engine without a network, and an owner that orders it, for tests."""

import asyncio

from prometheus_client import CollectorRegistry
from result import Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.gateway import (
    adapter_requests,
    engine_owners,
    engine_reports,
    fetch_trackers,
)
from hawthornlead.gateway.engine_owners import EngineOwner
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.fetch_tracker_builders import FetchTrackerBuilder
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.owner_objects import UNOWNED
from hawthornlead.gateway.ownerships import Ownership
from hawthornlead.gateway.records import (
    AdapterVersion,
    EngineReport,
    EngineSpec,
    HeldModel,
    ModelSpec,
    OrderKind,
    OrderOutcome,
    TargetEntry,
)
from hawthornlead.gateway.slot_queues import SlotRequest
from hawthornlead.gateway.unacknowledged_orders import UnacknowledgedOrders
from hawthornlead.timers import TimerService

SLOTS = 8
LOAD_S = 0.05
MODEL = ModelSpec("tide", 100.0, 0.05, 99, 1.0)
SPEC = EngineSpec(8, 1000, 200.0, SLOTS, 6.0, (MODEL,))


class FakeEngine:
    """Takes orders as an engine does; ``held`` and ``arriving`` are its slots.

    ``restart`` starts another incarnation. The next ``mute`` orders are carried out
    without an answer. The next ``late`` orders are stored in ``kept``, and
    ``carry_out_kept`` carries them out if their count is still valid.
    """

    def __init__(self):
        self.count = 0
        self.held = {}
        self.arriving = {}
        self.models = ["tide"]
        self.running = set()
        self.orders = []
        self.kept = []
        self.mute = 0
        self.late = 0
        self.most = 0
        self.started_ms = None
        self.starts = 1

    async def report(self, address, target):
        """Report as an engine does, without a lag."""
        held = [AdapterVersion("tide", name, v) for name, v in self.held.items()]
        coming = [AdapterVersion("tide", name, v) for name, v in self.arriving.items()]
        models = [HeldModel(name, 1, tuple(held)) for name in self.models]
        report = EngineReport(
            self.count,
            False,
            0,
            0,
            0,
            0,
            tuple(models),
            tuple(coming),
            self.started_ms,
        )
        return Ok(report)

    async def order(self, address, target, order, allowed):
        """Take an order, and answer it unless ``mute`` or ``late`` is set."""
        if not allowed():
            return OrderOutcome.REFUSED
        self.orders.append(order)
        if self.late:
            self.late -= 1
            self.kept.append(order)
            return OrderOutcome.UNKNOWN
        outcome = self.carry_out(order)
        if self.mute:
            self.mute -= 1
            return OrderOutcome.UNKNOWN
        return outcome

    def carry_out_kept(self):
        """Carry out the kept orders whose count is still valid."""
        return [self.carry_out(order) for order in self.kept]

    def carry_out_now(self, order):
        """Carry out an order as if its count happened to be valid now."""
        return self.carry_out(order._replace(order_count=self.count))

    def restart(self):
        """Start another incarnation, without adapters."""
        self.starts += 1
        self.count = 0
        self.held.clear()
        self.arriving.clear()
        if self.started_ms is not None:
            self.started_ms += 1500

    def carry_out(self, order):
        """Carry out an order if its count is valid."""
        if order.order_count != self.count:
            return OrderOutcome.CONFLICT
        self.count += 1
        if order.kind is OrderKind.UNLOAD:
            if order.adapter in self.running:
                return OrderOutcome.STARTED
            self.held.pop(order.adapter, None)
            return OrderOutcome.HOLDS_ALREADY
        if not order.adapter:
            asyncio.get_running_loop().call_later(
                LOAD_S, self.models.append, order.model
            )
            return OrderOutcome.STARTED
        self.arriving[order.adapter] = order.version or 1
        used = len(self.held.keys() | self.arriving.keys())
        self.most = max(self.most, used)
        asyncio.get_running_loop().call_later(
            LOAD_S, self._arrive, order.adapter, self.starts
        )
        return OrderOutcome.STARTED

    def _arrive(self, adapter, start):
        if start == self.starts and adapter in self.arriving:
            self.held[adapter] = self.arriving.pop(adapter)


class Owned:
    """An ownership controlled by the test."""

    def __init__(self):
        self.fence = 4

    def current(self, target):
        """Return the ownership, if any."""
        return Ownership(target, self.fence, 1, 1, 0.0, UNOWNED) if self.fence else None

    def record_order(self, target):
        """Ignore an order; nobody else owns the engine here."""


class InUse:
    """Requests in progress, set by the test."""

    def __init__(self):
        self.adapters = {}

    def running(self, target):
        """Return the requests in progress."""
        return self.adapters

    def announce_interval_s(self):
        """Return how often VMs announce their requests."""
        return 0.02


class Bed:
    """An owner of a fake engine."""

    def __init__(self, engine=None, learned=False, timers=None):
        self.engine = engine or FakeEngine()
        self.trackers = FetchTrackerBuilder(learned)
        self.owned = Owned()
        self.in_use = InUse()
        self.timers = timers or TimerService()
        self.told = []
        self.restarts = []
        self.events = EventRing("vm-1", HybridClock(self.timers))
        self.owner = self.own(UnacknowledgedOrders(timers=self.timers))

    def own(self, late):
        """Return an owner of the engine's current incarnation."""
        entry = TargetEntry("e1", "llm", "10.0.0.1:80", "gijon", 8, False, None, ())
        return EngineOwner(
            entry._replace(started_ms=self.engine.started_ms),
            SPEC,
            ownerships=self.owned,
            calls=self.engine,
            timers=self.timers,
            holder="vm-1",
            in_use=self.in_use,
            trackers=self.trackers,
            events=self.events,
            metrics=GatewayMetrics(CollectorRegistry()),
            unacknowledged=late,
            on_changed=lambda owner: self.told.append(owner.holdings),
            on_restarted=self.restarts.append,
        )

    async def restart(self):
        """Restart the engine and order the new one as ``EngineManager`` does."""
        former = self.owner
        former.stop()
        self.engine.restart()
        late = UnacknowledgedOrders(
            timers=self.timers,
            since=self.timers.now(),
            unanswered_until=former.unanswered_until,
        )
        self.owner = self.own(late)
        await self.start()

    async def start(self):
        """Start the owner and wait until it has read a report."""
        self.owner.start()
        while not self.owner.known:
            await asyncio.sleep(0.005)

    async def load(self, name, version=0, wait_s=2.0):
        """Have the owner load an adapter."""
        now = self.timers.now()
        request = SlotRequest(AdapterKey("tide", name), 0, now, now)
        loaded = await self.owner.load(request, version, wait_s)
        return loaded.map(lambda ready: ready.version)

    async def until(self, condition, wait_s=3.0):
        """Wait for a condition, which must become true."""
        end = self.timers.now() + wait_s
        while not condition():
            assert self.timers.now() < end, "it did not come about"
            await asyncio.sleep(0.005)


def shorten_waits(monkeypatch):
    """Shorten the waits for reports, which this engine returns without a lag."""
    monkeypatch.setattr(engine_owners, "REPORT_LAG_S", 0.02)
    monkeypatch.setattr(engine_reports, "REPORT_LAG_S", 0.02)
    monkeypatch.setattr(fetch_trackers, "REPORT_LAG_S", 0.02)
    monkeypatch.setattr(engine_reports, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(adapter_requests, "FIRST_POLL_S", 0.03)
    monkeypatch.setattr(fetch_trackers, "FIRST_POLL_S", 0.03)
    monkeypatch.setattr(fetch_trackers, "POLL_INTERVAL_S", 0.01)
    monkeypatch.setattr(engine_owners, "REPORT_RETRY_S", 0.02)
