"""The gateway process of one VM: its parts, start, drain and stop.

::

    run_gateway(settings, path)
"""

import asyncio
import gc
import secrets
import signal
from random import Random

from ..core_parts import build_core
from ..event_loops import new_runner
from ..events import EventKind
from ..logs import EventWriter
from ..messages import Heartbeat, Hello
from ..metric_library import metrics_text
from ..platform.configurations import read_adapter_version, read_configuration
from ..platform.entries import READY_PATH, RESOLVE_PATH, addresses_body
from ..platform.objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
    VERSIONS_KIND,
)
from ..resources.accounts import Account
from ..resources.process_limits import process_limits
from ..settings import Settings, read_settings
from .caller_calls import CallerCall
from .coordination_parts import build_coordination
from .drains import Drain
from .entry_servers import QueryServer, Reply, build_query_servers
from .fleet_views import FleetView
from .gateway_metrics import GatewayMetrics
from .gateway_parts import build_requests, build_targets
from .records import StoredRecord
from .request_forwards import RequestForward
from .request_servers import RequestServer
from .routes import match_call
from .store_retries import StoreRetries
from .target_entries import effective_entry
from .target_loads import TargetLoads
from .vm_registrations import VMS_KIND
from .vm_relays import pop_origin, refuse_relayed
from .watchers import KindWatcher

# The time that a draining VM needs to release its engines: the end of an order, and a
# call of the store, which takes 1 s if it isn't answered.
RELEASE_TIMEOUT_S = 1.5
# How long callers cache an answer with addresses. After this time they stop using a VM
# that has stopped.
ADDRESSES_TTL_S = 1.0
SWEEP_INTERVAL_S = 0.25
# Entries of targets change with each loaded or evicted adapter, several times a second.
# A leaving target must be noticed within 2 s.
TARGETS_BATCH_S = 0.3
# All VMs register at once when the system starts.
VMS_BATCH_S = 0.2
# Allocations before the youngest generation is collected. A request makes some thousand
# objects, most of which are freed with it.
GC_THRESHOLD = 10_000


