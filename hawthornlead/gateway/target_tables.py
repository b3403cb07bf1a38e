"""The table of targets as one VM knows them: their entries, adapters and owners."""

from collections.abc import Callable

from ..engine_speeds.engine_speeds import EngineSpeed
from ..events import EventKind, EventRing
from ..messages.gateways import TargetHoldings
from ..platform.configurations import read_adapter_version
from ..platform.targets import read_target
from ..timers import TimerService
from .engine_slots import AdapterKey
from .memberships import Memberships
from .observed_targets import ObservedTarget
from .records import (
    Incarnation,
    Loss,
    RestartSeen,
    ServiceSpec,
    StoredRecord,
    TargetEntry,
)
from .synthetic_starts import next_start, shows_restart
from .target_choices import Holding
from .watchers import KindWatcher

# Entries that lapsed during a store outage are back about 2 s after the store is.
ENTRY_RETURN_TIMEOUT_S = 2.3
# A leaving target whose entry lapsed may come back to the store before it has exited.
LEAVING_TTL_S = 60.0


class TargetTable:
    """Entries of targets, versions of adapters, and what the owners report.

    ::

        for entry in targets.of_service("huvo11a"):
            targets.holding(entry, service, AdapterKey("m", "a3"))
    """

    def __init__(
        self, *, memberships: Memberships, timers: TimerService, events: EventRing
    ):
        self._events = events
        self._memberships = memberships
        self._timers = timers
        self._entries: dict[str, TargetEntry] = {}
        self._by_service: dict[str, dict[str, TargetEntry]] = {}
        self._lapsed: dict[str, float] = {}
        self._versions: dict[AdapterKey, int] = {}
        self._observed: dict[str, ObservedTarget] = {}
        self._stored_starts: dict[str, int | None] = {}
        # When this VM learned that a target leaves, from an answer of the target.
        self._leaving: dict[Incarnation, float] = {}
        self._on_restarted: list[Callable[[TargetEntry, TargetEntry], None]] = []
        self._on_lost: list[Callable[[Incarnation, Loss], None]] = []
        self.watcher: KindWatcher | None = None

    @property
    def entries(self) -> dict[str, TargetEntry]:
        """All targets, by id."""
        return self._entries

    def of_service(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the targets of a service that take new work."""
        entries = self._by_service.get(service, {}).values()
        return tuple([entry for entry in entries if not entry.draining])

    def is_usable(self, target: str) -> bool:
        """Whether a target takes new work now."""
        entry = self._entries.get(target)
        return entry is not None and not entry.draining

    def is_current(self, entry: TargetEntry) -> bool:
        """Whether the incarnation that an entry describes takes new work."""
        return self.is_usable(entry.target) and self.has_entry(entry.incarnation)

    def has_entry(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation, draining or not, has an entry now."""
        known = self._entries.get(incarnation.target)
        return known is not None and known.incarnation.matches(incarnation)

    def incarnation(self, target: str) -> Incarnation:
        """Return the newest incarnation of a target that this VM knows of."""
        observed = self._observed.get(target)
        return Incarnation(target, observed.started_ms if observed else None)

    def states_start(self, target: str) -> bool:
        """Whether a target's entries state its start, so that it may keep its id."""
        return self._stored_starts.get(target) is not None

    def known_since(self, target: str) -> float:
        """Return when this VM first saw the current incarnation of a target."""
        return self._observed_target(target).since

    def version(self, key: AdapterKey) -> int:
        """Return the version of an adapter in force, 0 if there is none."""
        return self._versions.get(key, 0)

    def owner(self, target: str) -> str:
        """Return the VM that orders an engine, empty if unknown."""
        observed = self._observed.get(target)
        return observed.owner if observed else ""

    def is_orderable(self, target: str) -> bool:
        """Whether the VM that orders an engine is reachable now."""
        owner = self.owner(target)
        return bool(owner) and self._memberships.is_reachable(owner)

    def holding(
        self, entry: TargetEntry, service: ServiceSpec, key: AdapterKey
    ) -> Holding:
        """Return how a target holds an adapter, or a base model if it has no name."""
        if service.engine is None or not key.model:
            return Holding.READY
        observed = self._observed_target(entry.target)
        if not observed.holds_model(entry, key.model):
            return Holding.UNKNOWN
        if not key.adapter:
            return Holding.READY
        held = observed.held(entry, key)
        if held is None:
            return Holding.RECENT if observed.held_recently(key) else Holding.ABSENT
        version, ready = held
        required = self.version(key)
        if required and ready and version < required:
            return Holding.OLD_VERSION
        return Holding.READY if ready else Holding.ARRIVING

    def subscribe(self, on_lost: Callable[[Incarnation, Loss], None]) -> None:
        """Call ``on_lost`` with a target's incarnation that ended, and the proof."""
        self._on_lost.append(on_lost)

    def subscribe_restarts(
        self, on_restarted: Callable[[TargetEntry, TargetEntry], None]
    ) -> None:
        """Call ``on_restarted`` with the former and the new entry of a target.

        It is called before ``on_lost``: retried requests must find no former state.
        """
        self._on_restarted.append(on_restarted)

    # Changes from the store

    def apply_entry(self, record: StoredRecord) -> None:
        """Apply a target's entry.

        Raises ``ValueError`` if the entry has no start although an earlier one had:
        another writer wrote it.
        """
        entry = self._resolve_start(read_target(record))
        if entry is None:
            return
        if entry.incarnation in self._leaving:
            # The target said in an answer that it leaves; its entry may be older.
            entry = entry._replace(draining=True)
        known = self._entries.get(entry.target)
        if entry.incarnation != self.incarnation(entry.target):
            self._start_incarnation(entry, RestartSeen.ENTRY)
        if known is None or known.draining != entry.draining:
            self._events.emit(
                EventKind.TARGET_CAME,
                entry.target,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
                leaves_in_s=entry.leaves_in_s,
                revision=record.revision,
                software=entry.software,
            )
        if known is not None and known.service != entry.service:
            self._by_service[known.service].pop(entry.target, None)
        self._lapsed.pop(entry.target, None)
        self._store_entry(entry)

    def remove_entry(self, target: str) -> None:
        """Remove a target whose entry was removed, at once or after an outage's grace.

        Entries of live targets also lapse during a store outage and come back soon
        after it. Until then their targets stay in use.
        """
        back_at = self.watcher.back_at if self.watcher else 0.0
        now = self._timers.now()
        if back_at and now - back_at < ENTRY_RETURN_TIMEOUT_S:
            self._lapsed[target] = back_at + ENTRY_RETURN_TIMEOUT_S
            return
        self._remove_target(target)

    def remove_unreadable(self, target: str) -> None:
        """Remove a target at once whose entry can't be read.

        It hasn't lapsed but may be another writer's, so the target gets no grace.
        """
        self._lapsed.pop(target, None)
        self._remove_target(target)

    def sweep(self) -> None:
        """Remove targets that didn't come back after an outage, and expired notices."""
        now = self._timers.now()
        for target, until in tuple(self._lapsed.items()):
            if now >= until:
                del self._lapsed[target]
                self._remove_target(target)
        for leaving, since in tuple(self._leaving.items()):
            if now - since > LEAVING_TTL_S and leaving.target not in self._entries:
                del self._leaving[leaving]

    def apply_version(self, record: StoredRecord) -> None:
        """Put a version of an adapter in force if it is newer than the known one."""
        published = read_adapter_version(record)
        key = AdapterKey(published.model, published.adapter)
        if published.version > self.version(key):
            self._events.emit(
                EventKind.VERSION_IN_FORCE,
                published.adapter,
                version=published.version,
                revision=record.revision,
            )
            self._versions[key] = published.version

    def keep_version(self, name: str) -> None:
        """Keep the version of a removed object: versions never go back."""

    # Reports of targets and owners

    def mark_leaving(self, incarnation: Incarnation) -> bool:
        """Stop sending new work to a target that said in an answer that it leaves.

        Its entry shows this later, and not in a store outage. Return whether it is new.
        """
        known = self._entries.get(incarnation.target)
        if known is None or not incarnation.matches(known.incarnation):
            return False
        if known.incarnation in self._leaving:
            return False
        self._leaving[known.incarnation] = self._timers.now()
        self._store_entry(known._replace(draining=True))
        self._events.emit(EventKind.TARGET_LEAVES, known.target)
        return True

    def apply_holdings(self, vm: str, holdings: TargetHoldings) -> None:
        """Apply what an owner reports of its engine, unless a newer owner is known."""
        incarnation = Incarnation(holdings.target, holdings.started_ms)
        if self.observe_incarnation(incarnation, RestartSeen.PEER_MESSAGE):
            self._observed_target(holdings.target).apply(
                vm, holdings, self._timers.now()
            )

    def on_released(self, vm: str, target: str, fence: int) -> None:
        """Clear the owner of an engine that a VM released under a fence."""
        observed = self._observed.get(target)
        if observed is not None:
            observed.on_released(vm, fence)

    def turn_at(self, target: str) -> float:
        """Return when a prompt would have its turn at an engine, as last reported."""
        observed = self._observed.get(target)
        return observed.turn_at if observed else 0.0

    def record_turn(self, target: str, wait_s: float) -> None:
        """Record how long a prompt would wait at an engine, as its owner answered."""
        self._observed_target(target).turn_at = self._timers.now() + wait_s

    def arriving(self, target: str) -> int:
        """Return how many adapters are being fetched to an engine, as reported."""
        observed = self._observed.get(target)
        return observed.arriving if observed else 0

    def mark_refused(self, target: str, key: AdapterKey, arriving=False) -> None:
        """Mark a refused adapter as absent, or as still arriving."""
        self._observed_target(target).mark_refused(key, arriving)

    def speed(self, target: str) -> EngineSpeed:
        """Return the speed of an engine as its owner measured it."""
        observed = self._observed.get(target)
        return observed.speed if observed else EngineSpeed()

    # Incarnations

    def observe_incarnation(self, seen: Incarnation, source: RestartSeen) -> bool:
        """Compare a reported incarnation with the known one; False if it is older.

        A newer one replaces the known incarnation and everything observed of it.
        """
        current = self.incarnation(seen.target)
        if seen.precedes(current):
            return False
        if not current.precedes(seen):
            if current.started_ms is None and seen.started_ms is not None:
                self._adopt_start(seen)
            return True
        known = self._entries.get(seen.target)
        if known is None:
            self._reset_observed(seen)
            return True
        # The new incarnation's own entry or its owner will report what it holds. Where
        # entries state starts, only that entry can say which software it runs.
        entry = known._replace(started_ms=seen.started_ms, models=())
        if self._stored_starts.get(seen.target) is not None:
            entry = entry._replace(software="")
        self._start_incarnation(entry, source)
        return True

    def on_order_count_reset(self, target: str) -> None:
        """Start a new incarnation of an engine whose order count began again.

        It reports no start, so all VMs tell the new one apart by a synthetic start.
        """
        current = self.incarnation(target)
        restarted = current._replace(started_ms=next_start(current))
        known = self._entries.get(target)
        if known is not None:
            entry = known._replace(started_ms=restarted.started_ms, models=())
            self._start_incarnation(entry, RestartSeen.COUNT)

    def _resolve_start(self, entry: TargetEntry) -> TargetEntry | None:
        """Return an entry with its start set, None if its incarnation is over.

        The store's revisions order entries, so another start there is a later one
        whatever the target's clock says. An entry is old only if a report or another VM
        told of a later start, whose own entry is still to come.
        """
        target = entry.target
        stored_ms = self._stored_starts.get(target)
        if stored_ms is not None and entry.started_ms is None:
            raise ValueError("entry has no start although an earlier entry had one")
        self._stored_starts[target] = entry.started_ms
        current = self.incarnation(target)
        if entry.started_ms is not None:
            reported_first = stored_ms != current.started_ms
            old = reported_first and entry.incarnation.precedes(current)
            return None if old else entry
        # Where starts aren't reported, the synthetic one of the last restart stays.
        known = self._entries.get(target)
        if known is not None and shows_restart(known, entry):
            return entry._replace(started_ms=next_start(current))
        return entry._replace(started_ms=current.started_ms)

    def _start_incarnation(self, entry: TargetEntry, source: RestartSeen) -> None:
        """Replace the entry of a target's former incarnation by that of its new one."""
        former = self._entries.get(entry.target)
        self._reset_observed(entry.incarnation)
        if former is None:
            return
        self._store_entry(entry)
        self._events.emit(
            EventKind.TARGET_RESTARTED,
            entry.target,
            former_started_ms=former.started_ms,
            started_ms=entry.started_ms,
            former_address=former.address,
            address=entry.address,
            seen=source.value,
        )
        for on_restarted in self._on_restarted:
            on_restarted(former, entry)
        self._notify_lost(former.incarnation, Loss.RESTARTED)

    def _reset_observed(self, incarnation: Incarnation) -> None:
        former = self._observed_target(incarnation.target)
        self._observed[incarnation.target] = ObservedTarget(
            incarnation.started_ms, self._timers.now(), former.owner, former.fence
        )

    def _adopt_start(self, seen: Incarnation) -> None:
        """Set the start of the current incarnation, which had none until now."""
        self._observed_target(seen.target).started_ms = seen.started_ms
        known = self._entries.get(seen.target)
        if known is None:
            return
        entry = known._replace(started_ms=seen.started_ms)
        if known.incarnation in self._leaving:
            self._leaving[entry.incarnation] = self._leaving.pop(known.incarnation)
        self._store_entry(entry)

    def _observed_target(self, target: str) -> ObservedTarget:
        observed = self._observed.get(target)
        if observed is None:
            observed = ObservedTarget(None, self._timers.now())
            self._observed[target] = observed
        return observed

    def _store_entry(self, entry: TargetEntry) -> None:
        self._entries[entry.target] = entry
        self._by_service.setdefault(entry.service, {})[entry.target] = entry

    def _remove_target(self, target: str) -> None:
        entry = self._entries.pop(target, None)
        if entry is None:
            return
        self._events.emit(EventKind.TARGET_GONE, target, service=entry.service)
        self._by_service[entry.service].pop(target, None)
        self._observed.pop(target, None)
        if self._stored_starts.get(target) is None:
            self._stored_starts.pop(target, None)
        self._notify_lost(entry.incarnation, Loss.ENTRY_GONE)

    def _notify_lost(self, incarnation: Incarnation, loss: Loss) -> None:
        for on_lost in self._on_lost:
            on_lost(incarnation, loss)
