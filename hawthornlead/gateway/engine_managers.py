"""The engines of the deployment, and those among them that this VM orders."""

from result import Result

from ..decisions.quotas import QuotaLedger
from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..mesh.meshes import failed
from ..messages.gateways import (
    AdapterLoaded,
    AdapterMissing,
    LoadAdapter,
    PromptReserved,
    RequestEnded,
    ReservePrompt,
    TargetHoldings,
    VmLoads,
)
from ..tasks import TaskSet
from ..timers import TimerService
from .arrival_times import ArrivalTimes
from .engine_calls import EngineCalls
from .engine_owners import EngineOwner
from .engine_releases import EngineReleases
from .engine_slots import AdapterKey
from .gateway_metrics import GatewayMetrics
from .holding_announcements import HoldingAnnouncements
from .load_announcements import LoadAnnouncements
from .memberships import Memberships
from .ownerships import Ownerships
from .records import (
    Configuration,
    EngineSpec,
    Incarnation,
    RestartSeen,
    TargetEntry,
)
from .slot_queues import SlotRequest
from .target_loads import TargetLoads
from .target_tables import TargetTable
from .unacknowledged_orders import LATE_ORDER_S, UnacknowledgedOrders

CLAIM_EVERY_S = 0.25
# A count of uses is forgotten after some half-lives of 10 s.
FORGET_EVERY_S = 10.0
# Changes of one engine within this time are told in one message; the more VMs, the
# longer, as each change is a message to each of them.
GATHER_S = 0.01
GATHER_EACH_S = 0.0005
# What a VM that leaves waits for its claims and releases: three calls of the store.
CHANGES_S = 3.0


