"""Connections for streams that may be resumed: it is proved who writes on them.

A target that starts again under its id serves before its new entry is in the store, and
its answers to requests name no start. Its report does. A connection ends with the
process behind it, so what a report says of the start holds for all that is read from
that connection, before and after::

    origin = proofs.origin_at(route, spec, entry)
    opened = await proofs.open(route, entry, origin)
    opened.ok_value.writer  # Incarnation("i-7f3a", 1790000000000), None without a proof
"""

from collections.abc import Iterator
from enum import Enum

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..gateway.engine_calls import EngineCalls
from ..gateway.gateway_metrics import GatewayMetrics
from ..gateway.records import (
    Configuration,
    Incarnation,
    RestartSeen,
    Route,
    ServiceSpec,
    TargetEntry,
)
from ..gateway.target_connections import Exchange
from ..gateway.target_paths import TargetPaths
from ..gateway.target_tables import TargetTable
from .origin_ledgers import OriginLedger, RouteOrigin
from .origin_records import RouteKey
from .origin_tables import StreamOrigin

# A target returns its report within a few milliseconds. The request waits for it.
PROOF_TIMEOUT_S = 0.25
# A kept connection may have gone silent, or its target may close it after the report.
MAX_REPORTS = 2


class WriterProof(Enum):
    """How the writer of a connection was proved, or why it wasn't."""

    KEPT = "known from before"
    REPORTED = "reported"
    OTHER = "another start reported"
    MISSING = "no report"
    UNRECORDED = "not recorded"


class WriterProofs:
    """Opens connections to targets, for streams with a proof of who writes there.

    Targets whose entries state no start have a new id at each start. A request names
    the id that it expects and is refused by any other, so nothing is proved there.
    Plain targets have no report. Where they state their start, their software is
    unknown, and what they wrote goes on nowhere.
    """

    def __init__(
        self,
        *,
        targets: TargetTable,
        ledger: OriginLedger,
        paths: TargetPaths,
        calls: EngineCalls,
        metrics: GatewayMetrics,
    ):
        self._targets = targets
        self._ledger = ledger
        self._paths = paths
        self._calls = calls
        self._outcomes = metrics.writer_proofs

    def origin_at(
        self, route: Route, spec: ServiceSpec, entry: TargetEntry
    ) -> StreamOrigin | None:
        """Return where a stream begins at a target, None if it can't be resumed."""
        return self._origin_at(spec, entry) if route.resumable else None

    def origins_in_use(self, configuration: Configuration) -> Iterator[RouteOrigin]:
        """Return where streams that may be resumed begin, by what this VM knows."""
        by_service: dict[str, set[StreamOrigin]] = {}
        for route in configuration.routes:
            if not route.resumable:
                continue
            key = RouteKey(route.host, route.prefix)
            for service in [share.service for share in route.services]:
                if service not in by_service:
                    by_service[service] = self._origins_of(configuration, service)
                for origin in by_service[service]:
                    yield RouteOrigin(key, origin)

    def _origins_of(
        self, configuration: Configuration, service: str
    ) -> set[StreamOrigin]:
        spec = configuration.service(service)
        if spec is None:
            return set()
        entries = self._targets.of_service(service)
        origins = {self._origin_at(spec, entry) for entry in entries}
        if spec.engine is not None:
            # A target that has restarted is used once its new entry has come.
            origins.discard(StreamOrigin(service, ""))
        return origins

    def _origin_at(self, spec: ServiceSpec, entry: TargetEntry) -> StreamOrigin:
        states_start = self._targets.states_start(entry.target)
        provable = spec.engine is not None or not states_start
        return StreamOrigin(entry.service, entry.software if provable else "")

    async def open(
        self, route: Route, entry: TargetEntry, origin: StreamOrigin | None
    ) -> Result[Exchange, Failure]:
        """Return an exchange with a target at which a stream may begin or go on.

        ``origin`` is that of ``origin_at``. The error is ``NO_TARGET`` if it isn't
        recorded or if another start answers, and ``TARGET_UNREACHABLE`` if there is no
        connection or no report. Nothing was sent then.
        """
        if origin is None:
            return await self._paths.open(entry)
        if not await self._ledger.ensure(RouteKey(route.host, route.prefix), origin):
            self._count(WriterProof.UNRECORDED)
            return _unproved(entry, "not recorded that streams may begin there")
        if origin.software and self._targets.states_start(entry.target):
            return await self._open_proved(entry)
        return await self._paths.open(entry)

    async def _open_proved(self, entry: TargetEntry) -> Result[Exchange, Failure]:
        for _ in range(MAX_REPORTS):
            opened = await self._paths.open(entry, entry.incarnation)
            if opened.is_err():
                return opened
            exchange = opened.ok_value
            if exchange.writer == entry.incarnation:
                self._count(WriterProof.KEPT)
                return opened
            proved = await self._prove(entry, exchange)
            if proved is not None:
                self._count(WriterProof.REPORTED)
                return Ok(proved)
            if not self._targets.is_current(entry):
                self._count(WriterProof.OTHER)
                return _unproved(entry, "another start answers")
        self._count(WriterProof.MISSING)
        detail = f"{entry.target}: no report proves its start"
        return Err(Failure(ErrorKind.TARGET_UNREACHABLE, detail))

    async def _prove(self, entry: TargetEntry, exchange: Exchange) -> Exchange | None:
        """Ask for a report; return the next exchange on the connection, if it proves.

        A report of another start tells all parts of this VM of the restart.
        """
        read = await self._calls.report_on(
            exchange, entry.address, entry.target, PROOF_TIMEOUT_S
        )
        if read.is_err():
            return None
        reported = Incarnation(entry.target, read.ok_value.started_ms)
        if reported == entry.incarnation:
            return exchange.follow_up()
        exchange.close()
        self._targets.observe_incarnation(reported, RestartSeen.REPORT)
        return None

    def _count(self, proof: WriterProof) -> None:
        self._outcomes.labels(proof.value).inc()


def _unproved(entry: TargetEntry, detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.NO_TARGET, f"{entry.target}: {detail}"))
