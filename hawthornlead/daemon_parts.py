"""The parts of one VM's process, built from the settings in three groups.

Each group is handed the groups that it builds on, so that what depends on what can be
read from the signatures; no part knows a group, only the collaborators it is handed::

    coordination = build_coordination(core, store=None)
    targets = build_targets(core, coordination)
    requests = build_requests(core, coordination, targets)
"""

from random import Random
from typing import Any, NamedTuple

from .allowances import Allowances
from .attempts import AttemptRunner
from .claims import Claims
from .clocks import HybridClock
from .drains import Drain
from .events import EventRing
from .evictions import EVICTIONS
from .exchanges import TargetConnections
from .grants import Grants
from .http_stores import HttpObjectStore
from .invariants import Invariants
from .leases import LeaseKeeper
from .limits import Admissions
from .load_orders import LOAD_ORDERS
from .members import Members
from .metrics import Metrics
from .owned_targets import Policies
from .owners import Owners
from .peers import PeerMesh
from .placements import PLACEMENTS, Placement
from .platforms import VmList
from .popularities import POPULARITIES, HighestPopularity, Popularity
from .popularity_shares import PopularityShares
from .request_claims import RequestClaims
from .requests import RequestPath
from .retries import Retries
from .rolls import BundleKeeper
from .routers import ROUTERS, Router
from .sent_attempts import SentAttempts
from .service_calls import ServicePath
from .settings import Settings
from .spares import SpareCopies
from .stores import ObjectStore
from .suspect_places import SuspectPlaces
from .suspects import Suspects
from .target_deaths import TargetDeaths
from .target_owners import TargetOwners
from .targets import TargetClients
from .timers import TimerService
from .views import TargetViews


class CoreParts(NamedTuple):
    """What nearly all parts are handed."""

    settings: Settings
    timers: TimerService
    events: EventRing
    metrics: Metrics
    invariants: Invariants
    clock: HybridClock
    rng: Random

    @property
    def common(self) -> dict[str, Any]:
        """The four collaborators that most constructors take, by keyword."""
        return {
            "settings": self.settings,
            "timers": self.timers,
            "events": self.events,
            "metrics": self.metrics,
        }


class CoordinationParts(NamedTuple):
    """What VMs agree by: the store, other VMs, leases, owners, bundles, claims."""

    store: ObjectStore
    vm_list: VmList
    mesh: PeerMesh
    members: Members
    leases: LeaseKeeper
    owners: Owners
    keeper: BundleKeeper
    claims: Claims


class TargetParts(NamedTuple):
    """What VMs know of targets and do for those that they own."""

    popularity: Popularity
    shares: PopularityShares
    placement: Placement
    router: Router
    clients: TargetClients
    views: TargetViews
    allowances: Allowances
    target_owners: TargetOwners
    grants: Grants


class RequestParts(NamedTuple):
    """What serves callers: requests for adapters, and calls to plain services."""

    connections: TargetConnections
    admissions: Admissions
    drain: Drain
    requests: RequestPath
    services: ServicePath


def build_core(settings: Settings, rng: Random) -> CoreParts:
    """Build what nearly all parts are handed."""
    timers = TimerService()
    metrics = Metrics()
    clock = HybridClock(timers)
    events = EventRing(settings["VM_NAME"], clock, int(settings["EVENT_RING"]))
    invariants = Invariants(events, metrics)
    return CoreParts(settings, timers, events, metrics, invariants, clock, rng)


def build_coordination(
    core: CoreParts, store: ObjectStore | None = None
) -> CoordinationParts:
    """Build what VMs agree by, over the platform's store unless one is given."""
    common, rng, invariants = core.common, core.rng, core.invariants
    incarnation = f"{core.settings['VM_NAME']}.{rng.getrandbits(64):016x}"
    store = store or HttpObjectStore(**common, rng=rng)
    vm_list = VmList(settings=core.settings, timers=core.timers, events=core.events)
    mesh = PeerMesh(**common, rng=rng, clock=core.clock, incarnation=incarnation)
    members = Members(**common, mesh=mesh, vm_list=vm_list, rng=rng)
    leases = LeaseKeeper(
        **common,
        rng=rng,
        store=store,
        mesh=mesh,
        members=members,
        invariants=invariants,
        incarnation=incarnation,
    )
    owners = Owners(
        **common,
        rng=rng,
        store=store,
        leases=leases,
        members=members,
        invariants=invariants,
    )
    keeper = BundleKeeper(
        **common,
        invariants=invariants,
        rng=rng,
        store=store,
        mesh=mesh,
        members=members,
        leases=leases,
    )
    claims = Claims(
        **common, invariants=invariants, store=store, mesh=mesh, members=members
    )
    return CoordinationParts(
        store, vm_list, mesh, members, leases, owners, keeper, claims
    )


