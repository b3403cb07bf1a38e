"""The daemon of one VM: builds all parts from the settings and runs them.

Parts know only the collaborators that they are handed; this is the one place that
knows all of them. Embedders build the parts that they want in the same way::

    daemon = Daemon(settings)
    await daemon.start()
    await daemon.stop()
"""

import asyncio
import secrets
import signal
import ssl
from random import Random

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from .allowances import Allowances
from .attempts import AttemptRunner
from .claims import Claims
from .clocks import HybridClock
from .command_handlers import CallerParts, UnknownHandler, caller_routes
from .drains import Drain
from .events import EventKind, EventRing
from .evictions import EVICTIONS
from .exchanges import TargetConnections
from .grants import Grants
from .http_stores import HttpObjectStore
from .invariants import Invariants
from .leases import LeaseKeeper
from .limits import Admissions
from .load_orders import LOAD_ORDERS
from .members import Members
from .messages import Heartbeat
from .metrics import Metrics
from .operator_handlers import operator_routes
from .owners import Owners
from .peers import PeerMesh
from .placements import PLACEMENTS
from .platforms import VmList
from .popularities import POPULARITIES
from .query_handlers import QueryParts, metrics_routes, query_routes
from .requests import RequestPath
from .resolvers import NumberResolver
from .retries import Retries
from .rolls import BundleKeeper
from .routers import ROUTERS
from .service_calls import ServicePath
from .settings import Settings
from .slots import Policies
from .statuses import StatusParts, status_routes
from .suspects import Suspects
from .target_deaths import TargetDeaths
from .target_owners import TargetOwners
from .targets import TargetClients
from .timelines import Timeline, timeline_routes
from .timers import TimerService
from .views import TargetViews

IDLE_CALLER_S = 120.0


class Daemon:
    """All parts of one VM's process."""

    def __init__(self, settings: Settings, store=None, seed: int | None = None):
        self._settings = settings
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
        self._caller_address = settings["CALLER_ADDRESS"]

    @property
    def caller_address(self) -> str:
        """The IP:PORT on which callers connect, once started."""
        return self._caller_address

    @property
    def peer_address(self) -> str:
        """The IP:PORT on which other VMs connect, once started."""
        return self._mesh.address

    @property
    def invariants(self) -> Invariants:
        """The invariants of this process."""
        return self._invariants

    async def start(self) -> None:
        """Start all parts, then answer callers."""
        self._vm_list.start()
        self._store.start()
        await self._mesh.listen()
        self._mesh.start()
        self._members.start()
        self._leases.start()
        self._owners.start()
        self._views.start(self._mesh)
        self._grants.start()
        self._allowances.start()
        self._target_owners.start()
        self._claims.start()
        self._keeper.start()
        self._timers.every(self._settings["HEARTBEAT_S"], self._meet, "peers")
        self._listen()
        self._events.emit(
            EventKind.PROCESS_STARTED,
            self._settings["VM_NAME"],
            callers=self._caller_address,
            peers=self._mesh.address,
        )

    async def drain(self) -> None:
        """Take no new work, wait for what is in flight, then hand everything over."""
        await self._drain.run(self._admissions)

    async def stop(self) -> None:
        """Stop all parts, in the order in which others depend on them."""
        for server in self._servers:
            server.stop()
        await self._grants.stop()
        await self._target_owners.stop()
        await self._allowances.stop()
        await self._claims.stop()
        await self._owners.release_all()
        await self._keeper.stop()
        await self._leases.release()
        await self._owners.stop()
        await self._leases.stop()
        await self._members.stop()
        await self._mesh.stop(goodbye=True)
        await self._views.stop()
        await self._vm_list.stop()
        await self._store.stop()
        self._connections.close()
        for server in self._servers:
            await server.close_all_connections()
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
        # Owners count what all VMs begin on their targets, by their renewals; sharing
        # the counters of this VM's own requests would count those twice.
        owners_popularity = POPULARITIES[settings["POPULARITY"]](settings=settings)
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
        self._drain = Drain(**base, members=self._members)
        deaths = TargetDeaths(
            events=self._events,
            mesh=self._mesh,
            suspects=self._suspects,
            views=self._views,
            clients=self._clients,
        )
        attempts = AttemptRunner(
            **base,
            invariants=self._invariants,
            connections=self._connections,
            clients=self._clients,
        )
        self._requests = RequestPath(
            **base,
            invariants=self._invariants,
            keeper=self._keeper,
            admissions=self._admissions,
            views=self._views,
            grants=self._grants,
            claims=self._claims,
            retries=self._retries,
            suspects=self._suspects,
            deaths=deaths,
            router=self._router,
            placement=self._placement,
            popularity=self._popularity,
            attempts=attempts,
        )
        self._services = ServicePath(
            **base,
            rng=self._rng,
            vm_list=self._vm_list,
            admissions=self._admissions,
            claims=self._claims,
            retries=self._retries,
            connections=self._connections,
        )
        self._mesh.heartbeat_source = self._heartbeat

    def _listen(self) -> None:
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
        routes += operator_routes(
            settings=self._settings,
            timers=self._timers,
            events=self._events,
            keeper=self._keeper,
            mesh=self._mesh,
        )
        inside = metrics_routes(queries) + self._state_routes()
        metrics_address = self._settings["METRICS_ADDRESS"]
        if metrics_address:
            self._serve(Application(inside), metrics_address)
        else:
            routes += inside
        application = Application(
            routes,
            default_handler_class=UnknownHandler,
            log_function=lambda handler: None,
        )
        self._caller_address = self._serve(
            application, self._settings["CALLER_ADDRESS"], self._tls()
        )

    def _state_routes(self) -> list:
        """Return the routes of the time line and the status.

        They name requests and adapters, so that operators who give the metrics an
        address of their own keep callers from them.
        """
        timeline = Timeline(
            settings=self._settings,
            events=self._events,
            mesh=self._mesh,
            members=self._members,
        )
        status = StatusParts(
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
        return timeline_routes(timeline) + status_routes(status)

    def _serve(self, application, address: str, tls=None) -> str:
        host, _, port = address.rpartition(":")
        sockets = bind_sockets(int(port), host.strip("[]"))
        server = HTTPServer(
            application,
            ssl_options=tls,
            max_body_size=self._settings["MAX_BODY_BYTES"],
            idle_connection_timeout=IDLE_CALLER_S,
        )
        server.add_sockets(sockets)
        self._servers.append(server)
        return f"{host}:{sockets[0].getsockname()[1]}"

    def _tls(self) -> ssl.SSLContext | None:
        if not self._settings["TLS_CERTIFICATE"]:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(
            self._settings["TLS_CERTIFICATE"], self._settings["TLS_KEY"]
        )
        return context

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


def run_daemon(settings: Settings) -> None:
    """Run the daemon until it is asked to stop, then drain and stop it."""
    AsyncHTTPClient.configure(
        "tornado.simple_httpclient.SimpleAsyncHTTPClient",
        max_clients=1000,
        resolver=NumberResolver(),
    )
    asyncio.run(_run(settings))


async def _run(settings: Settings) -> None:
    daemon = Daemon(settings)
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await daemon.start()
    await asked.wait()
    await daemon.drain()
    await daemon.stop()
