"""The owner of one engine, which decides what the engine loads and evicts.

It gives one order at a time. Requests of all VMs ask it for adapters and for their
prompts' turns. ``engine_orders`` sends the orders, ``fetch_trackers`` tracks adapters
until they are ready, and ``unacknowledged_orders`` covers orders to a former
incarnation of the engine that may still arrive.
"""

import asyncio
import functools
from collections.abc import Callable

from result import Result

from ..errors import Failure
from ..events import EventKind, EventRing
from ..messages.gateways import (
    AdapterLoaded,
    HeldAdapters,
    PromptReserved,
    ReservePrompt,
    TargetHoldings,
)
from ..tasks import TaskSet
from ..timers import TimerService
from .adapter_requests import AdapterRequests
from .engine_calls import ORDER_TIMEOUT_S, EngineCalls
from .engine_loads import EngineLoads
from .engine_orders import EngineOrders
from .engine_reports import REPORT_LAG_S, EngineReports
from .engine_slots import AdapterKey, AdaptersInUse, EngineSlots, SlotState
from .fetch_tracker_builders import FetchTrackerBuilder
from .gateway_metrics import GatewayMetrics
from .load_accounts import LoadAccounts
from .load_checks import LoadChecks
from .load_turns import LoadTurns, Prompt
from .measured_engines import UNMEASURED, MeasuredEngine
from .ownerships import Ownerships
from .prompt_pacers import PromptPacer
from .recent_adapters import remembered_adapters
from .records import (
    EngineReport,
    EngineSpec,
    Incarnation,
    TargetEntry,
)
from .slot_queues import SlotRequest
from .slot_waits import SlotWaits
from .unacknowledged_orders import UnacknowledgedOrders

# Between attempts to read a report.
REPORT_RETRY_S = 0.2


