"""Claims engines for this VM, and serves the requests to engines owned here."""

from functools import partial

from ..decisions.quotas import QuotaLedger
from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..mesh.meshes import failed
from ..messages.gateways import (
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
from .engine_calls import EngineCalls
from .engine_owners import EngineOwner
from .engine_places import EnginePlaces, UncountedPlaces
from .engine_releases import EngineReleases
from .engine_slots import AdapterKey
from .fetch_tracker_builders import FetchTrackerBuilder
from .gateway_metrics import GatewayMetrics
from .holding_announcements import HoldingAnnouncements
from .load_announcements import LoadAnnouncements
from .load_turns import Prompt
from .measured_engines import MeasuredEngines
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
from .target_paths import TargetPaths
from .target_tables import TargetTable
from .unacknowledged_orders import MAX_ORDER_DELAY_S, UnacknowledgedOrders

CLAIM_INTERVAL_S = 0.25
# Use counts expire after some half-lives of 10 s.
EXPIRE_INTERVAL_S = 10.0
# How long a leaving VM waits for its claims and releases: three store calls.
CHANGES_TIMEOUT_S = 3.0


class EngineManager:
    """Claims engines, starts their owners here, and announces what they hold."""

    def __init__(
        self,
        *,
        memberships: Memberships,
        ownerships: Ownerships,
        targets: TargetTable,
        paths: TargetPaths,
        loads: TargetLoads,
        calls: EngineCalls,
        mesh: FleetMesh,
        timers: TimerService,
        events: EventRing,
        metrics: GatewayMetrics,
        quotas: QuotaLedger,
        measured: MeasuredEngines,
        learned_fetches: bool = False,
        places: EnginePlaces | None = None,
    ):
        self._measured = measured
        self._places = places or UncountedPlaces()
        self._metrics = metrics
        self._events = events
        self._memberships = memberships
        self._ownerships = ownerships
        self._targets = targets
        self._paths = paths
        self._loads = loads
        self._calls = calls
        self._mesh = mesh
        self._timers = timers
        self._configuration: Configuration | None = None
        self._owners: dict[str, EngineOwner] = {}
        self._orphaned_at: dict[str, float] = {}
        self._trackers = FetchTrackerBuilder(learned_fetches)
        self._load_announcements = LoadAnnouncements(
            memberships=memberships,
            loads=loads,
            mesh=mesh,
            timers=timers,
            on_update=self._record_uses,
            owned=lambda: self.owned,
            quotas=quotas,
        )
        self._holding_announcements = HoldingAnnouncements(
            mesh=mesh,
            timers=timers,
            own_holdings=self._all_holdings,
            on_holdings=targets.apply_holdings,
        )
        self._releases = EngineReleases(
            memberships=memberships,
            ownerships=ownerships,
            targets=targets,
            paths=paths,
            mesh=mesh,
            timers=timers,
        )
        self._tasks = TaskSet()
        # Claims and releases under way.
        self._changes = TaskSet()
        self._stopped = False
        self._subscriptions = []
        targets.subscribe_restarts(self._on_restarted)
        targets.subscribe(
            lambda lost, _: self._holding_announcements.discard(lost.target)
        )
        mesh.on_subscribed = self._holding_announcements.announce_all
        mesh.on(LoadAdapter, self._on_load)
        mesh.on(ReservePrompt, self._on_reserve)
        mesh.on(AdapterMissing, self._on_missing)
        mesh.on(RequestEnded, self._on_ended)

    @property
    def owned(self) -> tuple[str, ...]:
        """The engines that this VM manages."""
        return tuple(self._owners)

    def start(self) -> None:
        """Start to claim engines and to announce to the other VMs."""
        self._subscriptions = [
            self._timers.every(CLAIM_INTERVAL_S, self._check_engines, name="claims"),
            self._timers.every(EXPIRE_INTERVAL_S, self._expire_uses, name="old uses"),
        ]
        self._load_announcements.start()
        self._holding_announcements.start()

    async def stop(self, until: float) -> None:
        """Release all engines and give no further orders, by about ``until``.

        This VM's requests are still announced until ``close``. Without that, an adapter
        that they use for seconds more would seem unused. Once it was ordered to unload,
        the engine would take no other order until these requests had ended.
        """
        await self._releases.await_store(until)
        self._stopped = True
        for subscription in self._subscriptions:
            subscription.cancel()
        owned, self._owners = tuple(self._owners.values()), {}
        await self._releases.release_all(owned)
        # A cancelled claim may have reached the store. Other VMs could then claim the
        # engine only after this VM's lease expires.
        await self._changes.settle(CHANGES_TIMEOUT_S)
        self._changes.cancel()
        self._tasks.cancel()

    def close(self) -> None:
        """Stop announcing to the other VMs."""
        self._load_announcements.stop()
        self._holding_announcements.stop()

    def running(self, target: str) -> dict[AdapterKey, int]:
        """Return how many requests use each adapter of an engine, over all VMs."""
        return self._loads.adapters_running(target)

    def announce_interval_s(self) -> float:
        """Return how often each VM announces its requests, in seconds."""
        return self._load_announcements.max_report_age_s

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self._configuration = configuration

    def announce_all(self, vm: str) -> None:
        """Send a newly connected VM the holdings of all owned engines."""
        for holdings in self._all_holdings():
            self._mesh.cast(vm, holdings)

    def _all_holdings(self) -> tuple[TargetHoldings, ...]:
        return tuple([each.holdings for each in self._owners.values() if each.known])

    # Claims

    async def _check_engines(self) -> None:
        """Claim engines that have no owner, and release those that are gone."""
        if self._configuration is None:
            return
        self._release_lost()
        self._release_unreached()
        if not self._owners and not self._orphaned_at:
            self._ownerships.on_idle()
        seen = self._memberships.recently_seen()
        for entry in tuple(self._targets.entries.values()):
            spec = self._spec(entry)
            if spec is None or entry.draining:
                continue
            owner = self._owners.get(entry.target)
            if owner is not None:
                if owner.incarnation == entry.incarnation:
                    owner.apply_entry(entry)
                else:
                    # It left and returned between two checks, as another incarnation.
                    self._replace_owner(owner, entry, spec)
                continue
            if self._targets.owner(entry.target) in seen:
                self._orphaned_at.pop(entry.target, None)
                continue
            if self._paths.is_unreachable(entry.service):
                continue
            now = self._timers.now()
            since = self._orphaned_at.setdefault(entry.target, now)
            if self._ownerships.should_claim(entry.target, now - since):
                self._changes.spawn_once(
                    entry.target,
                    lambda entry=entry, spec=spec: self._claim(entry, spec),
                )

    def _expire_uses(self) -> None:
        now = self._timers.now()
        for owner in self._owners.values():
            owner.slots.expire_uses(now)

    def _release_lost(self) -> None:
        for target, owner in tuple(self._owners.items()):
            if target not in self._targets.entries:
                owner.stop()
                del self._owners[target]
                self._changes.spawn(self._ownerships.release(target))
                continue
            if self._ownerships.current(target) is None:
                # The lease expired. Another VM may own the engine by now.
                self._events.emit(EventKind.OWNERSHIP_LOST, target)
                owner.stop()
                del self._owners[target]

    def _release_unreached(self) -> None:
        for target in self._releases.unreached(tuple(self._owners)):
            owner = self._owners.pop(target)
            # Under the target's name, so that no claim begins meanwhile.
            self._changes.spawn_once(target, partial(self._releases.release, owner))

    async def _claim(self, entry: TargetEntry, spec: EngineSpec) -> None:
        claimed = await self._ownerships.claim(entry.target)
        if not claimed or self._stopped:
            return
        ownership = self._ownerships.current(entry.target)
        unanswered_until = self._timers.now() + MAX_ORDER_DELAY_S
        if ownership is not None and ownership.first:
            # Nobody has ever ordered this engine.
            unanswered_until = 0.0
        newest = self._targets.entries.get(entry.target, entry)
        self._start_owner(newest, spec, unanswered_until)

    def _on_restarted(self, former: TargetEntry, entry: TargetEntry) -> None:
        owner = self._owners.get(entry.target)
        spec = self._spec(entry) if owner is not None else None
        if spec is not None:
            self._replace_owner(owner, entry, spec)

    def _replace_owner(
        self, former: EngineOwner, entry: TargetEntry, spec: EngineSpec
    ) -> None:
        """Order another incarnation of an engine, under the same ownership and fence.

        Unanswered orders to the former incarnation may reach the new one.
        """
        former.stop()
        self._start_owner(entry, spec, former.unanswered_until)

    def _start_owner(
        self, entry: TargetEntry, spec: EngineSpec, unanswered_until: float
    ) -> None:
        """Start to order one incarnation of an engine."""
        target = entry.target
        unacknowledged = UnacknowledgedOrders(
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
            trackers=self._trackers,
            events=self._events,
            metrics=self._metrics,
            unacknowledged=unacknowledged,
            measured=self._measured.start(entry, spec),
            on_changed=self._publish,
            on_restarted=partial(self._on_reported_restart, target),
        )
        self._owners[target] = owner
        owner.start()

    def _on_reported_restart(self, target: str, started_ms: int | None) -> None:
        """Record a restart seen in an engine's report; calls ``_on_restarted``."""
        if started_ms is None:
            self._targets.on_order_count_reset(target)
            return
        self._targets.observe_incarnation(
            Incarnation(target, started_ms), RestartSeen.REPORT
        )

    def _spec(self, entry: TargetEntry) -> EngineSpec | None:
        return getattr(self._configuration.service(entry.service), "engine", None)

    # Announcements

    def _publish(self, owner: EngineOwner) -> None:
        """Announce to all VMs, including this one, what an engine holds."""
        self._targets.apply_holdings(self._memberships.vm, owner.holdings)
        self._tasks.spawn_once(
            f"announce {owner.target}", partial(self._announce, owner)
        )

    async def _announce(self, owner: EngineOwner) -> None:
        announcements, vms = self._holding_announcements, self._memberships.live()
        await self._timers.sleep(announcements.batch_s(len(vms)))
        if self._owners.get(owner.target) is owner:
            announcements.announce(owner.holdings)

    def _record_uses(self, update: VmLoads) -> None:
        """Count the started requests that a VM announces for engines owned here."""
        now = self._timers.now()
        for load in update.loads:
            owner = self._owner_of(load.target, load.started_ms)
            if owner is not None:
                owner.slots.record_uses(load.uses, now)

    # Requests of other VMs

    def _owner_of(self, target: str, started_ms: int | None) -> EngineOwner | None:
        """Return the owner of an engine, if it orders the message's incarnation.

        A message about a later incarnation than the known one reveals a restart.
        """
        incarnation = Incarnation(target, started_ms)
        if not self._targets.observe_incarnation(incarnation, RestartSeen.PEER_MESSAGE):
            return None
        return self._owners.get(target)

    async def _on_load(self, sender, message: LoadAdapter):
        owner = self._owner_of(message.target, message.started_ms)
        if owner is None:
            detail = f"{self._memberships.vm} does not order {message.target}"
            return failed(Failure(ErrorKind.NO_GRANT, detail, 0.2))
        key = AdapterKey(message.model, message.adapter)
        now = self._timers.now()
        request = SlotRequest(
            key, message.rank, now + message.due_s, now + message.slot_wait_s
        )
        prompt = Prompt.of(sender.vm, message)
        loaded = await owner.load(request, message.version, message.wait_s, prompt)
        if loaded.is_ok():
            if loaded.ok_value.turn_s is not None:
                self._places.count(owner, key, sender.vm, prompt.tokens)
            return loaded.ok_value
        self._events.emit(
            EventKind.LOAD_TURNED_DOWN,
            message.target,
            adapter=message.adapter,
            asked_by=sender.vm,
            detail=loaded.err_value.detail,
        )
        return failed(loaded.err_value)

    async def _on_reserve(self, sender, message: ReservePrompt):
        owner = self._owner_of(message.target, message.started_ms)
        if owner is None:
            # An engine that isn't owned here delays no prompt. An engine that is
            # owned here has restarted since, without the adapter.
            not_owned = message.target not in self._owners
            return PromptReserved(0.0, not_owned, not_owned)
        key = AdapterKey(message.model, message.adapter)
        age_s = self.announce_interval_s()
        return await self._places.reserve(owner, key, sender.vm, message, age_s)

    async def _on_ended(self, sender, message: RequestEnded) -> None:
        owner = self._owner_of(message.target, message.started_ms)
        if owner is None:
            return
        key = AdapterKey(message.model, message.adapter)
        self._loads.apply_ended(sender.vm, message.target, key, message.running)
        owner.end_turn(key, sender.vm)
        owner.measured.record(message)
        self._places.end(owner, key, sender.vm)

    async def _on_missing(self, sender, message: AdapterMissing) -> None:
        owner = self._owner_of(message.target, message.started_ms)
        if owner is not None:
            owner.on_adapter_missing(AdapterKey(message.model, message.adapter))
