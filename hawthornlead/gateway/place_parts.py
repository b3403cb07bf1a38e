"""Construction of the parts that count the places of targets over all VMs."""

from collections.abc import Callable

from ..admission.place_coordinators import CoordinatedTarget, PlaceCoordinator
from ..admission.place_events import PlaceEvents
from ..admission.place_queues import ShareOrder
from ..core_parts import CoreParts
from ..fleet.fleet_meshes import FleetMesh
from ..shares.fair_shares import FairShares
from .brittle_targets import BrittleTargets
from .engine_places import EnginePlaces
from .gateway_metrics import GatewayMetrics
from .memberships import Memberships
from .part_groups import Coordination, TargetParts
from .place_questions import PlaceQuestions
from .plain_places import PlainPlaces
from .run_times import RunTimes
from .target_limits import TargetLimits
from .target_loads import TargetLoads
from .target_tables import TargetTable


def build_plain_places(
    core: CoreParts,
    coordination: Coordination,
    known: TargetParts,
    metrics: GatewayMetrics,
    limits: TargetLimits,
    brittle: BrittleTargets,
    run_times: RunTimes,
) -> PlainPlaces | None:
    """Build what counts the places of plain targets, None if the setting is off."""
    if not core.settings["PLAIN_PLACES"]:
        return None
    targets, memberships = known.targets, coordination.memberships

    def find(target: str) -> CoordinatedTarget | None:
        entry = targets.entries.get(target)
        if entry is None or entry.draining:
            return None
        return CoordinatedTarget(entry.slots, entry.started_ms)

    report = _report("plain", core, metrics)
    coordinator = PlaceCoordinator(
        mesh=coordination.mesh,
        timers=core.timers,
        find=find,
        announced=known.loads.running,
        is_seen=memberships.is_reachable,
        report=report,
        new_shares=_share_order(core),
    )
    metrics.add_gauge(
        "waiting_for_plain_places",
        "Requests of all VMs that wait here for places at plain targets",
        lambda: coordinator.waiting,
    )
    places = PlainPlaces(
        targets=targets,
        memberships=memberships,
        mesh=coordination.mesh,
        timers=core.timers,
        run_times=run_times,
        report=report,
        keeps_own_rules=lambda target: (
            limits.is_limited(target) or brittle.is_brittle(target)
        ),
    )
    for part in (coordinator, places):
        targets.subscribe(lambda lost, _, part=part: part.discard(lost.target))
        targets.subscribe_restarts(
            lambda former, _, part=part: part.discard(former.target)
        )
    return places


def build_engine_places(
    core: CoreParts,
    memberships: Memberships,
    targets: TargetTable,
    loads: TargetLoads,
    metrics: GatewayMetrics,
) -> EnginePlaces | None:
    """Build what counts the places of owned engines, None if the setting is off."""
    if not core.settings["ENGINE_PLACES"]:
        return None
    places = EnginePlaces(
        loads=loads,
        timers=core.timers,
        is_seen=memberships.is_reachable,
        report=_report("engine", core, metrics),
        new_shares=_share_order(core),
    )
    targets.subscribe(lambda lost, _: places.discard(lost.target))
    metrics.add_gauge(
        "waiting_for_engine_places",
        "Requests of all VMs that wait here for places at engines",
        lambda: places.waiting,
    )
    return places


def build_place_questions(
    core: CoreParts, mesh: FleetMesh, loads: TargetLoads, metrics: GatewayMetrics
) -> PlaceQuestions | None:
    """Build what asks for places at engines, None if the setting is off."""
    if not core.settings["ENGINE_PLACES"]:
        return None
    report = _report("engine", core, metrics)
    return PlaceQuestions(mesh=mesh, loads=loads, timers=core.timers, report=report)


def _share_order(core: CoreParts) -> Callable[[], ShareOrder | None]:
    """Return what makes the order over workspaces for the waiters of one target."""
    return FairShares if core.settings["FAIR_SHARES"] else lambda: None


def _report(part: str, core: CoreParts, metrics: GatewayMetrics) -> PlaceEvents:
    """Return what reports the decisions of one part of admission."""
    return PlaceEvents(
        core.events,
        core.timers,
        lambda outcome: metrics.places.labels(part, outcome).inc(),
    )
