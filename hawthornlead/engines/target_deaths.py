"""Finds out whether a target died, and which requests were running on it.

A broken or silent stream proves nothing about its target, but a new connection does.
A target has died only if it refuses the connection or answers with a new boot id. Then
all requests that this VM ran there become suspects, and the other VMs are notified.
"""

from collections import defaultdict
from typing import NamedTuple

from result import Err

from ..decisions.suspects import Suspects
from ..decisions.views import TargetView, TargetViews
from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..mesh.peers import PeerMesh
from ..messages import CrashSuspects, TargetSuspect
from .targets import TargetClients


class RunningAttempt(NamedTuple):
    """An attempt on a target.

    ``fingerprint`` identifies its request. ``boot_id`` is the target's incarnation,
    empty if unknown.
    """

    fingerprint: bytes
    boot_id: str


class TargetDeaths:
    """Tracks this VM's requests on each target and checks whether a target died."""

    def __init__(
        self,
        *,
        events: EventRing,
        mesh: PeerMesh,
        suspects: Suspects,
        views: TargetViews,
        clients: TargetClients,
    ):
        self._events = events
        self._mesh = mesh
        self._suspects = suspects
        self._views = views
        self._clients = clients
        self._running: dict[str, dict[str, RunningAttempt]] = defaultdict(dict)
        self._boot_ids: dict[str, str] = {}

    def record_start(
        self, view: TargetView, attempt_id: str, fingerprint: bytes
    ) -> RunningAttempt:
        """Record that an attempt goes to the known incarnation of a target."""
        if view.state is not None and view.state.boot_id:
            self.record_boot_id(view.target, view.state.boot_id)
        boot_id = self._boot_ids.get(view.target, "")
        attempt = RunningAttempt(fingerprint, boot_id)
        self._running[view.target][attempt_id] = attempt
        return attempt

    def record_end(self, target: str, attempt_id: str) -> None:
        """Record that an attempt has ended."""
        self._running[target].pop(attempt_id, None)

    def running_fingerprints(self, target: str) -> tuple[bytes, ...]:
        """Return the fingerprints of the requests that this VM runs on a target."""
        return tuple(attempt.fingerprint for attempt in self._running[target].values())

    async def check(
        self, view: TargetView, attempt: RunningAttempt, failure: Failure
    ) -> None:
        """Probe a target that failed an attempt; announce the suspects if it died.

        The answer is compared with the boot id that was known when the attempt
        started. By now another attempt may have seen the next incarnation.
        """
        attempts = (attempt, *self._running[view.target].values())
        fingerprints = {
            other.fingerprint for other in attempts if other.boot_id == attempt.boot_id
        }
        health = await self._clients.client(view.address).health()
        if isinstance(health, Err):
            if health.err_value.kind is not ErrorKind.TARGET_UNREACHABLE:
                return
        else:
            current_boot_id = health.ok_value.boot_id
            self.record_boot_id(view.target, current_boot_id)
            if attempt.boot_id in ("", current_boot_id):
                return
        self._report_death(view, attempt.boot_id, tuple(sorted(fingerprints)), failure)

    def record_boot_id(self, target: str, boot_id: str) -> None:
        """Record the boot id that a healthy target has given."""
        self._boot_ids[target] = boot_id

    def _report_death(self, view, boot_id: str, fingerprints, failure: Failure) -> None:
        if failure.kind is not ErrorKind.TARGET_UNREACHABLE:
            message = CrashSuspects(view.target, boot_id, fingerprints)
            self._suspects.record_death(view.target, boot_id, fingerprints)
            self._mesh.broadcast(message)
        if view.owner_vm:
            self._mesh.cast(
                view.owner_vm, TargetSuspect(view.target, boot_id, failure.detail)
            )
        self._events.emit(
            EventKind.TARGET_DIED, view.target, suspects=len(fingerprints)
        )
