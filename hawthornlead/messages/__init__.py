"""The typed messages that VMs send one another.

Each message is a ``NamedTuple`` registered in ``MESSAGES`` by the ``message``
decorator under its name on the wire. A field is an int, float, str, bytes,
bool, None, another ``NamedTuple`` of this package or a tuple of these. Fields are
only ever added at the end, with a default, so that an older VM's message decodes.

Times are relative (``..._s``, seconds): clocks of different VMs are never compared.

Each module holds the messages of one topic; this package registers and exports all.

May import: the common modules.
"""

from .admission import PlaceEnded, PlaceReserved, ReservePlace
from .base import MESSAGES, PROTOCOL_VERSION, message
from .bundles import (
    BundleDecided,
    BundlePointer,
    Chunk,
    FetchBundlePointer,
    FetchChunk,
    StageBundle,
    StagedBundle,
)
from .claims import Claim, Claimed, RecordOutcome
from .crashes import (
    CrashSuspects,
    ReleaseSuspectSlot,
    ReserveSuspectSlot,
    UnansweredPrompt,
)
from .fleets import (
    FleetUpdate,
    ForwardedMessage,
    GroupUpdate,
    MemberState,
    MemberUpdate,
)
from .gateways import (
    AdapterLoaded,
    AdapterMissing,
    AdapterUse,
    FetchedRecords,
    FetchRecords,
    ForwardedLoads,
    GatheredLoads,
    HeldAdapter,
    LoadAdapter,
    PromptReserved,
    RelayedChanges,
    RelayedKind,
    RelayedRecord,
    RelayHeartbeat,
    ReservePrompt,
    TargetHoldings,
    TargetLoad,
    VmLoads,
    YieldTarget,
)
from .leases import LeaseRenewed, RenewLease
from .loads import AcquireLoad, LoadPermit, ReleaseLoad
from .popularities import AdapterCount, PopularityCounts
from .sessions import Challenge, Done, Failed, Goodbye, Heartbeat, Hello, Proof
from .streams import BegunStreams, FindStreams, StreamsBegun
from .targets import (
    AcquireGrant,
    GrantReply,
    ReleaseGrant,
    RenewedGrants,
    RenewGrants,
    Resident,
    RevokeGrant,
    TargetState,
    TargetSuspect,
)
from .timelines import CollectedEvents, CollectEvents, EventRecord

__all__ = [
    "AcquireGrant",
    "AcquireLoad",
    "AdapterCount",
    "AdapterLoaded",
    "AdapterMissing",
    "AdapterUse",
    "BegunStreams",
    "BundleDecided",
    "BundlePointer",
    "Challenge",
    "Chunk",
    "Claim",
    "Claimed",
    "CollectEvents",
    "CollectedEvents",
    "CrashSuspects",
    "Done",
    "EventRecord",
    "Failed",
    "FetchBundlePointer",
    "FetchChunk",
    "FetchRecords",
    "FetchedRecords",
    "FindStreams",
    "FleetUpdate",
    "ForwardedLoads",
    "ForwardedMessage",
    "GatheredLoads",
    "Goodbye",
    "GrantReply",
    "GroupUpdate",
    "Heartbeat",
    "HeldAdapter",
    "Hello",
    "LeaseRenewed",
    "LoadAdapter",
    "LoadPermit",
    "MESSAGES",
    "MemberState",
    "MemberUpdate",
    "PROTOCOL_VERSION",
    "PlaceEnded",
    "PlaceReserved",
    "PopularityCounts",
    "PromptReserved",
    "Proof",
    "RecordOutcome",
    "RelayHeartbeat",
    "RelayedChanges",
    "RelayedKind",
    "RelayedRecord",
    "ReleaseGrant",
    "ReleaseLoad",
    "ReleaseSuspectSlot",
    "RenewGrants",
    "RenewLease",
    "RenewedGrants",
    "ReservePlace",
    "ReservePrompt",
    "ReserveSuspectSlot",
    "Resident",
    "RevokeGrant",
    "StageBundle",
    "StagedBundle",
    "StreamsBegun",
    "TargetHoldings",
    "TargetLoad",
    "TargetState",
    "TargetSuspect",
    "UnansweredPrompt",
    "VmLoads",
    "YieldTarget",
    "message",
]
