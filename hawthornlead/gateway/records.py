"""The typed records that the gateway's parts hand one another.

``hawthornlead.platform`` decodes the wire into these and encodes them again; nothing
here knows how a field is spelled there.
"""

from enum import Enum
from typing import NamedTuple


class RouteKind(Enum):
    """What may be repeated of a request on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """A service that a route sends to, and its share among the route's services."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the configuration.

    ``attempts`` bounds the targets that one request may be sent to. ``objective_ms``
    is the time to a good answer, or to the first event of a stream, and
    ``event_gap_ms`` the longest pause between events that still is good. A request on
    a ``public`` route needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float
    objective_ms: float
    priority: int
    services: tuple[ServiceShare, ...]
    attempts: int
    resumable: bool
    event_gap_ms: float
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run a second time without asking its caller."""
        return self.kind is RouteKind.SAFE


class ModelSpec(NamedTuple):
    """A base model that the engines of a service may hold."""

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_mb: float


class EngineSpec(NamedTuple):
    """What one model engine of a service can hold and run."""

    batch: int
    kv_tokens: int
    memory_mb: float
    adapter_slots: int
    model_loads_per_s: float
    models: tuple[ModelSpec, ...]

    def model(self, name: str) -> ModelSpec | None:
        """Return the model of this name, None if the service has none."""
        for model in self.models:
            if model.name == name:
                return model
        return None


class ServiceSpec(NamedTuple):
    """A service; ``engine`` is None for a plain one without models.

    ``max_connections`` is what one target accepts from all VMs together.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may stay idle."""

    header_bytes: int
    body_bytes: int
    idle_s: float


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(NamedTuple):
    """What a workspace may ask for, over all VMs together.

    ``rate`` is per second and ``burst`` comes on top of it, both in ``unit``. Where
    tokens are counted, a request that doesn't tell its tokens counts ``plain_tokens``.
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0

    def cost(self, request: "CallerRequest") -> float:
        """Return what a request takes of the quota."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        if not request.tells_tokens:
            return float(self.plain_tokens)
        return float(request.prompt_tokens + request.max_tokens)


class Workspace(NamedTuple):
    """A workspace, known by its keys; only digests of these are kept.

    ``priority`` None leaves the route's, ``quota`` None sets no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    quota: Quota | None = None


class Configuration(NamedTuple):
    """One version of the configuration, as the operator wrote it.

    ``workspaces`` is None where callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] | None = None

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service of this name, None if there is none."""
        for service in self.services:
            if service.name == name:
                return service
        return None


class AdapterVersion(NamedTuple):
    """An adapter at one version; 0 stands for "any version"."""

    model: str
    adapter: str
    version: int


class HeldModel(NamedTuple):
    """A model that an engine holds, with the adapters beside it."""

    name: str
    version: int
    adapters: tuple[AdapterVersion, ...]


def held_version(models: tuple[HeldModel, ...], model: str, adapter: str) -> int | None:
    """Return the version at which an adapter stands in a list, None if it doesn't."""
    for held_model in models:
        for held in held_model.adapters:
            if (held.model, held.adapter) == (model, adapter):
                return held.version
    return None


class Incarnation(NamedTuple):
    """One start of a target: its id, and the Unix millisecond at which it started.

    ``started_ms`` is None where the target doesn't tell it.
    """

    target: str
    started_ms: int | None

    def precedes(self, other: "Incarnation") -> bool:
        """Whether the other is a later start, where both tell theirs."""
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms < other.started_ms

    def matches(self, other: "Incarnation") -> bool:
        """Whether both may be the same start: one that isn't told matches any."""
        if self.started_ms is None or other.started_ms is None:
            return True
        return self.started_ms == other.started_ms


class RestartSeen(Enum):
    """By what a VM sees that a target has started again."""

    ENTRY = "entry"
    REPORT = "report"
    PEER_MESSAGE = "word of another VM"
    COUNT = "count of orders gone back"


class Loss(Enum):
    """By what an incarnation of a target is known, or thought, to be over.

    The first two prove that what ran there runs no more; an entry that went and calls
    that aren't answered leave it open.
    """

    RESTARTED = "restarted"
    REFUSED = "refuses connections"
    UNANSWERED = "answers no calls"
    ENTRY_GONE = "entry gone"


class TargetEntry(NamedTuple):
    """A target as it registers itself; it keeps its id when it starts again.

    ``started_ms`` is the Unix millisecond of its start, None where it doesn't tell.
    """

    target: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    leaves_in_s: float | None
    models: tuple[HeldModel, ...]
    started_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Which start of the target this entry speaks of."""
        return Incarnation(self.target, self.started_ms)


class EngineReport(NamedTuple):
    """What an engine says of itself; it lags some hundred milliseconds.

    ``order_count`` is the number of orders accepted since the engine's start.
    ``arriving`` are adapters that are being fetched; they use slots too.
    ``started_ms`` is the Unix millisecond of its start, None where it doesn't tell.
    """

    order_count: int
    busy: bool
    running: int
    waiting: int
    kv_used: int
    kv_total: int
    models: tuple[HeldModel, ...]
    arriving: tuple[AdapterVersion, ...]
    started_ms: int | None = None


class OrderKind(Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


class EngineOrder(NamedTuple):
    """An order to an engine; an empty ``adapter`` means the model itself.

    ``version`` 0 asks for the newest. The order is carried out only while the
    engine has accepted exactly ``order_count`` orders before.
    """

    kind: OrderKind
    model: str
    adapter: str
    version: int
    order_count: int
    holder: str
    fence: int


class OrderOutcome(Enum):
    """What an engine made of an order."""

    STARTED = "started"
    HOLDS_ALREADY = "holds already"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CallerRequest(NamedTuple):
    """What a caller's headers say of its request.

    ``deadline_ms`` is how long the caller waits, None where it does not say;
    ``adapter`` is empty for a request to the base model. ``last_event`` is the last
    event that the caller already has of an earlier, broken stream. ``key_digest`` is
    empty where the caller sent no key, or none that can be read.
    """

    request_id: str
    deadline_ms: float | None
    model: str
    adapter: str
    prompt_tokens: int
    max_tokens: int
    likely_tokens: int
    last_event: str
    key_digest: bytes = b""
    tells_tokens: bool = False


class StoredRecord(NamedTuple):
    """One object of the platform's store, at the revision of its last change.

    ``unreadable`` tells that the object exists but that what it holds can't be read;
    ``spec`` and ``status`` are None where they can't. No decoder accepts it.
    """

    name: str
    revision: int
    spec: dict | None
    status: dict | None
    unreadable: bool = False


class StorePage(NamedTuple):
    """A page of a listing; ``revision`` is the store's at that moment.

    ``skipped`` objects have no name or no revision that can be read.
    """

    records: tuple[StoredRecord, ...]
    more: bool
    revision: int
    skipped: int = 0


class StoreEvent(NamedTuple):
    """One change that a watch tells."""

    record: StoredRecord
    deleted: bool


class StoreChanges(NamedTuple):
    """The changes that a watch tells at once, and where to continue.

    ``skipped`` objects have no name or no revision that can be read.
    """

    events: tuple[StoreEvent, ...]
    revision: int
    skipped: int = 0


class VmRecord(NamedTuple):
    """A VM as it registers itself in the store."""

    vm: str
    incarnation: str
    data_centre: str
    peer_address: str
    caller_address: str
    leaving: bool
