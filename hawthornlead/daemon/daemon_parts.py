"""Builds the parts of one VM's process from the settings, in three groups.

Each function takes the groups that its own group depends on, so the signatures show
the dependencies. A part knows no group, only the collaborators passed to it::

    coordination = build_coordination(core, store=None)
    targets = build_targets(core, coordination)
    requests = build_requests(core, coordination, targets)
"""

from typing import Any, NamedTuple

from ..bundles.rolls import BundleKeeper
from ..callers.attempts import AttemptRunner
from ..callers.claims import Claims
from ..callers.drains import Drain
from ..callers.request_claims import RequestClaims
from ..callers.requests import CrashParts, RequestPath, Routing
from ..callers.sent_attempts import SentAttempts
from ..callers.service_calls import ServicePath
from ..core_parts import CoreParts
from ..decisions.evictions import EVICTIONS
from ..decisions.limits import Admissions
from ..decisions.load_orders import LOAD_ORDERS
from ..decisions.placements import PLACEMENTS, Placement
from ..decisions.popularities import POPULARITIES, HighestPopularity, Popularity
from ..decisions.popularity_exchanges import PopularityExchange
from ..decisions.retries import Retries
from ..decisions.routers import ROUTERS, Router
from ..decisions.suspects import Suspects
from ..decisions.views import TargetViews
from ..engines.allowances import Allowances
from ..engines.exchanges import TargetConnections
from ..engines.grants import Grants
from ..engines.hot_copies import HotCopies
from ..engines.owned_targets import Policies
from ..engines.suspect_reservations import SuspectReservations
from ..engines.target_deaths import TargetDeaths
from ..engines.target_owners import TargetOwners
from ..engines.targets import TargetClients
from ..mesh.peers import PeerMesh
from ..ownership.leases import LeaseKeeper
from ..ownership.members import Members
from ..ownership.owners import Owners
from ..ownership.platforms import VmList
from ..settings import Settings
from ..stores.http_stores import HttpObjectStore
from ..stores.stores import ObjectStore


class CoordinationParts(NamedTuple):
    """The parts that coordinate VMs: store, mesh, leases, owners, bundles, claims."""

    store: ObjectStore
    vm_list: VmList
    mesh: PeerMesh
    members: Members
    leases: LeaseKeeper
    owners: Owners
    keeper: BundleKeeper
    claims: Claims


class TargetParts(NamedTuple):
    """The parts that observe targets, and manage those that this VM owns."""

    popularity: Popularity
    shares: PopularityExchange
    placement: Placement
    router: Router
    clients: TargetClients
    views: TargetViews
    allowances: Allowances
    target_owners: TargetOwners
    grants: Grants


class RequestParts(NamedTuple):
    """The parts that serve adapter requests and calls to plain services."""

    connections: TargetConnections
    admissions: Admissions
    drain: Drain
    requests: RequestPath
    services: ServicePath


def build_coordination(
    core: CoreParts, store: ObjectStore | None = None
) -> CoordinationParts:
    """Build the coordination parts, with the platform's store unless one is given."""
    common = _common(core)
    rng, invariants = core.rng, core.invariants
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
        core=core, store=store, mesh=mesh, members=members, leases=leases
    )
    claims = Claims(core=core, store=store, mesh=mesh, members=members)
    return CoordinationParts(
        store, vm_list, mesh, members, leases, owners, keeper, claims
    )


def _common(core: CoreParts) -> dict[str, Any]:
    """Return the keyword arguments that several parts have in common."""
    return {
        "settings": core.settings,
        "timers": core.timers,
        "events": core.events,
        "metrics": core.metrics,
    }


def build_targets(core: CoreParts, coordination: CoordinationParts) -> TargetParts:
    """Build the target parts, with the strategies that the settings name."""
    settings, timers, rng = core.settings, core.timers, core.rng
    mesh, owners = coordination.mesh, coordination.owners
    popularity = POPULARITIES[settings["POPULARITY"]](settings=settings)
    shares = PopularityExchange(
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
        core=core,
        mesh=mesh,
        owners=owners,
        order=policies.load_order,
    )
    target_owners = TargetOwners(
        core=core,
        mesh=mesh,
        owners=owners,
        vm_list=coordination.vm_list,
        views=views,
        allowances=allowances,
        policies=policies,
        make_client=clients.client,
    )
    grants = Grants(core=core, mesh=mesh, owners=owners)
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
    """Return an owner's policies; ``requested`` is the popularity that VMs exchange."""
    # Owners count the requests that all VMs start on their targets, from grant
    # renewals. Sharing the counters of this VM's own requests would count these twice.
    granted = POPULARITIES[settings["POPULARITY"]](settings=settings)
    return Policies(
        EVICTIONS[settings["EVICTION"]](settings=settings),
        LOAD_ORDERS[settings["LOAD_ORDER"]](settings=settings),
        HighestPopularity(granted, requested),
    )


def build_requests(
    core: CoreParts, coordination: CoordinationParts, targets: TargetParts
) -> RequestParts:
    """Build the request path, the service path, and the parts that both share."""
    settings, timers = core.settings, core.timers
    connections = TargetConnections(timers=timers)
    admissions = Admissions(settings=settings, timers=timers, rng=core.rng)
    retries = Retries(settings=settings, timers=timers, rng=core.rng)
    claims = RequestClaims(settings=settings, timers=timers, claims=coordination.claims)
    sent = SentAttempts(invariants=core.invariants)
    drain = Drain(core=core, members=coordination.members)
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
        core=core,
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
        core=core,
        connections=connections,
        clients=targets.clients,
        sent=sent,
    )
    hot_copies = HotCopies(
        timers=timers,
        views=targets.views,
        grants=targets.grants,
        placement=targets.placement,
        popularity=targets.popularity,
    )
    return RequestPath(
        core=core,
        keeper=coordination.keeper,
        admissions=admissions,
        routing=Routing(
            targets.views, targets.router, targets.popularity, targets.grants
        ),
        crashes=CrashParts(
            suspects, deaths, SuspectReservations(timers=timers, mesh=mesh)
        ),
        claims=claims,
        retries=retries,
        shares=targets.shares,
        hot_copies=hot_copies,
        attempts=attempts,
        sent=sent,
    )
