"""Construction of one gateway's parts in three groups, and the parts that requests use.

The first group is built in ``coordination_parts``. Each build function takes the groups
that it depends on, so its signature shows the dependencies. A part never gets a whole
group, only the parts that it uses::

    coordination = build_coordination(core, metrics)
    targets = build_targets(core, coordination, metrics)
    parts = build_requests(core, coordination, targets, metrics)
"""

from collections.abc import Callable, Iterable

from ..core_parts import CoreParts
from ..decisions.quotas import QuotaLedger
from ..decisions.retries import Retries
from ..decisions.suspects import Suspects
from ..eras.followed_targets import FollowedTargets
from ..platform.targets import read_target
from ..provenance.origin_ledgers import RouteOrigin
from ..provenance.recorded_origins import RecordedOrigins, build_recorded_origins
from ..provenance.writer_proofs import WriterProofs
from .brittle_targets import BrittleTargets
from .coordination_parts import ASSUMED_VMS
from .crash_watches import CrashWatch
from .engine_calls import EngineCalls
from .engine_managers import EngineManager
from .gateway_metrics import GatewayMetrics
from .leaving_notices import LeavingNotices
from .loss_detectors import LossDetector
from .measured_engines import MeasuredEngines
from .part_groups import Coordination, TargetParts
from .place_parts import build_engine_places, build_place_questions, build_plain_places
from .placers import Placer
from .prompt_quarantines import PromptQuarantines
from .quota_ledgers import read_limits
from .records import Configuration, TargetEntry
from .request_servers import MAX_BODY_BYTES
from .routes import RouteTable
from .run_times import RunTimes
from .stream_origins import StreamOrigins
from .target_backoffs import TargetBackoffs
from .target_connections import TargetConnections
from .target_healths import TargetHealths
from .target_limits import TargetLimits
from .target_loads import TargetLoads
from .target_paths import TargetPaths
from .target_probes import TargetProbes
from .target_tables import TargetTable
from .vm_relays import RelayVms
from .workspaces import WorkspaceTable


