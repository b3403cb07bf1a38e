"""The groups of one gateway's parts on which other parts are built."""

from typing import NamedTuple

from ..decisions.quotas import QuotaLedger
from ..eras.followed_targets import FollowedTargets
from ..eras.settlements import EraSettlement
from ..fleet.fleet_meshes import FleetMesh
from .engine_managers import EngineManager
from .measured_engines import MeasuredEngines
from .memberships import Memberships
from .ownerships import Ownerships
from .store_clients import StoreClient
from .target_connections import TargetConnections
from .target_healths import TargetHealths
from .target_loads import TargetLoads
from .target_paths import TargetPaths
from .target_tables import TargetTable
from .vm_leases import VmLease
from .watch_relays import WatchRelays


class Coordination(NamedTuple):
    """What VMs coordinate by: store, mesh, membership, and ownership of engines."""

    client: StoreClient
    mesh: FleetMesh
    memberships: Memberships
    lease: VmLease
    ownerships: Ownerships
    relays: WatchRelays
    quotas: QuotaLedger
    settlement: EraSettlement


class TargetParts(NamedTuple):
    """The state of targets, the connections to them, and the engines of this VM."""

    targets: TargetTable
    followed: FollowedTargets
    connections: TargetConnections
    paths: TargetPaths
    loads: TargetLoads
    healths: TargetHealths
    engine_manager: EngineManager
    measured: MeasuredEngines
