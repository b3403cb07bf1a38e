"""The daemon of one VM: builds all parts from the settings and runs them.

Parts know only the collaborators that they are handed; this is the one place that
knows all of them. Embedders build the parts that they want in the same way::

    daemon = Daemon(settings)
    await daemon.start()
    await daemon.stop()
"""

import asyncio
import gc
import secrets
import signal
from random import Random

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.web import Application

from .allowances import Allowances
from .attempts import AttemptRunner
from .caller_servers import CallerServer
from .claims import Claims
from .clocks import HybridClock
from .command_handlers import CallerParts, UnknownHandler, caller_routes
from .drains import Drain
from .errors import Failure
from .events import EventKind, EventRing
from .evictions import EVICTIONS
from .exchanges import TargetConnections
from .grants import Grants
from .http_stores import HttpObjectStore
from .invariants import Invariants
from .leases import LeaseKeeper
from .limits import Admissions
from .listeners import Listeners, address_of, open_listeners, refused
from .load_orders import LOAD_ORDERS
from .members import Members
from .messages import Heartbeat
from .metrics import Metrics
from .operator_handlers import operator_routes
from .owners import Owners
from .peers import PeerMesh
from .placements import PLACEMENTS
from .platforms import VmList
from .popularities import POPULARITIES, HighestPopularity
from .popularity_shares import PopularityShares
from .query_handlers import QueryParts, metrics_routes, query_routes
from .request_claims import RequestClaims
from .request_guards import RequestGuard
from .requests import RequestPath
from .resolvers import NumberResolver
from .retries import Retries
from .rolls import BundleKeeper
from .routers import ROUTERS
from .sent_attempts import SentAttempts
from .service_calls import ServicePath
from .settings import Settings
from .signatures import OperatorKeys
from .slots import Policies
from .spares import SpareCopies
from .statuses import StatusParts, status_routes
from .suspect_places import SuspectPlaces
from .suspects import Suspects
from .target_deaths import TargetDeaths
from .target_owners import TargetOwners
from .targets import TargetClients
from .timelines import Timeline, timeline_routes
from .timers import TimerService
from .views import TargetViews


