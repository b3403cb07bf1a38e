"""The daemon of one VM: starts all parts, serves on its ports, drains and stops.

Defines the order in which the parts start and stop; each part knows only the
collaborators passed to it. ``daemon_parts`` builds them::

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
from tornado.httpserver import HTTPServer

from ..callers.command_handlers import CallerParts
from ..core_parts import build_core
from ..errors import Failure
from ..events import EventKind
from ..invariants import Invariants
from ..messages import Heartbeat
from ..operators.request_guards import RequestGuard
from ..operators.statuses import StatusParts
from ..operators.timelines import Timeline
from ..resources.accounts import Account
from ..resources.process_limits import process_limits
from ..settings import Settings
from ..signatures import OperatorKeys
from ..stores.stores import ObjectStore
from .daemon_parts import build_coordination, build_requests, build_targets
from .daemon_servers import ServerParts, start_servers
from .listeners import Listeners, address_of, invalid_setting, open_listeners
from .query_handlers import QueryParts

# How often connections whose clients had their time are closed.
ACCOUNT_SWEEP_S = 0.25


class Daemon:
    """All parts of one VM's process."""

    def __init__(
        self,
        settings: Settings,
        store: ObjectStore | None = None,
        seed: int | None = None,
    ):
        # A copy, in which the port chosen by the system is entered at the start.
        self._settings = dict(settings)
        rng = Random(secrets.randbits(64) if seed is None else seed)
        core = build_core(self._settings, rng)
        coordination = build_coordination(core, store)
        targets = build_targets(core, coordination)
        requests = build_requests(core, coordination, targets)
        self._account = Account(process_limits(self._settings), core.timers.now)
        self._timers = core.timers
        self._metrics = core.metrics
        self._events = core.events
        self._invariants = core.invariants
        self._store = coordination.store
        self._vm_list = coordination.vm_list
        self._mesh = coordination.mesh
        self._members = coordination.members
        self._leases = coordination.leases
        self._owners = coordination.owners
        self._keeper = coordination.keeper
        self._claims = coordination.claims
        self._shares = targets.shares
        self._views = targets.views
        self._allowances = targets.allowances
        self._target_owners = targets.target_owners
        self._grants = targets.grants
        self._connections = requests.connections
        self._admissions = requests.admissions
        self._drain = requests.drain
        self._requests = requests.requests
        self._services = requests.services
        self._mesh.heartbeat_source = self._heartbeat
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
        """Open all ports; nothing is served or announced to other VMs yet.

        Fails with ``BAD_SETTINGS`` if the machine does not allow an address.
        """
        opened = open_listeners(self._settings)
        if isinstance(opened, Err):
            return opened
        self._listeners = opened.ok_value
        try:
            await self._mesh.listen(self._account)
        except OSError as error:
            self._listeners.close()
            return invalid_setting(
                "peer_address", self._settings["PEER_ADDRESS"], error
            )
        # Set before it is announced to other VMs: the address on which callers will be
        # served.
        self._settings["CALLER_ADDRESS"] = address_of(
            self._listeners.callers, self._settings["CALLER_ADDRESS"]
        )
        return Ok(None)

    async def start(self) -> None:
        """Start all parts, then serve callers; open the ports if not done yet."""
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
        self._timers.every(self._settings["HEARTBEAT_S"], self._update_peers, "peers")
        self._servers = start_servers(
            self._listeners, self._server_parts(), self._account
        )
        self._timers.every(ACCOUNT_SWEEP_S, self._account.sweep, "account")
        self._events.emit(
            EventKind.PROCESS_STARTED,
            self._settings["VM_NAME"],
            callers=self.caller_address,
            peers=self._mesh.address,
        )

    async def drain(self) -> None:
        """Stop accepting requests once entry answers expire; finish those in flight."""
        await self._drain.run(self._admissions)

    async def stop(self) -> None:
        """Stop all parts, each one before those that it depends on."""
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
        # OWN-4: other VMs take a goodbye and a refused peer port as proof that this
        # process does nothing any more. During a request or write of this process that
        # would be wrong: they would act as if it were gone and conflict with it. So the
        # port is closed after everything else; the store is kept until then for
        # requests of peers.
        await self._members.stop()
        await self._mesh.stop(goodbye=True)
        await self._store.stop()
        self._timers.stop()
        self._events.emit(EventKind.PROCESS_STOPPED, self._settings["VM_NAME"])

    def _server_parts(self) -> ServerParts:
        callers = CallerParts(
            self._settings,
            self._timers,
            self._keeper,
            self._requests,
            self._services,
            self._drain,
        )
        queries = QueryParts(
            self._members, self._keeper, self._metrics, self._refusal_reason
        )
        keys = OperatorKeys(self._settings["OPERATORS"])
        guard = RequestGuard(keys, self._timers, self._events)
        timeline = Timeline(
            settings=self._settings,
            events=self._events,
            mesh=self._mesh,
            members=self._members,
        )
        status = self._status_parts()
        return ServerParts(self._settings, callers, queries, status, timeline, guard)

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

    def _update_peers(self) -> None:
        """Set the VMs with which the mesh keeps connections."""
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

    def _refusal_reason(self) -> str:
        """Return why requests would be refused now, empty if they would be served."""
        draining = self._drain.refusal()
        if draining is not None:
            return draining.detail
        serving = self._keeper.may_serve()
        return "" if serving.is_ok() else serving.err_value.detail


def run_daemon(settings: Settings) -> Result[None, Failure]:
    """Run the daemon until a signal to stop, then drain and stop it.

    Fails at once with ``BAD_SETTINGS`` if a port can't be opened.
    """
    return asyncio.run(_run(settings))


def _freeze_start() -> None:
    """Exclude the objects created at startup from later garbage collections.

    Modules and parts live as long as the process. If each full collection scanned
    them, it would pause every stream for about the time of one token.
    """
    gc.collect()
    gc.freeze()


async def _run(settings: Settings) -> Result[None, Failure]:
    daemon = Daemon(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    opened = await daemon.open()
    if isinstance(opened, Err):
        return opened
    await daemon.start()
    _freeze_start()
    await stop_requested.wait()
    await daemon.drain()
    await daemon.stop()
    return Ok(None)
