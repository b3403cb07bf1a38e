"""One look at a fleet for who is on call, as one VM sees it.

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
from .relay_elections import RELAYS
from .store_clients import StoreClient
from .target_tables import TargetTable
from .vm_leases import VmLease
from .watch_relays import WatchRelays

# Of a larger fleet the VMs that registered first are shown.
MOST_SHOWN = 1000


class MemberRow(TypedDict):
    """One VM: when this one heard of it last, None if it doesn't now."""

    vm: str
    data_centre: str
    role: str
    state: str
    heard_s: float | None
    revision: int


class EngineRow(TypedDict):
    """One target, who orders it, and whether that VM can be asked."""

    target: str
    service: str
    owner: str
    reached: bool


class KindRow(TypedDict):
    """One kind of the store's objects, and by what its changes come to this VM."""

    kind: str
    changes: str


class QuotaRow(TypedDict):
    """One workspace with a quota, over all VMs: its limit, credit and demand."""

    workspace: str
    limit_per_s: float
    credit: float
    asked_per_s: float


class FleetBody(TypedDict):
    """All that is shown."""

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
    quotas: list[QuotaRow]


class FleetView:
    """What one VM knows of the fleet.

    ``configuration`` returns the version in force.
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        mesh: FleetMesh,
        targets: TargetTable,
        relays: WatchRelays,
        client: StoreClient,
        lease: VmLease,
        timers: TimerService,
        quotas: QuotaLedger,
        configuration: Callable[[], int],
    ):
        self._memberships = memberships
        self._mesh = mesh
        self._targets = targets
        self._relays = relays
        self._client = client
        self._lease = lease
        self._timers = timers
        self._quotas = quotas
        self._configuration = configuration

    def body(self) -> bytes:
        """Return the view as JSON."""
        return json.dumps(self.look()).encode()

    def look(self) -> FleetBody:
        """Return the view."""
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
            "quotas": self._quota_rows(),
        }

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
        for kind, how in self._relays.change_sources().items():
            rows.append({"kind": kind, "changes": how})
        return rows

    def _members(self, now: float) -> list[MemberRow]:
        live = {peer.vm: peer for peer in self._mesh.live}
        heads = {*self._mesh.links.local_heads, *self._mesh.other_heads}
        if self._mesh.is_head:
            heads.add(self._memberships.vm)
        registered_order = self._memberships.registered_order
        order = sorted(registered_order.records, key=registered_order.registered_at)
        rows: list[MemberRow] = []
        for vm in order[:MOST_SHOWN]:
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
    """Return what a VM told of itself."""
    if heartbeat is None or not heartbeat.capacity:
        return "not ready"
    return "leaving" if heartbeat.draining else "serving"