def build_targets(core: CoreParts, coordination: CoordinationParts) -> TargetParts:
    """Build what knows targets, with the strategies that the settings name."""
    settings, timers, rng = core.settings, core.timers, core.rng
    mesh, owners = coordination.mesh, coordination.owners
    popularity = POPULARITIES[settings["POPULARITY"]](settings=settings)
    shares = PopularityShares(
        settings=settings,
        timers=timers,
        rng=rng,
        mesh=mesh,
        members=coordination.members,
        popularity=popularity,
    )
    placement = PLACEMENTS[settings["PLACEMENT"]](settings=settings)
    router = ROUTERS[settings["ROUTER"]](settings=settings, placement=placement)
    policies = _owner_policies(settings, popularity)
    clients = TargetClients(rng=rng)
    views = TargetViews(
        timers=timers, events=core.events, vm_list=coordination.vm_list, owners=owners
    )
    allowances = Allowances(
        **core.common,
        invariants=core.invariants,
        rng=rng,
        mesh=mesh,
        owners=owners,
        order=policies.load_order,
    )
    target_owners = TargetOwners(
        **core.common,
        invariants=core.invariants,
        rng=rng,
        mesh=mesh,
        owners=owners,
        vm_list=coordination.vm_list,
        views=views,
        allowances=allowances,
        policies=policies,
        make_client=clients.client,
    )
    grants = Grants(**core.common, invariants=core.invariants, mesh=mesh, owners=owners)
    return TargetParts(
        popularity,
        shares,
        placement,
        router,
        clients,
        views,
        allowances,
        target_owners,
        grants,
    )


def _owner_policies(settings: Settings, requested: Popularity) -> Policies:
    """Return what an owner decides by; ``requested`` is what VMs tell one another."""
    # Owners count what all VMs begin on their targets, by their renewals; sharing
    # the counters of this VM's own requests would count those twice.
    granted = POPULARITIES[settings["POPULARITY"]](settings=settings)
    return Policies(
        EVICTIONS[settings["EVICTION"]](settings=settings),
        LOAD_ORDERS[settings["LOAD_ORDER"]](settings=settings),
        HighestPopularity(granted, requested),
    )


def build_requests(
    core: CoreParts, coordination: CoordinationParts, targets: TargetParts
) -> RequestParts:
    """Build the paths of callers' requests, and what both share."""
    settings, timers = core.settings, core.timers
    connections = TargetConnections(timers=timers)
    admissions = Admissions(settings=settings, timers=timers, rng=core.rng)
    retries = Retries(settings=settings, timers=timers, rng=core.rng)
    claims = RequestClaims(settings=settings, timers=timers, claims=coordination.claims)
    sent = SentAttempts(invariants=core.invariants)
    drain = Drain(
        **core.common, members=coordination.members, invariants=core.invariants
    )
    requests = _build_request_path(
        core,
        coordination,
        targets,
        connections=connections,
        admissions=admissions,
        retries=retries,
        claims=claims,
        sent=sent,
    )
    services = ServicePath(
        **core.common,
        rng=core.rng,
        vm_list=coordination.vm_list,
        admissions=admissions,
        claims=claims,
        retries=retries,
        connections=connections,
        sent=sent,
    )
    return RequestParts(connections, admissions, drain, requests, services)


def _build_request_path(
    core: CoreParts,
    coordination: CoordinationParts,
    targets: TargetParts,
    *,
    connections: TargetConnections,
    admissions: Admissions,
    retries: Retries,
    claims: RequestClaims,
    sent: SentAttempts,
) -> RequestPath:
    timers, mesh = core.timers, coordination.mesh
    suspects = Suspects(
        settings=core.settings, timers=timers, events=core.events, mesh=mesh
    )
    deaths = TargetDeaths(
        events=core.events,
        mesh=mesh,
        suspects=suspects,
        views=targets.views,
        clients=targets.clients,
    )
    attempts = AttemptRunner(
        **core.common,
        invariants=core.invariants,
        connections=connections,
        clients=targets.clients,
        sent=sent,
    )
    spares = SpareCopies(
        timers=timers,
        views=targets.views,
        grants=targets.grants,
        placement=targets.placement,
        popularity=targets.popularity,
    )
    return RequestPath(
        **core.common,
        invariants=core.invariants,
        keeper=coordination.keeper,
        admissions=admissions,
        views=targets.views,
        grants=targets.grants,
        claims=claims,
        retries=retries,
        suspects=suspects,
        deaths=deaths,
        places=SuspectPlaces(timers=timers, mesh=mesh),
        router=targets.router,
        popularity=targets.popularity,
        shares=targets.shares,
        spares=spares,
        attempts=attempts,
        sent=sent,
    )
