"""The state of one VM: itself, its peers, its targets and the bundle in force."""

import json
from typing import Any, NamedTuple

from ..bundles.rolls import BundleKeeper
from ..decisions.limits import Admissions
from ..decisions.views import TargetView, TargetViews
from ..invariants import Invariants
from ..ownership.leases import LeaseKeeper
from ..ownership.owners import Owners
from ..settings import Settings
from ..stores.stores import ObjectStore
from ..timers import TimerService
from .request_guards import RequestGuard, SignedHandler


class StatusParts(NamedTuple):
    """The objects that the status reads; ``mesh`` and ``members`` as in the daemon."""

    settings: Settings
    timers: TimerService
    store: ObjectStore
    mesh: Any
    members: Any
    leases: LeaseKeeper
    owners: Owners
    keeper: BundleKeeper
    views: TargetViews
    admissions: Admissions
    invariants: Invariants


class StatusHandler(SignedHandler):
    """``GET /status``: the state of this VM as JSON."""

    def initialize(self, guard: RequestGuard | None, parts: StatusParts) -> None:
        """Set the objects that the daemon built."""
        super().initialize(guard)
        self._parts = parts

    def get(self) -> None:
        """Answer with the current state."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(status_of(self._parts)))


def status_of(parts: StatusParts) -> dict[str, Any]:
    """Return the state of a VM as JSON fields, with ages in seconds."""
    settings = parts.settings
    return {
        "vm": settings["VM_NAME"],
        "data_centre": settings["DATA_CENTRE"],
        "draining": parts.members.draining,
        "open_requests": parts.admissions.open,
        "lease": {
            "state": parts.leases.state,
            "incarnation": parts.leases.incarnation,
        },
        "store_answered_s_ago": _seconds_since(parts, parts.store.answered_at),
        "bundle": _bundle(parts),
        "owned": sorted(parts.owners.owned_resources()),
        "peers": _peers(parts),
        "targets": _targets(parts),
        "invariants_broken": parts.invariants.broken,
    }


def _bundle(parts: StatusParts) -> dict[str, Any]:
    in_force = parts.keeper.in_force
    serving = parts.keeper.may_serve()
    return {
        "seq": in_force.seq if in_force else 0,
        "digest": in_force.digest if in_force else "",
        "staged_seq": parts.keeper.staged_seq,
        "refusing": serving.err_value.kind.value if serving.is_err() else "",
    }


def _peers(parts: StatusParts) -> list[dict[str, Any]]:
    return [
        {
            "vm": peer.vm,
            "data_centre": peer.data_centre,
            "address": peer.address,
            "heard_s_ago": _seconds_since(parts, peer.last_seen_at),
        }
        for peer in sorted(parts.mesh.live, key=lambda peer: peer.vm)
    ]


def _targets(parts: StatusParts) -> list[dict[str, Any]]:
    return [
        {
            "target": view.target,
            "data_centre": view.data_centre,
            "owner": view.owner_vm,
            "leaving": view.leaving,
            "residents": _residents(view),
            "heard_s_ago": _seconds_since(parts, view.last_seen_at),
        }
        for view in parts.views.views()
    ]


def _residents(view: TargetView) -> list[str]:
    if view.state is None:
        return []
    return [f"{each.adapter}@{each.version}" for each in view.state.residents]


def _seconds_since(parts: StatusParts, moment: float) -> float | None:
    """Return the seconds since a moment, None for never.

    The moment is 0 or minus infinity for never.
    """
    if moment in (0, float("-inf")):
        return None
    return round(parts.timers.now() - moment, 3)


def status_routes(parts: StatusParts, guard: RequestGuard | None = None) -> list:
    """Return the route of the status; without a guard it is open to all."""
    return [(r"/status", StatusHandler, {"guard": guard, "parts": parts})]
