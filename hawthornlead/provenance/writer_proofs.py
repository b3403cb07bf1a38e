"""Connections whose writer is proved: the start of a target that writes there.

A target that starts again under its id serves before its new entry is in the store, and
its answers to requests name no start. Its report does. A connection ends with the
process behind it, so what a report says of the start holds for all that is read from
that connection, before and after::

    opened = await proofs.open(entry, proved=True)
    opened.ok_value.writer  # Incarnation("i-7f3a", 1790000000000), None without a proof
"""

from enum import Enum

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..gateway.engine_calls import EngineCalls
from ..gateway.gateway_metrics import GatewayMetrics
from ..gateway.records import Incarnation, RestartSeen, TargetEntry
from ..gateway.target_connections import Exchange
from ..gateway.target_paths import TargetPaths
from ..gateway.target_tables import TargetTable

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


class WriterProofs:
    """Opens connections to targets and proves which start of them is behind.

    Targets whose entries state no start have a new id at each start. A request names
    the id that it expects and is refused by any other, so nothing is proved there.
    """

    def __init__(
        self,
        *,
        targets: TargetTable,
        paths: TargetPaths,
        calls: EngineCalls,
        metrics: GatewayMetrics,
    ):
        self._targets = targets
        self._paths = paths
        self._calls = calls
        self._outcomes = metrics.writer_proofs

    async def open(
        self, entry: TargetEntry, *, proved: bool, required: bool = False
    ) -> Result[Exchange, Failure]:
        """Return an exchange with a target, if possible with a ``proved`` writer.

        Without a proof the exchange has no ``writer``. If the proof is ``required``
        too, this fails with ``TARGET_UNREACHABLE`` then: nothing was sent.
        """
        if not proved or not self._targets.states_start(entry.target):
            return await self._paths.open(entry)
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
        if required:
            return _unproved(entry, "no report proves its start")
        return await self._paths.open(entry)

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
    return Err(Failure(ErrorKind.TARGET_UNREACHABLE, f"{entry.target}: {detail}"))
