"""Construction of the parts that count the places of plain targets."""

from ..admission.place_coordinators import CoordinatedTarget, PlaceCoordinator
from ..admission.place_events import PlaceEvents
from ..core_parts import CoreParts
from .brittle_targets import BrittleTargets
from .gateway_metrics import GatewayMetrics
from .part_groups import Coordination, TargetParts
from .plain_places import PlainPlaces
from .run_times import RunTimes
from .target_limits import TargetLimits


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

    report = PlaceEvents(
        core.events,
        core.timers,
        lambda outcome: metrics.places.labels("plain", outcome).inc(),
    )
    coordinator = PlaceCoordinator(
        mesh=coordination.mesh,
        timers=core.timers,
        find=find,
        announced=known.loads.running,
        is_seen=memberships.is_reachable,
        report=report,
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