class Gateway:
    """All parts of one VM's process on the platform."""

    def __init__(self, settings: Settings):
        self._settings = settings
        core = build_core(settings, Random(secrets.randbits(64)))
        metrics = GatewayMetrics(core.metrics.registry)
        coordination = build_coordination(core, metrics)
        targets = build_targets(core, coordination, metrics)
        self._timers = core.timers
        self._metrics = core.metrics
        self._events = core.events
        self._client = coordination.client
        self._mesh = coordination.mesh
        self._memberships = coordination.memberships
        self._lease = coordination.lease
        self._relays = coordination.relays
        self._settlement = coordination.settlement
        self._targets = targets.targets
        self._connections = targets.connections
        self._engine_manager = targets.engine_manager
        self._parts = build_requests(core, coordination, targets, metrics)
        now = core.timers.now
        self._account = account = Account(process_limits(settings), now)
        callers_at, relayed_at = settings["CALLER_ADDRESS"], settings["RELAY_ADDRESS"]
        max_body = self._parts.max_body_bytes
        self._callers = RequestServer(callers_at, self._serve, account, now, max_body)
        self._relayed = RequestServer(relayed_at, self._serve_relayed, account, now)
        self._add_gauges(metrics, targets.loads)
        self._drain = Drain(
            timers=core.timers,
            grace_s=settings["GRACE_S"],
            readiness_ttl_s=ADDRESSES_TTL_S,
            open_requests=self._open_requests,
            others_serve=self._memberships.others_serve,
        )
        self._fleet_view = FleetView(
            memberships=self._memberships,
            mesh=self._mesh,
            targets=self._targets,
            paths=targets.paths,
            relays=self._relays,
            client=self._client,
            lease=self._lease,
            timers=core.timers,
            quotas=coordination.quotas,
            quarantines=self._parts.quarantines,
            configuration=self._configuration_version,
        )
        self._followed_targets = targets.followed
        self._watchers = self._make_watchers(core.rng, metrics)
        self._targets.watcher = self._watchers[TARGETS_KIND]
        self._followed_targets.watcher = self._watchers[TARGETS_KIND]
        configurations = self._watchers[CONFIGURATION_KIND]
        self._parts.configuration_is_current = lambda: configurations.current
        self._query_servers = self._make_query_servers()
        self._mesh.set_heartbeat(self._heartbeat)
        self._mesh.on(Hello, self._on_hello)
        self._mesh.on_upstream_changed = self._on_upstream_changed

    async def start(self) -> None:
        """Listen, and start to follow the store and the other VMs."""
        for server in (self._callers, self._relayed, *self._query_servers):
            server.start()
        await self._mesh.listen(self._account)
        self._mesh.start()
        self._memberships.start()
        for watcher in self._watchers.values():
            watcher.start()
        self._relays.start()
        self._engine_manager.start()
        self._parts.paths.start()
        self._timers.every(SWEEP_INTERVAL_S, self._sweep, name="sweep")
        self._timers.every(SWEEP_INTERVAL_S, self._account.sweep, name="account")
        self._emit(EventKind.PROCESS_STARTED)

    async def drain(self) -> None:
        """Leave the entry addresses, release the engines, and finish requests."""
        self._emit(EventKind.PROCESS_DRAINING, open=self._open_requests())
        self._drain.start()
        self._memberships.leave()
        await self._engine_manager.stop(self._drain.end_at - RELEASE_TIMEOUT_S)
        await self._drain.wait()
        self._callers.stop()
        self._relayed.stop()
        await self._drain.settle()
        self._drain.end()

    def stop(self) -> None:
        """Stop everything, and abort open requests."""
        self._emit(EventKind.PROCESS_STOPPED, open=self._open_requests())
        for server in (self._callers, self._relayed, *self._query_servers):
            server.stop()
        for watcher in self._watchers.values():
            watcher.stop()
        self._engine_manager.close()
        self._lease.stop()
        self._memberships.stop()
        self._parts.crash_watch.stop()
        self._parts.loss_detector.stop()
        self._parts.paths.stop()
        self._parts.origins.stop()
        self._parts.recorded_origins.stop()
        self._timers.stop()
        self._connections.close()
        self._parts.relay_vms.connections.close()
        self._client.close()

    def write_events(self, write: EventWriter) -> None:
        """Write this VM's events with ``write``."""
        self._events.write = write

    def reload(self, path: str) -> None:
        """Read the settings file again; addresses and names need a restart."""
        read = read_settings(path)
        if read.is_err():
            faults = "; ".join(str(fault) for fault in read.err_value)
            self._emit(EventKind.SETTINGS_REFUSED, faults=faults)
            return
        self._emit(EventKind.SETTINGS_RELOADED)

    def _emit(self, kind: EventKind, **fields) -> None:
        self._events.emit(kind, self._settings["VM_NAME"], **fields)

    # Requests and queries

    async def _serve(self, call: CallerCall) -> None:
        call.closing = self._drain.draining
        forward = RequestForward(self._parts, call)
        await self._drain.serve(forward, lambda: match_call(self._parts.routes, call))

    async def _serve_relayed(self, call: CallerCall) -> None:
        """Serve a request that another VM passes on."""
        forward = RequestForward(self._parts, call, pop_origin(call.headers))
        if forward.malformed or self._drain.draining or not forward.can_take_relayed():
            refuse_relayed(call)
            return
        await forward.run()

    def _open_requests(self) -> int:
        """Return how many requests are being read or answered."""
        return self._callers.open + self._relayed.open

    def _make_query_servers(self) -> list[QueryServer]:
        queries = (
            ("READY_ADDRESS", READY_PATH, self._ready),
            ("DIRECTORY_ADDRESS", RESOLVE_PATH, self._resolve),
            ("METRICS_ADDRESS", "/metrics", self._read_metrics),
            ("METRICS_ADDRESS", "/fleet", lambda: Reply(200, self._fleet_view.body())),
        )
        now = self._timers.now
        return build_query_servers(self._settings, queries, self._account, now)

    def _ready(self) -> Reply:
        return Reply(200 if self._memberships.serving else 503, b"{}")

    def _resolve(self) -> Reply:
        addresses = self._memberships.entry_addresses()
        status = 200 if addresses else 503
        return Reply(status, addresses_body(addresses, ADDRESSES_TTL_S))

    def _read_metrics(self) -> Reply:
        return Reply(200, metrics_text(self._metrics.registry), "text/plain")

    # Observed state

    def _add_gauges(self, metrics: GatewayMetrics, loads: TargetLoads) -> None:
        """Add gauges for this VM's observed state and its age."""
        now, client, vms = self._timers.now, self._client, self._memberships
        known, manager = self._targets.entries, self._engine_manager
        metrics.add_account_gauges(self._account)
        for name, text, read in (
            (
                "store_answer_age_seconds",
                "Since the store last answered a call",
                lambda: now() - client.answered_at,
            ),
            ("store_era", "The newest era of the store", lambda: client.eras.current),
            (
                "configuration_version",
                "The version of the configuration in force, 0 for none",
                self._configuration_version,
            ),
            ("live_vms", "VMs that callers are sent to", lambda: len(vms.live())),
            ("known_targets", "Targets that are registered", lambda: len(known)),
            (
                "owned_engines",
                "Engines that this VM orders",
                lambda: len(manager.owned),
            ),
            ("open_requests", "Requests being answered", self._open_requests),
            ("running_requests", "Own requests on targets", lambda: loads.own_total),
        ):
            metrics.add_gauge(name, text, read)

    def _configuration_version(self) -> int:
        """Return the version in force, 0 for none."""
        return getattr(self._parts.configuration, "version", 0)

    def _make_watchers(
        self, rng: Random, metrics: GatewayMetrics
    ) -> dict[str, KindWatcher]:
        memberships, targets = self._memberships, self._targets
        common = {
            "client": self._client,
            "timers": self._timers,
            "rng": rng,
            "events": self._events,
            "relays": self._relays,
            "retries": StoreRetries(self._timers),
            "metrics": metrics,
            "stale_start": self._settings["FAST_STARTS"],
            "settlement": self._settlement,
        }
        # If a configuration or version becomes unreadable, the last one stays in force:
        # none is rolled back.
        return {
            CONFIGURATION_KIND: KindWatcher(
                CONFIGURATION_KIND,
                **common,
                on_changed=self._on_configuration,
                on_deleted=self._on_configuration_deleted,
                version_of=lambda record: read_configuration(record).version,
                fetched=True,
            ),
            TARGETS_KIND: KindWatcher(
                TARGETS_KIND,
                **common,
                on_changed=self._followed_targets.apply_entry,
                on_deleted=self._followed_targets.remove_entry,
                on_unreadable=targets.remove_unreadable,
                effective_content=effective_entry,
                pause_s=TARGETS_BATCH_S,
                fetched=True,
            ),
            VERSIONS_KIND: KindWatcher(
                VERSIONS_KIND,
                **common,
                on_changed=targets.apply_version,
                on_deleted=targets.keep_version,
                version_of=lambda record: read_adapter_version(record).version,
                fetched=True,
            ),
            VMS_KIND: KindWatcher(
                VMS_KIND,
                **common,
                on_changed=memberships.apply_record,
                on_deleted=memberships.remove,
                on_unreadable=memberships.on_unreadable_record,
                pause_s=VMS_BATCH_S,
            ),
        }

    def _on_configuration(self, record: StoredRecord) -> None:
        if record.name != CONFIGURATION_NAME:
            return
        configuration = read_configuration(record)
        known = self._parts.configuration
        if known is not None and configuration.version <= known.version:
            return
        self._events.emit(
            EventKind.CONFIGURATION_IN_FORCE,
            str(configuration.version),
            routes=len(configuration.routes),
            services=len(configuration.services),
            revision=record.revision,
            way=self._relays.change_source(CONFIGURATION_KIND),
        )
        self._parts.apply_configuration(configuration)
        self._engine_manager.apply_configuration(configuration)
        self._sweep()

    def _on_configuration_deleted(self, name: str) -> None:
        self._events.emit(EventKind.CONFIGURATION_KEPT, name)

    def _sweep(self) -> None:
        self._connections.sweep()
        self._parts.relay_vms.connections.sweep()
        self._followed_targets.sweep()
        self._targets.sweep()
        self._parts.healths.retain(self._targets.entries)
        known = self._parts.configuration is not None
        self._memberships.mark_serving(known and self._watchers[TARGETS_KIND].listed)

    def _heartbeat(self) -> Heartbeat:
        capacity = 1 if self._memberships.serving else 0
        return Heartbeat(
            0,
            0,
            self._memberships.leaving,
            self._open_requests(),
            capacity,
            0.0,
            self._memberships.reaches_targets,
            stores_origins=True,
        )

    def _on_upstream_changed(self, head: str) -> None:
        self._emit(EventKind.FEED_CHANGED, head=head)

    async def _on_hello(self, sender, message: Hello) -> None:
        self._engine_manager.announce_all(sender.vm)
        self._parts.quarantines.announce_all(sender.vm)


def run_gateway(
    settings: Settings, path: str, write_event: EventWriter | None = None
) -> None:
    """Run the gateway until a signal, then drain and stop it.

    ``write_event`` writes its events; None leaves them to loguru.
    """
    with new_runner() as runner:
        runner.run(_run(settings, path, write_event))


async def _run(settings: Settings, path: str, write_event: EventWriter | None) -> None:
    gateway = Gateway(settings)
    if write_event is not None:
        gateway.write_events(write_event)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: gateway.reload(path))
    await gateway.start()
    # Objects made at the start live as long as the process. Without the freeze, each
    # full collection would traverse them and delay every stream.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    await stop_requested.wait()
    await gateway.drain()
    gateway.stop()