class GatewayParts:
    """The collaborators of all requests, and the configuration in force."""

    def __init__(
        self,
        *,
        core: CoreParts,
        metrics: GatewayMetrics,
        targets: TargetTable,
        placer: Placer,
        paths: TargetPaths,
        relay_vms: RelayVms,
        loads: TargetLoads,
        healths: TargetHealths,
        suspects: Suspects,
        quarantines: PromptQuarantines,
        crash_watch: CrashWatch,
        loss_detector: LossDetector,
        limits: TargetLimits,
        backoffs: TargetBackoffs,
        brittle: BrittleTargets,
        leaving_notices: LeavingNotices,
        run_times: RunTimes,
        quotas: QuotaLedger,
        origins: StreamOrigins,
        recorded_origins: RecordedOrigins,
        writer_proofs: WriterProofs,
        measured: MeasuredEngines,
    ):
        self._settings = core.settings
        self._budgets: dict[str, Retries] = {}
        self.timers = core.timers
        self.rng = core.rng
        self.events = core.events
        self.metrics = metrics
        self.targets = targets
        self.placer = placer
        self.paths = paths
        self.relay_vms = relay_vms
        self.loads = loads
        self.healths = healths
        self.suspects = suspects
        self.quarantines = quarantines
        self.crash_watch = crash_watch
        self.loss_detector = loss_detector
        self.limits = limits
        self.backoffs = backoffs
        self.brittle = brittle
        self.leaving_notices = leaving_notices
        self.run_times = run_times
        self.quotas = quotas
        self.origins = origins
        self.recorded_origins = recorded_origins
        self.writer_proofs = writer_proofs
        self.measured = measured
        self.configuration: Configuration | None = None
        self.routes: RouteTable | None = None
        self.workspaces = WorkspaceTable(None)
        # Whether this VM would know of any newer configuration in force.
        self.configuration_is_current: Callable[[], bool] = lambda: True

    def budget(self, service: str) -> Retries:
        """Return this VM's retry budget towards a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = Retries(
                settings=self._settings, timers=self.timers, rng=self.rng
            )
        return budget

    def origins_in_use(self) -> Iterable[RouteOrigin]:
        """Return where streams that may be resumed begin."""
        if self.configuration is None:
            return ()
        return self.writer_proofs.origins_in_use(self.configuration)

    def max_body_bytes(self) -> int:
        """Return the largest body that a caller may send now.

        A configuration that may be old doesn't bind callers of a newer one.
        """
        if self.configuration is None or not self.configuration_is_current():
            return MAX_BODY_BYTES
        return min(MAX_BODY_BYTES, self.configuration.limits.body_bytes)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self.workspaces = WorkspaceTable(configuration.workspaces)
        self.placer.apply_configuration(configuration)
        self.quotas.apply_limits(read_limits(configuration))


def build_targets(
    core: CoreParts, coordination: Coordination, metrics: GatewayMetrics
) -> TargetParts:
    """Build the state of targets, and the manager of the engines that this VM owns."""
    timers, memberships = core.timers, coordination.memberships
    targets = TargetTable(memberships=memberships, timers=timers, events=core.events)
    connections = TargetConnections(timers=timers)
    paths = TargetPaths(
        targets=targets,
        connections=connections,
        timers=timers,
        rng=core.rng,
        events=core.events,
    )
    paths.on_changed = lambda: memberships.mark_reach(not paths.unreachable)
    metrics.add_gauge(
        "unreached_services",
        "Services of which this VM can't connect to any target",
        lambda: len(paths.unreachable),
    )
    loads = TargetLoads(timers=timers, incarnation=targets.incarnation)
    measured = MeasuredEngines(
        enabled=core.settings["MEASURED_ENGINES"],
        targets=targets,
        loads=loads,
        timers=timers,
        events=core.events,
    )
    metrics.add_gauge(
        "measured_engines",
        "Model engines whose measured speed this VM knows",
        lambda: measured.count,
    )
    engine_manager = EngineManager(
        memberships=memberships,
        ownerships=coordination.ownerships,
        targets=targets,
        paths=paths,
        loads=loads,
        calls=EngineCalls(connections=connections),
        mesh=coordination.mesh,
        timers=timers,
        events=core.events,
        metrics=metrics,
        quotas=coordination.quotas,
        learned_fetches=core.settings["LEARNED_FETCHES"],
        measured=measured,
        places=build_engine_places(core, memberships, targets, loads, metrics),
    )
    healths = TargetHealths(timers=timers)
    followed = FollowedTargets(
        entries=targets.entries,
        apply=targets.apply_entry,
        remove=targets.remove_entry,
        read=read_target,
        now=timers.now,
    )
    return TargetParts(
        targets, followed, connections, paths, loads, healths, engine_manager, measured
    )


def build_requests(
    core: CoreParts,
    coordination: Coordination,
    known: TargetParts,
    metrics: GatewayMetrics,
) -> GatewayParts:
    """Build the parts that serve the requests of callers."""
    timers, mesh = core.timers, coordination.mesh

    def vms() -> int:
        """Return how many VMs share what targets accept."""
        return coordination.memberships.registered_order.count or ASSUMED_VMS

    suspects = Suspects(settings=core.settings, timers=timers, events=core.events)
    quarantines = PromptQuarantines(
        settings=core.settings,
        suspects=suspects,
        timers=timers,
        rng=core.rng,
        events=core.events,
        metrics=metrics,
        mesh=mesh,
        vms=vms,
    )
    metrics.add_gauge(
        "quarantined_parts",
        "Prompt parts that are refused because they crash targets",
        lambda: len(quarantines.quarantined),
    )
    crash_watch = CrashWatch(
        quarantines=quarantines,
        connections=known.connections,
        timers=timers,
        events=core.events,
    )
    loss_detector = LossDetector(
        targets=known.targets,
        probes=TargetProbes(
            connections=known.connections, timers=timers, metrics=metrics
        ),
        connections=known.connections,
        healths=known.healths,
        paths=known.paths,
        timers=timers,
        events=core.events,
        metrics=metrics,
    )
    limits = TargetLimits(
        timers=timers,
        rng=core.rng,
        events=core.events,
        mesh=mesh,
        vms=vms,
        incarnation=known.targets.incarnation,
    )
    metrics.add_gauge(
        "limited_targets",
        "Targets that name a limit of requests a second",
        lambda: len(limits.named),
    )
    brittle = BrittleTargets(
        targets=known.targets,
        loads=known.loads,
        timers=timers,
        rng=core.rng,
        events=core.events,
        mesh=mesh,
        vms=vms,
    )
    backoffs = TargetBackoffs(
        timers=timers, events=core.events, wait_for_room_s=brittle.wait_s
    )
    run_times = RunTimes()
    plain_places = build_plain_places(
        core, coordination, known, metrics, limits, brittle, run_times
    )
    placer = Placer(
        data_centre=core.settings["DATA_CENTRE"],
        targets=known.targets,
        loads=known.loads,
        healths=known.healths,
        limits=limits,
        backoffs=backoffs,
        mesh=mesh,
        timers=timers,
        metrics=metrics,
        run_times=run_times,
        measured=known.measured,
        plain_places=plain_places,
        place_questions=build_place_questions(core, mesh, known.loads, metrics),
    )

    def discard_former(former: TargetEntry, entry: TargetEntry) -> None:
        """Discard the state of a target's former incarnation."""
        known.connections.forget(former.address)
        known.healths.discard(former.target)
        known.loads.on_restarted(former.target)
        placer.discard(former.target)
        limits.discard(former.target)
        backoffs.discard(former.target)
        brittle.discard(former.target)
        crash_watch.on_restarted(former)

    origins = StreamOrigins(
        memberships=coordination.memberships,
        mesh=mesh,
        timers=timers,
        metrics=metrics,
    )
    recorded_origins = build_recorded_origins(
        core.settings,
        client=coordination.client,
        timers=timers,
        vms=coordination.memberships.live,
        fleet_size=vms,
        # Not called before ``parts`` is built below.
        wanted=lambda: parts.origins_in_use(),
        on_streams=origins.learn,
    )
    coordination.memberships.registration.subscribe(recorded_origins.start)
    writer_proofs = WriterProofs(
        targets=known.targets,
        ledger=recorded_origins.ledger,
        paths=known.paths,
        calls=EngineCalls(connections=known.connections),
        metrics=metrics,
    )
    metrics.add_gauge(
        "recorded_streams",
        "Streams whose origin this VM's record in the store names",
        lambda: recorded_origins.ledger.recorded_streams,
    )
    metrics.add_gauge(
        "stream_origins",
        "Streams of which this VM knows the software version that began them",
        lambda: origins.count,
    )
    known.targets.subscribe_restarts(discard_former)
    known.targets.subscribe(lambda lost, _: placer.discard(lost.target))
    known.targets.subscribe(lambda lost, _: limits.discard(lost.target))
    known.targets.subscribe(lambda lost, _: backoffs.discard(lost.target))
    known.targets.subscribe(lambda lost, _: brittle.discard(lost.target))
    parts = GatewayParts(
        core=core,
        metrics=metrics,
        targets=known.targets,
        placer=placer,
        paths=known.paths,
        relay_vms=RelayVms(
            memberships=coordination.memberships, timers=timers, rng=core.rng
        ),
        loads=known.loads,
        healths=known.healths,
        suspects=suspects,
        quarantines=quarantines,
        crash_watch=crash_watch,
        loss_detector=loss_detector,
        limits=limits,
        backoffs=backoffs,
        brittle=brittle,
        leaving_notices=LeavingNotices(targets=known.targets, mesh=mesh),
        run_times=run_times,
        quotas=coordination.quotas,
        origins=origins,
        recorded_origins=recorded_origins,
        writer_proofs=writer_proofs,
        measured=known.measured,
    )
    return parts
