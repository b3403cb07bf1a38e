"""Construction of what VMs coordinate by: the first group of a gateway's parts.

::

    coordination = build_coordination(core, metrics)
"""

from ..core_parts import CoreParts
from ..eras.reassertions import Reassertions
from ..eras.settlements import EraSettlement
from ..eras.store_eras import StoreEras
from ..fleet.fleet_meshes import FleetMesh
from ..fleet.registered_orders import RegisteredOrder
from ..mesh.sparse_peers import SparsePeerMesh
from .gateway_metrics import GatewayMetrics
from .memberships import Memberships
from .ownerships import SETTLE_S, Ownerships
from .part_groups import Coordination
from .quota_ledgers import build_ledger
from .records import VmRecord
from .store_clients import StoreClient
from .stored_markers import StoredMarker
from .vm_leases import VmLease
from .watch_relays import WatchRelays

# The number of VMs that a VM assumes until it knows them: too many, so that all of them
# together stay below a quota.
ASSUMED_VMS = 400


def build_coordination(core: CoreParts, metrics: GatewayMetrics) -> Coordination:
    """Build what VMs coordinate by."""
    settings, timers, rng, events = core.settings, core.timers, core.rng, core.events
    vm, incarnation = settings["VM_NAME"], f"{rng.getrandbits(64):016x}"
    client = StoreClient(
        address=settings["STORE_ADDRESS"],
        timers=timers,
        metrics=metrics,
        eras=StoreEras(now=timers.now, events=events),
    )
    transport = SparsePeerMesh(
        settings=settings,
        timers=timers,
        events=events,
        metrics=core.metrics,
        clock=core.clock,
        incarnation=incarnation,
        rng=rng,
    )
    registered_order = RegisteredOrder()
    mesh = FleetMesh(
        transport=transport,
        data_centre=settings["DATA_CENTRE"],
        registered_order=registered_order,
        timers=timers,
        message_bytes=settings["MAX_MESSAGE_BYTES"],
    )
    record = VmRecord(
        vm,
        incarnation,
        settings["DATA_CENTRE"],
        settings["PEER_ADDRESS"],
        settings["CALLER_ADDRESS"],
        False,
        settings["RELAY_ADDRESS"],
    )
    memberships = Memberships(
        record=record,
        client=client,
        mesh=mesh,
        timers=timers,
        rng=rng,
        events=events,
        registered_order=registered_order,
    )
    lease = VmLease(
        vm=vm,
        incarnation=incarnation,
        client=client,
        timers=timers,
        rng=rng,
        events=events,
    )
    memberships.registration.subscribe(lease.start)
    settlement = EraSettlement(
        eras=client.eras,
        now=timers.now,
        settle_s=SETTLE_S,
        first_start=settings["FIRST_START"],
        marker=StoredMarker(client),
    )
    ownerships = Ownerships(
        memberships=memberships,
        lease=lease,
        client=client,
        mesh=mesh,
        events=events,
        settlement=settlement,
        fast_start=settings["FAST_STARTS"],
    )
    Reassertions(
        eras=client.eras,
        timers=timers,
        outdated=ownerships.outdated,
        reassert=ownerships.reassert,
    )
    relays = WatchRelays(
        memberships=memberships,
        mesh=mesh,
        timers=timers,
        client=client,
        events=events,
    )
    quotas = build_ledger(
        settings,
        metrics,
        now=timers.now,
        rng=rng,
        share=lambda: memberships.seen_share,
        vms=lambda: registered_order.count or ASSUMED_VMS,
    )
    return Coordination(
        client, mesh, memberships, lease, ownerships, relays, quotas, settlement
    )
