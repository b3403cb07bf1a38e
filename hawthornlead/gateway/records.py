"""The typed records that the modules of the gateway exchange.

``hawthornlead.platform`` decodes the wire format into these and encodes them again;
nothing here depends on field names of the wire format.
"""

from enum import Enum
from typing import NamedTuple


class RouteKind(Enum):
    """Whether and how a request on a route may be repeated."""

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
    is the objective for the time to an answer, or to the first event of a stream, and
    ``event_gap_ms`` that for the longest pause between events. A request on a
    ``public`` route needs no key.
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
    """The limit of a workspace's requests, over all VMs together.

    ``rate`` is per second and ``burst`` is allowed on top of it, both in ``unit``. If
    tokens are counted, a request that doesn't state its tokens counts ``plain_tokens``.
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0

    def cost(self, request: "CallerRequest") -> float:
        """Return what a request costs of the quota."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        if not request.tells_tokens:
            return float(self.plain_tokens)
        return float(request.prompt_tokens + request.max_tokens)


class Workspace(NamedTuple):
    """A workspace, known by its keys; only digests of these are kept.

    ``priority`` None keeps that of the route, ``quota`` None sets no limit.
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
    """Return the version of an adapter that models hold, None if they don't hold it."""
    for held_model in models:
        for held in held_model.adapters:
            if (held.model, held.adapter) == (model, adapter):
                return held.version
    return None


class Incarnation(NamedTuple):
    """One incarnation of a target: its id, and the Unix millisecond of its start.

    ``started_ms`` is None if the target doesn't state it.
    """

    target: str
    started_ms: int | None

    def precedes(self, other: "Incarnation") -> bool:
        """Whether the other is known to be a later incarnation."""
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms < other.started_ms

    def matches(self, other: "Incarnation") -> bool:
        """Whether both may be the same incarnation; an unknown start matches any."""
        if self.started_ms is None or other.started_ms is None:
            return True
        return self.started_ms == other.started_ms


class RestartSeen(Enum):
    """How a VM detected that a target has restarted."""

    ENTRY = "entry"
    REPORT = "report"
    PEER_MESSAGE = "word of another VM"
    COUNT = "count of orders gone back"


class Loss(Enum):
    """Why an incarnation of a target is known, or suspected, to be lost.

    The first proves that its requests no longer run. The others don't: a target may
    have closed its listener, be cut off for a while, or serve on without an entry.
    """

    RESTARTED = "restarted"
    REFUSED = "refuses connections"
    UNANSWERED = "answers no calls"
    ENTRY_GONE = "entry gone"


class TargetEntry(NamedTuple):
    """A target as it registers itself; it keeps its id when it restarts.

    ``started_ms`` is the Unix millisecond of its start, None if it doesn't state it.
    ``software`` is the version of the software that it runs, empty if unknown.
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
    software: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the target that this entry describes."""
        return Incarnation(self.target, self.started_ms)

    def runs(self, software: str | None) -> bool:
        """Whether the target runs a software version; None stands for any."""
        return software is None or (bool(software) and software == self.software)


class EngineReport(NamedTuple):
    """The state that an engine reports; it lags some hundred milliseconds.

    ``order_count`` is the number of orders accepted since the engine's start.
    ``arriving`` are adapters that are being fetched; they use slots too.
    ``started_ms`` is the Unix millisecond of its start, None if it doesn't state it.
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
    """The kind of an order to an engine."""

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
    """The result of an order to an engine."""

    STARTED = "started"
    HOLDS_ALREADY = "holds already"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CallerRequest(NamedTuple):
    """What a caller's headers state about its request.

    ``deadline_ms`` is how long the caller waits, None if not stated; ``adapter`` is
    empty for a request to the base model. ``last_event`` is the last event that the
    caller already has of an earlier, broken stream, and ``resumes`` the id of the
    request that brought its first event. ``key_digest`` is empty if the caller sent no
    key, or an unreadable one. ``prompt`` names the parts of its prompt, as the caller
    wrote them, and ``shared_parts`` are the ids of those that other prompts may have
    too, in their order.
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
    resumes: str = ""
    prompt: str = ""
    shared_parts: tuple[str, ...] = ()


class StoredRecord(NamedTuple):
    """One object of the platform's store, at the dated revision of its last change.

    Dated revisions are those of ``eras.dated_revisions``. ``unreadable`` means that the
    object exists but its content can't be read; ``spec`` and ``status`` are None where
    they can't. No decoder accepts it.
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
    """One change that a watch returns."""

    record: StoredRecord
    deleted: bool


class StoreChanges(NamedTuple):
    """The changes that a watch returns, and the revision to continue from.

    ``skipped`` objects have no name or no revision that can be read.
    """

    events: tuple[StoreEvent, ...]
    revision: int
    skipped: int = 0


class VmRecord(NamedTuple):
    """A VM as it registers itself in the store.

    It takes requests of other VMs at ``relay_address``, none if that is empty.
    """

    vm: str
    incarnation: str
    data_centre: str
    peer_address: str
    caller_address: str
    leaving: bool
    relay_address: str = ""