class Daemon:
    """All parts of one VM's process."""

    def __init__(self, settings: Settings, store=None, seed: int | None = None):
        # A copy: a port that the system chose is entered in it at the start.
        self._settings = settings = dict(settings)
        self._rng = Random(secrets.randbits(64) if seed is None else seed)
        self._timers = TimerService()
        self._metrics = Metrics()
        clock = HybridClock(self._timers)
        ring_size = int(settings["EVENT_RING"])
        self._events = EventRing(settings["VM_NAME"], clock, ring_size)
        self._invariants = Invariants(self._events, self._metrics)
        self._base = {
            "settings": settings,
            "timers": self._timers,
            "events": self._events,
            "metrics": self._metrics,
        }
        self._build_coordination(clock, store)
        self._build_targets()
        self._build_requests()
        self._servers: list[HTTPServer] = []
        self._listeners: Listeners | None = None

    @property
    def caller_address(self) -> str:
        """The IP:PORT on which callers connect, once started."""
        return self._settings["CALLER_ADDRESS"]

    @property
    def peer_address(self) -> str:
        """The IP:PORT on which other VMs connect, once started."""
        return self._mesh.address

    @property
    def invariants(self) -> Invariants:
        """The invariants of this process."""
        return self._invariants

    async def open(self) -> Result[None, Failure]:
        """Open all ports; nothing is answered or told to other VMs yet.

        Fails with ``BAD_SETTINGS`` when the machine does not allow what is set.
        """
        opened = open_listeners(self._settings)
        if isinstance(opened, Err):
            return opened
        self._listeners = opened.ok_value
        try:
            await self._mesh.listen()
        except OSError as error:
            self._listeners.close()
            return refused("peer_address", self._settings["PEER_ADDRESS"], error)
        # Set before other VMs are told of it: the address at which callers will be
        # answered.
        self._settings["CALLER_ADDRESS"] = address_of(
            self._listeners.callers, self._settings["CALLER_ADDRESS"]
        )
        return Ok(None)

    async def start(self) -> None:
        """Start all parts, then answer callers; opens the ports if need be."""
        if self._listeners is None:
            (await self.open()).unwrap()
        self._vm_list.start()
        self._store.start()
        self._mesh.start()
        self._members.start()
        self._leases.start()
        self._owners.start()
        self._views.start(self._mesh)
        self._grants.start()
        self._allowances.start()
        self._target_owners.start()
        self._shares.start()
        self._claims.start()
        self._keeper.start()
        self._timers.every(self._settings["HEARTBEAT_S"], self._meet, "peers")
        self._listen(self._listeners)
        self._events.emit(
            EventKind.PROCESS_STARTED,
            self._settings["VM_NAME"],
            callers=self.caller_address,
            peers=self._mesh.address,
        )

    async def drain(self) -> None:
        """Take no new work, wait for what is in flight, then hand everything over."""
        await self._drain.run(self._admissions)

    async def stop(self) -> None:
        """Stop all parts, in the order in which others depend on them."""
        for server in self._servers:
            server.stop()
        await self._shares.stop()
        await self._grants.stop()
        await self._target_owners.stop()
        await self._allowances.stop()
        await self._claims.stop()
        await self._owners.release_all()
        await self._keeper.stop()
        await self._leases.release()
        await self._owners.stop()
        await self._leases.stop()
        await self._views.stop()
        await self._vm_list.stop()
        self._connections.close()
        for server in self._servers:
            await server.close_all_connections()
        # OWN-4: a goodbye and a refused peer port are taken as proof that this process
        # does nothing any more. While a request or a write of it is under way they
        # prove too much: others act as if it were gone and meet what it still does.
        # So the port is closed after everything else; the store is kept until then
        # for what peers still ask.
        await self._members.stop()
        await self._mesh.stop(goodbye=True)
        await self._store.stop()
        self._timers.stop()
        self._events.emit(EventKind.PROCESS_STOPPED, self._settings["VM_NAME"])

    def _build_coordination(self, clock: HybridClock, store) -> None:
        base, rng = self._base, self._rng
        incarnation = f"{self._settings['VM_NAME']}.{rng.getrandbits(64):016x}"
        self._store = store or HttpObjectStore(**base, rng=rng)
        self._vm_list = VmList(
            settings=self._settings, timers=self._timers, events=self._events
        )
        self._mesh = PeerMesh(**base, rng=rng, clock=clock, incarnation=incarnation)
        self._members = Members(**base, mesh=self._mesh, vm_list=self._vm_list, rng=rng)
        self._leases = LeaseKeeper(
            **base,
            rng=rng,
            store=self._store,
            mesh=self._mesh,
            members=self._members,
            invariants=self._invariants,
            incarnation=incarnation,
        )
        self._owners = Owners(
            **base,
            rng=rng,
            store=self._store,
            leases=self._leases,
            members=self._members,
            invariants=self._invariants,
        )
        self._keeper = BundleKeeper(
            **base,
            invariants=self._invariants,
            rng=rng,
            store=self._store,
            mesh=self._mesh,
            members=self._members,
            leases=self._leases,
        )
        self._claims = Claims(
            **base,
            invariants=self._invariants,
            store=self._store,
            mesh=self._mesh,
            members=self._members,
        )

    def _build_targets(self) -> None:
        settings, base, rng = self._settings, self._base, self._rng
        self._popularity = POPULARITIES[settings["POPULARITY"]](settings=settings)
        self._shares = PopularityShares(
            settings=settings,
            timers=self._timers,
            rng=rng,
            mesh=self._mesh,
            members=self._members,
            popularity=self._popularity,
        )
        # Owners count what all VMs begin on their targets, by their renewals; sharing
        # the counters of this VM's own requests would count those twice.
        granted = POPULARITIES[settings["POPULARITY"]](settings=settings)
        owners_popularity = HighestPopularity(granted, self._popularity)
        self._placement = PLACEMENTS[settings["PLACEMENT"]](settings=settings)
        router = ROUTERS[settings["ROUTER"]]
        self._router = router(settings=settings, placement=self._placement)
        order = LOAD_ORDERS[settings["LOAD_ORDER"]](settings=settings)
        eviction = EVICTIONS[settings["EVICTION"]](settings=settings)
        self._clients = TargetClients(rng=rng)
        self._views = TargetViews(
            timers=self._timers,
            events=self._events,
            vm_list=self._vm_list,
            owners=self._owners,
        )
        self._allowances = Allowances(
            **base,
            invariants=self._invariants,
            rng=rng,
            mesh=self._mesh,
            owners=self._owners,
            order=order,
        )
        self._target_owners = TargetOwners(
            **base,
            invariants=self._invariants,
            rng=rng,
            mesh=self._mesh,
            owners=self._owners,
            vm_list=self._vm_list,
            views=self._views,
            allowances=self._allowances,
            policies=Policies(eviction, order, owners_popularity),
            make_client=self._clients.client,
        )
        self._grants = Grants(
            **base,
            invariants=self._invariants,
            mesh=self._mesh,
            owners=self._owners,
        )

    def _build_requests(self) -> None:
        settings, base, timers = self._settings, self._base, self._timers
        self._connections = TargetConnections(timers=timers)
        self._admissions = Admissions(settings=settings, timers=timers, rng=self._rng)
        self._retries = Retries(settings=settings, timers=timers, rng=self._rng)
        self._suspects = Suspects(
            settings=settings, timers=timers, events=self._events, mesh=self._mesh
        )
        self._drain = Drain(**base, members=self._members, invariants=self._invariants)
        deaths = TargetDeaths(
            events=self._events,
            mesh=self._mesh,
            suspects=self._suspects,
            views=self._views,
            clients=self._clients,
        )
        sent = SentAttempts(invariants=self._invariants)
        attempts = AttemptRunner(
            **base,
            invariants=self._invariants,
            connections=self._connections,
            clients=self._clients,
            sent=sent,
        )
        claims = RequestClaims(settings=settings, timers=timers, claims=self._claims)
        spares = SpareCopies(
            timers=timers,
            views=self._views,
            grants=self._grants,
            placement=self._placement,
            popularity=self._popularity,
        )
        self._requests = RequestPath(
            **base,
            invariants=self._invariants,
            keeper=self._keeper,
            admissions=self._admissions,
            views=self._views,
            grants=self._grants,
            claims=claims,
            retries=self._retries,
            suspects=self._suspects,
            deaths=deaths,
            places=SuspectPlaces(timers=timers, mesh=self._mesh),
            router=self._router,
            placement=self._placement,
            popularity=self._popularity,
            shares=self._shares,
            spares=spares,
            attempts=attempts,
            sent=sent,
        )
        self._services = ServicePath(
            **base,
            rng=self._rng,
            vm_list=self._vm_list,
            admissions=self._admissions,
            claims=claims,
            retries=self._retries,
            connections=self._connections,
            sent=sent,
        )
        self._mesh.heartbeat_source = self._heartbeat

    def _listen(self, listeners: Listeners) -> None:
        callers = CallerParts(
            self._settings,
            self._timers,
            self._keeper,
            self._requests,
            self._services,
            self._drain,
        )
        queries = QueryParts(self._members, self._keeper, self._metrics, self._reason)
        routes = caller_routes(callers) + query_routes(queries)
        keys = OperatorKeys(self._settings["OPERATORS"])
        guard = RequestGuard(keys, self._timers, self._events)
        routes += operator_routes(guard=guard, keeper=self._keeper, mesh=self._mesh)
        timeline, status = self._timeline(), self._status_parts()
        routes += timeline_routes(timeline, guard) + status_routes(status, guard)
        if listeners.metrics:
            inside = timeline_routes(timeline) + status_routes(status)
            inside += metrics_routes(queries)
            server = HTTPServer(Application(inside))
            server.add_sockets(listeners.metrics)
            self._servers.append(server)
        else:
            routes += metrics_routes(queries)
        application = Application(
            routes,
            default_handler_class=UnknownHandler,
            log_function=lambda handler: None,
        )
        server = CallerServer(
            application, settings=self._settings, ssl_options=listeners.tls
        )
        server.add_sockets(listeners.callers)
        self._servers.append(server)

    def _timeline(self) -> Timeline:
        return Timeline(
            settings=self._settings,
            events=self._events,
            mesh=self._mesh,
            members=self._members,
        )

    def _status_parts(self) -> StatusParts:
        return StatusParts(
            self._settings,
            self._timers,
            self._store,
            self._mesh,
            self._members,
            self._leases,
            self._owners,
            self._keeper,
            self._views,
            self._admissions,
            self._invariants,
        )

    def _meet(self) -> None:
        """Tell the mesh which VMs to keep connections with."""
        peers = {}
        for registration in self._leases.registered():
            if registration.state == "live":
                peers[registration.vm] = registration.peer_address
        self._mesh.set_peers(peers)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._keeper.seq_in_force,
            self._keeper.staged_seq,
            self._members.draining,
            self._admissions.open,
            self._settings["MAX_OPEN_REQUESTS"],
            min(3600.0, max(0.0, self._timers.now() - self._store.answered_at)),
        )

    def _reason(self) -> str:
        """Return why no request would be served now, empty if one would."""
        drains = self._drain.refusal()
        if drains is not None:
            return drains.detail
        serving = self._keeper.may_serve()
        return "" if serving.is_ok() else serving.err_value.detail


def run_daemon(settings: Settings) -> Result[None, Failure]:
    """Run the daemon until it is asked to stop, then drain and stop it.

    Fails at once with ``BAD_SETTINGS`` when a port can't be opened.
    """
    AsyncHTTPClient.configure(
        "tornado.simple_httpclient.SimpleAsyncHTTPClient",
        max_clients=1000,
        resolver=NumberResolver(),
    )
    return asyncio.run(_run(settings))


def _freeze_start() -> None:
    """Leave what the start has made out of all later garbage collections.

    Modules and parts live as long as the process. Each full collection looked
    through all of them, which held up every stream for as long as a token may take.
    """
    gc.collect()
    gc.freeze()


async def _run(settings: Settings) -> Result[None, Failure]:
    daemon = Daemon(settings)
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    opened = await daemon.open()
    if isinstance(opened, Err):
        return opened
    await daemon.start()
    _freeze_start()
    await asked.wait()
    await daemon.drain()
    await daemon.stop()
    return Ok(None)
