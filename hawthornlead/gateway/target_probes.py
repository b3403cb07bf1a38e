"""Asking a silent target whether it is there: one question on a fresh connection.

A kept connection that says nothing tells nothing of the process at its end; a new one
does: a process that is gone refuses it, one that started again answers for another
start, and behind a cut path, or in the dark, nothing comes back::

    found = await probes.probe(entry)
"""

import asyncio
from enum import Enum

from ..platform.fields import decode
from ..platform.headers import control_headers
from ..platform.targets import REPORT_PATH, read_report
from ..timers import TimerService
from .gateway_metrics import GatewayMetrics
from .records import ServiceSpec, TargetEntry
from .target_connections import Exchange, TargetConnections, WholeAnswer

# A target takes a connection and tells its report within a few milliseconds; loss of
# one packet costs a probe, which is why two in a row must go unanswered.
PROBE_S = 0.25
# A time-out that ends so much too late was held up by this VM itself, frozen or slow;
# it tells nothing of the target.
LAG_S = 0.1
# A target that is not the one named answers so.
MISDIRECTED_STATUS = 421


class ProbeResult(Enum):
    """What one question has shown."""

    ALIVE = "alive"
    RESTARTED = "another start answers"
    REFUSED = "connection refused"
    NOTHING = "no answer"
    UNKNOWN = "not known"


class TargetProbes:
    """Asks targets whether they are there."""

    def __init__(
        self,
        *,
        connections: TargetConnections,
        timers: TimerService,
        metrics: GatewayMetrics,
    ):
        self._connections = connections
        self._timers = timers
        self._metrics = metrics

    async def probe(self, entry: TargetEntry, spec: ServiceSpec) -> ProbeResult:
        """Ask once; a target that isn't an engine only by a connection.

        A plain service has nothing to ask that needs no slot: that it takes a
        connection shows that some process listens there, and no more.
        """
        began_at = self._timers.now()
        found = await self._probe_fresh(entry, spec)
        took_s = self._timers.now() - began_at
        if found is ProbeResult.NOTHING and took_s > 2 * PROBE_S + LAG_S:
            found = ProbeResult.UNKNOWN
        self._metrics.probes.labels(found.value).inc()
        return found

    async def identify(self, entry: TargetEntry, spec: ServiceSpec) -> ProbeResult:
        """Ask a target that answers again whether it is still the one that it was.

        Reports go out under any id. The health answer, which may have to wait for a
        slot, is given under its own id only. Without one it stays unknown which start
        it is; a request may be sent to it, since another start refuses it unrun.
        """
        opened = await self._connections.open(entry.address, within_s=PROBE_S)
        found = ProbeResult.UNKNOWN
        if opened.is_ok():
            answer = await self._get(entry, opened.ok_value, spec.health_path)
            found = _read_id(entry, answer)
        self._metrics.probes.labels(found.value).inc()
        return found

    async def _probe_fresh(self, entry: TargetEntry, spec: ServiceSpec) -> ProbeResult:
        opened = await self._connections.open(entry.address, True, PROBE_S)
        if opened.is_err():
            return (
                ProbeResult.REFUSED if opened.err_value.refused else ProbeResult.NOTHING
            )
        exchange = opened.ok_value
        if spec.engine is None:
            exchange.close()
            return ProbeResult.ALIVE
        answer = await self._get(entry, exchange, REPORT_PATH)
        if answer is None:
            return ProbeResult.NOTHING
        if answer.head.status == MISDIRECTED_STATUS:
            return ProbeResult.RESTARTED
        return _read_start(entry, answer.body)

    async def _get(
        self, entry: TargetEntry, exchange: Exchange, path: str
    ) -> WholeAnswer | None:
        """Return the answer of a target on its own interface, None if none came."""
        answer = WholeAnswer()
        headers = control_headers(entry.target)
        headers["Host"] = entry.address
        exchange.send("GET", path, headers, b"", request_id="", sink=answer)
        await asyncio.wait([exchange.ended], timeout=PROBE_S)
        if answer.head is None or not exchange.whole:
            exchange.close()
            return None
        exchange.release()
        return answer


def _read_id(entry: TargetEntry, answer: WholeAnswer | None) -> ProbeResult:
    if answer is None:
        return ProbeResult.UNKNOWN
    said = answer.head.signs.target
    if answer.head.status == MISDIRECTED_STATUS or said not in ("", entry.target):
        return ProbeResult.RESTARTED
    return ProbeResult.ALIVE if said else ProbeResult.UNKNOWN


def _read_start(entry: TargetEntry, body: bytes) -> ProbeResult:
    try:
        started_ms = read_report(decode(body)).started_ms
    except ValueError:
        # What can't be read was still sent by a process under the id that was named.
        return ProbeResult.ALIVE
    if None in (started_ms, entry.started_ms) or started_ms <= entry.started_ms:
        return ProbeResult.ALIVE
    return ProbeResult.RESTARTED
