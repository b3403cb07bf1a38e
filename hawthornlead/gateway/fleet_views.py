"""A snapshot of the fleet for operators, as one VM sees it.

It is served as JSON on the metrics address and printed by ``hawthornlead fleet``::

    FleetView(...).body()
"""

import json
from collections.abc import Callable
from typing import TypedDict

from ..decisions.quotas import QuotaLedger
from ..fleet.fleet_meshes import FleetMesh
from ..messages import Heartbeat
from ..timers import TimerService
from .memberships import Memberships
from .prompt_quarantines import PromptQuarantines
from .relay_elections import RELAYS
from .store_clients import StoreClient
from .target_paths import TargetPaths
from .target_tables import TargetTable
from .vm_leases import VmLease
from .watch_relays import WatchRelays

# Of a larger fleet only the VMs with the oldest registrations are shown.
MAX_SHOWN = 1000


class MemberRow(TypedDict):
    """One VM; ``heard_s`` is the time since it was last seen, None if it is silent."""

    vm: str
    data_centre: str
    role: str
    state: str
    heard_s: float | None
    revision: int


class EngineRow(TypedDict):
    """One target, its owner, and whether the owner can be reached."""

    target: str
    service: str
    owner: str
    reached: bool


class KindRow(TypedDict):
    """One kind of the store's objects, and this VM's source of its changes."""

    kind: str
    changes: str


class QuotaRow(TypedDict):
    """One workspace with a quota, over all VMs: its limit, credit and demand."""

    workspace: str
    limit_per_s: float
    credit: float
    asked_per_s: float


class QuarantineRow(TypedDict):
    """One prompt part that crashes targets: its crashes, and for how long it is known.

    ``trial_s`` is when a request with it may be tried, None if never.
    """

    part: str
    crashes: int
    since_s: float
    trial_s: float | None


class FleetBody(TypedDict):
    """The whole snapshot; ``unreached`` are services that this VM can't connect to."""

    vm: str
    incarnation: str
    serving: bool
    head: bool
    fed_by: str
    relays: list[str]
    store_heard_s: float
    lease_left_s: float
    configuration: int
    kinds: list[KindRow]
    members: list[MemberRow]
    engines: list[EngineRow]
    unreached: list[str]
    quotas: list[QuotaRow]
    quarantines: list[QuarantineRow]


class FleetView:
    """Builds the snapshot of the fleet that one VM sees.

    ``configuration`` returns the version in force.
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        mesh: FleetMesh,
        targets: TargetTable,
        paths: TargetPaths,
        relays: WatchRelays,
        client: StoreClient,
        lease: VmLease,
        timers: TimerService,
        quotas: QuotaLedger,
        quarantines: PromptQuarantines,
        configuration: Callable[[], int],
    ):
        self._memberships = memberships
        self._mesh = mesh
        self._targets = targets
        self._paths = paths
        self._relays = relays
        self._client = client
        self._lease = lease
        self._timers = timers
        self._quotas = quotas
        self._quarantines = quarantines
        self._configuration = configuration

    def body(self) -> bytes:
        """Return the snapshot as JSON."""
        return json.dumps(self.snapshot()).encode()

    def snapshot(self) -> FleetBody:
        """Return the snapshot."""
        now = self._timers.now()
        return {
            "vm": self._memberships.vm,
            "incarnation": self._memberships.incarnation,
            "serving": self._memberships.serving,
            "head": self._mesh.is_head,
            "fed_by": self._mesh.upstream_head,
            "relays": self._memberships.relay_order(RELAYS),
            "store_heard_s": round(now - self._client.answered_at, 2),
            "lease_left_s": round(self._lease.left_s, 2),
            "configuration": self._configuration(),
            "kinds": self._kinds(),
            "members": self._members(now),
            "engines": self._engines(),
            "unreached": list(self._paths.unreachable),
            "quotas": self._quota_rows(),
            "quarantines": self._quarantine_rows(now),
        }

    def _quarantine_rows(self, now: float) -> list[QuarantineRow]:
        rows: list[QuarantineRow] = []
        for each in self._quarantines.quarantined:
            trial_s = None
            if each.trial_at is not None:
                trial_s = round(max(0.0, each.trial_at - now), 1)
            row: QuarantineRow = {
                "part": each.part,
                "crashes": each.crashes,
                "since_s": round(now - each.since, 1),
                "trial_s": trial_s,
            }
            rows.append(row)
        return rows

    def _quota_rows(self) -> list[QuotaRow]:
        limits = self._quotas.limits
        rows: list[QuotaRow] = []
        for state in self._quotas.states():
            rows.append(
                {
                    "workspace": state.workspace,
                    "limit_per_s": limits[state.workspace].rate,
                    "credit": round(state.credit),
                    "asked_per_s": round(state.demand),
                }
            )
        return rows

    def _kinds(self) -> list[KindRow]:
        rows: list[KindRow] = []
        for kind, source in self._relays.change_sources().items():
            rows.append({"kind": kind, "changes": source})
        return rows

    def _members(self, now: float) -> list[MemberRow]:
        live = {peer.vm: peer for peer in self._mesh.live}
        heads = {*self._mesh.links.local_heads, *self._mesh.other_heads}
        if self._mesh.is_head:
            heads.add(self._memberships.vm)
        registered_order = self._memberships.registered_order
        order = sorted(registered_order.records, key=registered_order.registered_at)
        rows: list[MemberRow] = []
        for vm in order[:MAX_SHOWN]:
            record = registered_order.records[vm]
            peer = live.get(vm)
            state = "silent"
            heard_s = None
            if vm == self._memberships.vm:
                state = "serving" if self._memberships.serving else "not ready"
                heard_s = 0.0
            elif peer is not None and self._memberships.is_reachable(vm):
                state = _state_of(peer.heartbeat)
                heard_s = round(now - peer.last_seen_at, 2)
            rows.append(
                {
                    "vm": vm,
                    "data_centre": record.data_centre,
                    "role": "head" if vm in heads else "",
                    "state": "leaving" if record.leaving else state,
                    "heard_s": heard_s,
                    "revision": registered_order.registered_at(vm),
                }
            )
        return rows

    def _engines(self) -> list[EngineRow]:
        rows: list[EngineRow] = []
        for entry in self._targets.entries.values():
            owner = self._targets.owner(entry.target)
            rows.append(
                {
                    "target": entry.target,
                    "service": entry.service,
                    "owner": owner,
                    "reached": self._targets.is_orderable(entry.target),
                }
            )
        return rows


def _state_of(heartbeat: Heartbeat | None) -> str:
    """Return the state that a VM announces in its heartbeat."""
    if heartbeat is None or not heartbeat.capacity:
        return "not ready"
    if heartbeat.draining:
        return "leaving"
    return "serving" if heartbeat.reaches_targets else "reaches no target"