class EngineManager:
    """Claims engines, orders those that are owned, and tells what they hold."""

    def __init__(
        self,
        *,
        memberships: Memberships,
        ownerships: Ownerships,
        targets: TargetTable,
        loads: TargetLoads,
        calls: EngineCalls,
        mesh: FleetMesh,
        timers: TimerService,
        events: EventRing,
        metrics: GatewayMetrics,
        quotas: QuotaLedger,
    ):
        self._metrics = metrics
        self._events = events
        self._memberships = memberships
        self._ownerships = ownerships
        self._targets = targets
        self._loads = loads
        self._calls = calls
        self._mesh = mesh
        self._timers = timers
        self._configuration: Configuration | None = None
        self._owners: dict[str, EngineOwner] = {}
        self._orphaned_at: dict[str, float] = {}
        # Times of first fetches and of those that an engine held lately.
        self._arrivals = {False: ArrivalTimes(), True: ArrivalTimes()}
        self._words = LoadAnnouncements(
            memberships=memberships,
            loads=loads,
            mesh=mesh,
            timers=timers,
            on_word=self._note_uses,
            owned=lambda: self.owned,
            quotas=quotas,
        )
        self._holding_words = HoldingAnnouncements(
            mesh=mesh,
            timers=timers,
            own=self._all_holdings,
            on_told=targets.apply_holdings,
        )
        self._releases = EngineReleases(
            memberships=memberships,
            ownerships=ownerships,
            targets=targets,
            mesh=mesh,
            timers=timers,
        )
        self._tasks = TaskSet()
        # Claims and releases under way.
        self._changes = TaskSet()
        self._stopped = False
        self._subscriptions = []
        targets.subscribe_restarts(self._on_restarted)
        targets.subscribe(lambda lost, _: self._holding_words.discard(lost.target))
        mesh.on_subscribed = self._holding_words.announce_all
        mesh.on(LoadAdapter, self._on_load)
        mesh.on(ReservePrompt, self._on_reserve)
        mesh.on(AdapterMissing, self._on_missing)
        mesh.on(RequestEnded, self._on_ended)

    @property
    def owned(self) -> tuple[str, ...]:
        """The engines that this VM looks after."""
        return tuple(self._owners)

    def start(self) -> None:
        """Begin to claim engines and to tell the other VMs."""
        self._subscriptions = [
            self._timers.every(CLAIM_EVERY_S, self._look, name="claims"),
            self._timers.every(FORGET_EVERY_S, self._forget_uses, name="old uses"),
        ]
        self._words.start()
        self._holding_words.start()

    async def stop(self, until: float) -> None:
        """Give all engines back and order them no more, about ``until`` at the latest.

        The other VMs are still told of this VM's requests, until ``close``. Untold, an
        adapter that they use for seconds yet would seem unused, and once it was ordered
        out, the engine took no other order until they had ended.
        """
        await self._releases.await_store(until)
        self._stopped = True
        for subscription in self._subscriptions:
            subscription.cancel()
        owned, self._owners = tuple(self._owners.values()), {}
        await self._releases.release_all(owned)
        # A claim that is cut off may have reached the store; the engine then waited
        # for this VM's lease to run out.
        await self._changes.settle(CHANGES_S)
        self._changes.cancel()
        self._tasks.cancel()

    def close(self) -> None:
        """Tell the other VMs nothing more."""
        self._words.stop()
        self._holding_words.stop()

    def running(self, target: str) -> dict[AdapterKey, int]:
        """Return how many requests use each adapter of an engine, over all VMs."""
        return self._loads.adapters_running(target)

    def announce_interval_s(self) -> float:
        """Return how often each VM tells of its requests, in seconds."""
        return self._words.max_report_age_s

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take a newer configuration."""
        self._configuration = configuration

    def announce_all(self, vm: str) -> None:
        """Tell a VM that has just been connected about all owned engines."""
        for holdings in self._all_holdings():
            self._mesh.cast(vm, holdings)

    def _all_holdings(self) -> tuple[TargetHoldings, ...]:
        owners = self._owners.values()
        return tuple([owner.holdings for owner in owners if owner.known])

    # Claims

    async def _look(self) -> None:
        """Claim engines that have no owner, and let go of those that are gone."""
        if self._configuration is None:
            return
        self._let_go()
        if not self._owners and not self._orphaned_at:
            self._ownerships.note_idle()
        heard = self._memberships.recently_seen()
        for entry in tuple(self._targets.entries.values()):
            spec = self._spec(entry)
            if spec is None or entry.draining:
                continue
            owner = self._owners.get(entry.target)
            if owner is not None:
                if owner.incarnation == entry.incarnation:
                    owner.take_entry(entry)
                else:
                    # It went and came back between two looks, as another start.
                    self._replace(owner, entry, spec)
                continue
            if self._targets.owner(entry.target) in heard:
                self._orphaned_at.pop(entry.target, None)
                continue
            now = self._timers.now()
            since = self._orphaned_at.setdefault(entry.target, now)
            if self._ownerships.should_claim(entry.target, now - since):
                self._changes.spawn_once(
                    entry.target,
                    lambda entry=entry, spec=spec: self._claim(entry, spec),
                )

    def _forget_uses(self) -> None:
        now = self._timers.now()
        for owner in self._owners.values():
            owner.slots.forget_old_uses(now)

    def _let_go(self) -> None:
        for target, owner in tuple(self._owners.items()):
            if target not in self._targets.entries:
                owner.stop()
                del self._owners[target]
                self._changes.spawn(self._ownerships.release(target))
                continue
            if self._ownerships.current(target) is None:
                # The lease ran out. Another VM may own the engine by now.
                self._events.emit(EventKind.OWNERSHIP_LOST, target)
                owner.stop()
                del self._owners[target]

    async def _claim(self, entry: TargetEntry, spec: EngineSpec) -> None:
        claimed = await self._ownerships.claim(entry.target)
        if not claimed or self._stopped:
            return
        ownership = self._ownerships.current(entry.target)
        unanswered_until = self._timers.now() + LATE_ORDER_S
        if ownership is not None and ownership.first:
            # Nobody has ever ordered this engine.
            unanswered_until = 0.0
        newest = self._targets.entries.get(entry.target, entry)
        self._own(newest, spec, unanswered_until)

    def _on_restarted(self, former: TargetEntry, entry: TargetEntry) -> None:
        owner = self._owners.get(entry.target)
        spec = self._spec(entry) if owner is not None else None
        if spec is not None:
            self._replace(owner, entry, spec)

    def _replace(
        self, former: EngineOwner, entry: TargetEntry, spec: EngineSpec
    ) -> None:
        """Order another start of an engine, under the same ownership and fence.

        Orders of the former start that got no answer may reach the new one.
        """
        former.stop()
        self._own(entry, spec, former.unanswered_until)

    def _own(
        self, entry: TargetEntry, spec: EngineSpec, unanswered_until: float
    ) -> None:
        """Begin to order one incarnation of an engine."""
        target = entry.target
        late = UnacknowledgedOrders(
            timers=self._timers,
            since=self._targets.known_since(target),
            unanswered_until=unanswered_until,
        )
        owner = EngineOwner(
            entry,
            spec,
            ownerships=self._ownerships,
            calls=self._calls,
            timers=self._timers,
            holder=self._memberships.vm,
            in_use=self,
            arrivals=self._arrivals,
            events=self._events,
            metrics=self._metrics,
            late=late,
            on_changed=self._publish,
            on_restarted=lambda started_ms: self._heard_restart(target, started_ms),
        )
        self._owners[target] = owner
        owner.start()

    def _heard_restart(self, target: str, started_ms: int | None) -> None:
        """Take what a report of an engine showed; ``_on_restarted`` follows."""
        if started_ms is None:
            self._targets.on_order_count_reset(target)
            return
        self._targets.observe_incarnation(
            Incarnation(target, started_ms), RestartSeen.REPORT
        )

    def _spec(self, entry: TargetEntry) -> EngineSpec | None:
        service = self._configuration.service(entry.service)
        return service.engine if service else None

    # What is told

    def _publish(self, owner: EngineOwner) -> None:
        """Tell all VMs, this one too, what an engine holds."""
        self._targets.apply_holdings(self._memberships.vm, owner.holdings)
        self._tasks.spawn_once(f"tell {owner.target}", lambda: self._tell(owner))

    async def _tell(self, owner: EngineOwner) -> None:
        gather_s = GATHER_S
        if not self._mesh.large:
            gather_s += GATHER_EACH_S * len(self._memberships.live())
        await self._timers.sleep(gather_s)
        if self._owners.get(owner.target) is owner:
            self._holding_words.announce(owner.holdings)

    def _note_uses(self, word: VmLoads) -> None:
        """Count the starts that a VM tells of for the engines owned here."""
        now = self._timers.now()
        for load in word.loads:
            owner = self._owner_of(load.target, load.started_ms)
            for use in load.uses if owner is not None else ():
                if use.started or use.running:
                    key = AdapterKey(use.model, use.adapter)
                    owner.slots.note_use(key, use.started, now)

    # What is asked

    def _owner_of(self, target: str, started_ms: int | None) -> EngineOwner | None:
        """Return who orders an engine here, if it does so at the start of a message.

        A message of a later start than the known one tells of a restart.
        """
        told = Incarnation(target, started_ms)
        if not self._targets.observe_incarnation(told, RestartSeen.PEER_MESSAGE):
            return None
        return self._owners.get(target)

    async def _on_load(self, sender, message: LoadAdapter):
        owner = self._owner_of(message.target, message.started_ms)
        if owner is None:
            detail = f"{self._memberships.vm} does not order {message.target}"
            return failed(Failure(ErrorKind.NO_GRANT, detail, 0.2))
        key = AdapterKey(message.model, message.adapter)
        now = self._timers.now()
        wanted = SlotRequest(
            key, message.rank, now + message.due_s, now + message.slot_wait_s
        )
        loaded: Result = await owner.load(wanted, message.version, message.wait_s)
        if loaded.is_err():
            self._events.emit(
                EventKind.LOAD_TURNED_DOWN,
                message.target,
                adapter=message.adapter,
                asked_by=sender.vm,
                detail=loaded.err_value.detail,
            )
            return failed(loaded.err_value)
        return AdapterLoaded(loaded.ok_value)

    async def _on_reserve(self, sender, message: ReservePrompt):
        owner = self._owner_of(message.target, message.started_ms)
        if owner is None:
            # An engine that isn't ordered here holds nobody up. One that is has
            # started again since, without the adapter.
            elsewhere = message.target not in self._owners
            return PromptReserved(0.0, elsewhere, elsewhere)
        key = AdapterKey(message.model, message.adapter)
        return owner.reserve(key, sender.vm, message)

    async def _on_ended(self, sender, message: RequestEnded) -> None:
        owner = self._owner_of(message.target, message.started_ms)
        if owner is None:
            return
        key = AdapterKey(message.model, message.adapter)
        self._loads.apply_ended(sender.vm, message.target, key, message.running)
        owner.end_turn(key, sender.vm)

    async def _on_missing(self, sender, message: AdapterMissing) -> None:
        owner = self._owner_of(message.target, message.started_ms)
        if owner is not None:
            owner.missing(AdapterKey(message.model, message.adapter))