class EngineOwner:
    """Gives the orders to one incarnation of an engine.

    ``on_changed`` is called when the holdings change, ``on_restarted`` as described at
    ``EngineReports``::

        owner = EngineOwner(entry, spec, ownerships=ownerships, calls=calls,
                            timers=timers, holder="edge-1",
                            unacknowledged=unacknowledged,
                            on_changed=publish, on_restarted=replace)
        owner.start()
        request = SlotRequest(AdapterKey("m", "a3"), rank=0, due_at=now, until=now)
        loaded = await owner.load(request, version=2, wait_s=1.0)
    """

    def __init__(
        self,
        entry: TargetEntry,
        spec: EngineSpec,
        *,
        ownerships: Ownerships,
        calls: EngineCalls,
        timers: TimerService,
        holder: str,
        in_use: AdaptersInUse,
        trackers: FetchTrackerBuilder,
        events: EventRing,
        metrics: GatewayMetrics,
        unacknowledged: UnacknowledgedOrders,
        measured: MeasuredEngine = UNMEASURED,
        on_changed: Callable[["EngineOwner"], None],
        on_restarted: Callable[[int | None], None],
    ):
        self._entry = entry
        self._spec = spec
        self._ownerships = ownerships
        self._unacknowledged = unacknowledged
        self._timers = timers
        self._events = events
        self._on_changed = on_changed
        self._slots = EngineSlots(spec)
        self._checks = LoadChecks(
            target=entry.target,
            slots=self._slots,
            in_use=in_use,
            unacknowledged=unacknowledged,
            timers=timers,
        )
        self.measured = measured
        self._pacer = PromptPacer(measured.pace, spec.kv_tokens)
        self._metrics = metrics
        self._accounts = LoadAccounts()
        self._orders = EngineOrders(
            ownerships=ownerships,
            calls=calls,
            timers=timers,
            holder=holder,
            events=events,
            metrics=metrics,
            unacknowledged=unacknowledged,
            estimates=trackers.estimates,
        )
        self._reports = EngineReports(
            entry.incarnation,
            calls=calls,
            orders=self._orders,
            unacknowledged=unacknowledged,
            timers=timers,
            events=events,
            on_restarted=on_restarted,
            lag=trackers.lag,
        )
        self._fetch_tracker = trackers.build(
            slots=self._slots,
            timers=timers,
            read_report=self._read_report,
            waiting=lambda key: self._requests.waiting(key),
            on_ready=self._on_ready,
            on_missing=self._on_not_ready,
            on_absent=lambda: self._orders.set_accepted(None),
        )
        self._number = 0
        self._finished = False
        self._lock = asyncio.Lock()
        self._tasks = TaskSet()
        self._slot_waits = SlotWaits(self._slots, timers, self._can_acquire_slot)
        self._requests = AdapterRequests(
            slots=self._slots,
            checks=self._checks,
            slot_waits=self._slot_waits,
            timers=timers,
            tasks=self._tasks,
            order=self._order_load,
            accounts=self._accounts,
        )
        self._load_turns = LoadTurns(
            pacer=self._pacer,
            slots=self._slots,
            timers=timers,
            load=self._requests.load,
            expected_at=self._fetch_tracker.expected_at,
            enabled=trackers.learned,
        )
        self._loads = EngineLoads(
            slots=self._slots,
            checks=self._checks,
            orders=self._orders,
            accounts=self._accounts,
            timers=timers,
            entry=lambda: self._entry,
            may_order=lambda: not self._finished,
            is_waiting=self._requests.is_waiting,
            resync=lambda: self._resync(),
            on_started=self._on_load_started,
            on_changed=self._announce,
        )

    @property
    def target(self) -> str:
        """The engine's id."""
        return self._entry.target

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the engine that is ordered here."""
        return self._entry.incarnation

    @property
    def unanswered_until(self) -> float:
        """The time until which an unanswered order may reach the engine."""
        return self._unacknowledged.unanswered_until

    @property
    def finished(self) -> bool:
        """Whether no further order is given here."""
        return self._finished

    @property
    def slots(self) -> EngineSlots:
        """What the engine holds."""
        return self._slots

    @property
    def known(self) -> bool:
        """Whether the engine's report has been read."""
        return self._orders.accepted is not None

    @property
    def holdings(self) -> TargetHoldings:
        """What is announced of the engine to the other VMs."""
        ownership = self._ownerships.current(self.target)
        return TargetHoldings(
            self.target,
            ownership.fence if ownership else 0,
            self._number,
            self._slots.models,
            HeldAdapters.of(self._slots.held),
            self._pacer.expected_wait(self._timers.now()),
            self.incarnation.started_ms,
            remembered_adapters(self._spec.adapter_slots),
            *self.measured.announced,
        )

    def start(self) -> None:
        """Start to maintain the engine."""
        self._tasks.spawn(self._maintain())

    def stop(self) -> None:
        """Give no further order, and fail waiting loads at once."""
        self._finished = True
        self._tasks.cancel()
        self._requests.stop()

    async def finish(self) -> None:
        """Give no further order, and wait until no order can be in flight any more."""
        self._finished = True
        self._requests.stop()
        await self._unacknowledged.wait_answered(ORDER_TIMEOUT_S)
        self.stop()
        on_its_way_s = self._unacknowledged.in_flight_s
        if on_its_way_s > 0:
            await self._timers.sleep(on_its_way_s)

    def apply_entry(self, entry: TargetEntry) -> None:
        """Apply a newer entry of the same engine."""
        self._entry = entry

    def reserve(
        self, key: AdapterKey, vm: str, request: ReservePrompt
    ) -> PromptReserved:
        """Reserve a turn for a VM's prompt if the engine holds its adapter."""
        held = key.model in self._slots.models
        if key.adapter:
            held = self._slots.ready(key, 0)
        if not held and self.known:
            return PromptReserved(0.0, False, False)
        now = self._timers.now()
        expected_s = self._pacer.expected_wait(now, request.tokens, request.gap_ms)
        if expected_s > request.most_s:
            return PromptReserved(expected_s, True, False)
        wait_s = self._pacer.reserve(request.tokens, request.gap_ms, now)
        if key.adapter:
            self._slots.record_turn(key, vm, now + wait_s)
        return PromptReserved(wait_s, True, True)

    def end_turn(self, key: AdapterKey, vm: str) -> None:
        """Record that a VM's request which had its turn has ended."""
        self._slots.end_turn(key, vm)
        self._slot_waits.on_freed()

    async def load(
        self,
        request: SlotRequest,
        version: int,
        wait_s: float,
        prompt: Prompt | None = None,
    ) -> Result[AdapterLoaded, Failure]:
        """Make an adapter ready, as ``AdapterRequests`` does, and reserve a turn."""
        return await self._load_turns.load(request, version, wait_s, prompt)

    def _can_acquire_slot(self, key: AdapterKey) -> bool:
        """Whether an adapter has a slot, or a slot is free or can be freed now."""
        if self._orders.accepted is None:
            # The holdings are read before the order is given.
            return True
        return self._checks.has_capacity(key) or self._checks.victim() is not None

    # Orders

    async def _order_load(self, key: AdapterKey, version: int) -> Result[None, Failure]:
        async with self._lock:
            return await self._loads.order(key, version)

    def _on_load_started(self, key: AdapterKey, order_count: int) -> None:
        """Track an ordered adapter until it is ready."""
        self._slot_waits.record_taken()
        slot = self._slots.slots[key]
        self._tasks.spawn(self._fetch_tracker.track(key, slot, order_count))

    # Reports

    async def _read_report(self) -> Result[EngineReport, Failure]:
        return await self._reports.read(self._entry.address)

    async def _resync(self) -> bool:
        """Read the engine's report once it can show the last order."""
        read = await self._reports.read_settled(self._entry.address)
        if read.is_ok():
            self._apply_report(read.ok_value)
        return read.is_ok()

    def _apply_report(self, report: EngineReport) -> None:
        self._orders.set_accepted(report.order_count)
        self._slots.apply_report(report, self._timers.now())
        for key, slot in self._slots.slots.items():
            if slot.state is SlotState.ARRIVING:
                self._accounts.on_ordered(key, self._timers.now())
                check = functools.partial(self._fetch_tracker.follow, key, slot)
                self._tasks.spawn_once(f"{key}", check)
        self._announce()

    def on_adapter_missing(self, key: AdapterKey) -> None:
        """Handle the engine's refusal of a request for a missing adapter."""
        slot = self._slots.slots.get(key)
        if slot is None or slot.state is not SlotState.READY:
            self._fetch_tracker.on_refused_again(key)
            return
        if self._fetch_tracker.on_refused(key, slot):
            # It was predicted too early. Reading the report under the lock would delay
            # all orders to the engine by 0.1 s or more.
            self._slots.set(key, slot.version, SlotState.ARRIVING, slot.since)
            slot = self._slots.slots[key]
            check = functools.partial(self._fetch_tracker.recheck, key, slot)
            self._tasks.spawn_once(f"{key}", check)
            self._announce()
            return
        self._orders.set_accepted(None)

    def _on_not_ready(self, key: AdapterKey) -> None:
        self._events.emit(EventKind.ADAPTER_NOT_READY, self.target, adapter=key.adapter)
        self._orders.set_accepted(None)
        self._accounts.close(key, self._timers.now())
        self._slots.remove(key)

    def _on_ready(self, key: AdapterKey, version: int, how: str) -> None:
        now = self._timers.now()
        slot = self._slots.slots[key]
        account = self._accounts.close(key, now)
        self._metrics.observe_load(account)
        self._events.emit(
            EventKind.ADAPTER_READY,
            self.target,
            adapter=key.adapter,
            version=version,
            after_ms=round(1000 * (now - slot.since)),
            how=how,
            **account.milliseconds(),
        )
        self._slots.set(key, version, SlotState.READY, now)
        self._announce()

    async def _maintain(self) -> None:
        """Read the report until it succeeds, then keep the engine's model loaded."""
        while True:
            async with self._lock:
                if self._orders.accepted is None:
                    await self._resync()
                if self._orders.accepted is not None:
                    await self._repair()
            if await self._reports.detect_late_order(self._entry.address):
                self._orders.set_accepted(None)
            await self._timers.sleep(REPORT_RETRY_S)

    async def _repair(self) -> None:
        """Resync on leaving adapters, and reload a lost model."""
        now = self._timers.now()
        if self._slots.leaving_s(now) > REPORT_LAG_S:
            await self._resync()
        if self._slots.models or self._entry.draining or not self._spec.models:
            return
        # An engine restarts empty. Without its model it serves nothing.
        key = AdapterKey(self._spec.models[0].name, "")
        if now - self._orders.last_sent_at > self._spec.models[0].load_s + REPORT_LAG_S:
            await self._loads.load_one(key, 0)
            return
        await self._resync()

    def _announce(self) -> None:
        self._number += 1
        self._requests.on_changed()
        self._on_changed(self)
