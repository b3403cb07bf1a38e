"""Probes of silent targets: one request on a fresh connection.

Silence on a kept connection shows nothing about the process at its end, while a fresh
one does: it is refused if the process is gone, and another incarnation answers for
itself. If the path is cut or the host is down, nothing comes back::

    found = await probes.probe(entry, spec)
"""

import asyncio
from enum import Enum

from ..platform.fields import decode
from ..platform.headers import control_headers
from ..platform.targets import REPORT_PATH, read_report
from ..timers import TimerService
from .gateway_metrics import GatewayMetrics
from .records import ServiceSpec, TargetEntry
from .target_connections import (
    MAX_CONTROL_BYTES,
    Exchange,
    TargetConnections,
    WholeAnswer,
)

# A target accepts a connection and returns its report within a few milliseconds. One
# lost packet fails a probe, so two in a row must go unanswered.
PROBE_TIMEOUT_S = 0.25
# A time-out that fires this much too late was delayed by this VM itself, which was
# frozen or slow, and shows nothing about the target.
MAX_LAG_S = 0.1
# The status of a target that is not the one named in the request.
MISDIRECTED_STATUS = 421


class ProbeResult(Enum):
    """What one probe has shown."""

    ALIVE = "alive"
    RESTARTED = "another start answers"
    REFUSED = "connection refused"
    NOTHING = "no answer"
    UNKNOWN = "not known"


class TargetProbes:
    """Probes targets."""

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
        """Probe a target once: an engine by its report, others by a connection.

        A plain service offers no request that needs no slot. That it accepts a
        connection shows only that some process listens there.
        """
        started_at = self._timers.now()
        found = await self._probe_fresh(entry, spec)
        took_s = self._timers.now() - started_at
        if found is ProbeResult.NOTHING and took_s > 2 * PROBE_TIMEOUT_S + MAX_LAG_S:
            found = ProbeResult.UNKNOWN
        self._metrics.probes.labels(found.value).inc()
        return found

    async def identify(self, entry: TargetEntry, spec: ServiceSpec) -> ProbeResult:
        """Check whether a target that answers again is still the same incarnation.

        A target returns reports under any id, but its health answer, which may have to
        wait for a slot, only under its own. Without a health answer the incarnation
        stays unknown. A request may be sent nevertheless: another incarnation refuses
        it without running it.
        """
        opened = await self._connections.open(entry.address, within_s=PROBE_TIMEOUT_S)
        found = ProbeResult.UNKNOWN
        if opened.is_ok():
            answer = await self._get(entry, opened.ok_value, spec.health_path)
            found = _read_id(entry, answer)
        self._metrics.probes.labels(found.value).inc()
        return found

    async def _probe_fresh(self, entry: TargetEntry, spec: ServiceSpec) -> ProbeResult:
        opened = await self._connections.open(entry.address, True, PROBE_TIMEOUT_S)
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
        """Return the answer of a target's control interface, None if none came."""
        answer = WholeAnswer()
        headers = control_headers(entry.target)
        headers["Host"] = entry.address
        exchange.send(
            "GET",
            path,
            headers,
            b"",
            request_id="",
            sink=answer,
            max_bytes=MAX_CONTROL_BYTES,
        )
        await asyncio.wait([exchange.ended], timeout=PROBE_TIMEOUT_S)
        if answer.head is None or not exchange.whole:
            exchange.close()
            return None
        exchange.release()
        return answer


def _read_id(entry: TargetEntry, answer: WholeAnswer | None) -> ProbeResult:
    if answer is None:
        return ProbeResult.UNKNOWN
    answered_id = answer.head.signs.target
    if answer.head.status == MISDIRECTED_STATUS or answered_id not in (
        "",
        entry.target,
    ):
        return ProbeResult.RESTARTED
    return ProbeResult.ALIVE if answered_id else ProbeResult.UNKNOWN


def _read_start(entry: TargetEntry, body: bytes) -> ProbeResult:
    try:
        started_ms = read_report(decode(body)).started_ms
    except ValueError:
        # An unreadable report was still sent by a process under the named id.
        return ProbeResult.ALIVE
    if None in (started_ms, entry.started_ms) or started_ms <= entry.started_ms:
        return ProbeResult.ALIVE
    return ProbeResult.RESTARTED
