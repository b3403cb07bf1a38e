"""Finding out whether a target died, and which requests were on it.

A broken or silent stream says nothing of its target: a fresh connection does. Only
a target that refuses it, or answers with a new boot id, has died; then all requests
that this VM had there become suspects, and the other VMs are told so.
"""

from collections import defaultdict

from result import Err

from .errors import ErrorKind, Failure
from .events import EventKind, EventRing
from .messages import CrashSuspects, TargetSuspect
from .peers import PeerMesh
from .suspects import Suspects
from .targets import TargetClients
from .views import TargetView, TargetViews


class TargetDeaths:
    """The requests on each target, and the test of whether a target died."""

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
        self._running: dict[str, dict[str, bytes]] = defaultdict(dict)
        self._boot_ids: dict[str, str] = {}

    def started(self, target: str, attempt_id: str, fingerprint: bytes) -> None:
        """Note that an attempt goes to a target."""
        self._running[target][attempt_id] = fingerprint

    def ended(self, target: str, attempt_id: str) -> None:
        """Note that an attempt has ended."""
        self._running[target].pop(attempt_id, None)

    async def suspect(
        self, view: TargetView, fingerprint: bytes, failure: Failure
    ) -> None:
        """Test a target that failed an attempt, and share the suspects if it died."""
        fingerprints = tuple({*self._running[view.target].values(), fingerprint})
        health = await self._clients.client(view.address).health()
        boot_id = ""
        if isinstance(health, Err):
            if health.err_value.kind is not ErrorKind.TARGET_UNREACHABLE:
                return
            boot_id = self._boot_ids.get(view.target, "")
        else:
            known = self._boot_ids.get(view.target, "")
            self._boot_ids[view.target] = health.ok_value.boot_id
            if known in ("", health.ok_value.boot_id):
                return
            boot_id = known
        self._tell(view, boot_id, fingerprints, failure)

    def learn(self, target: str, boot_id: str) -> None:
        """Note a target's boot id, as seen while it was well."""
        self._boot_ids[target] = boot_id

    def _tell(self, view, boot_id: str, fingerprints, failure: Failure) -> None:
        if failure.kind is not ErrorKind.TARGET_UNREACHABLE:
            message = CrashSuspects(view.target, boot_id, fingerprints)
            self._suspects.died(view.target, boot_id, fingerprints)
            self._mesh.broadcast(message)
        if view.owner_vm:
            self._mesh.cast(
                view.owner_vm, TargetSuspect(view.target, boot_id, failure.detail)
            )
        self._events.emit(
            EventKind.TARGET_DIED, view.target, suspects=len(fingerprints)
        )
