"""What the soak over the gateway writes down, by one clock: all of it in one process.

Callers, targets, store and operator are in the process that judges, so that moments
can be compared; only the gateways are processes of their own. Times are seconds of
``time.monotonic``.
"""

import time
from contextlib import contextmanager
from typing import Any, NamedTuple
from zlib import crc32

# What must not run twice: everything but these.
REPEATABLE = frozenset(("safe", "moved", "added", "resume"))
# These statuses promise that the request hasn't run and never will.
PROMISES = frozenset((408, 421, 429, 503))
CONTACT_S = 3.0
# The parts that sound prompts have in common with some others.
SUBJECTS = 20
# Unplanned trouble of the store, seen by every VM.
STORE = "store"
# The process that plays and judges all else.
SOAK = "soak"


class Sent(NamedTuple):
    """One attempt of a caller, as the caller saw it.

    ``outcome`` is "whole", "refused" (a whole answer that is no success), "left",
    "unconnected", "broken" or "malformed". ``events`` are those that came whole.
    ``resumes`` is the attempt that brought the first event of its stream. ``part`` is a
    part of its prompt that crashes engines, empty for a sound request. ``earlier`` is
    how many attempts at the same request came before.
    """

    kind: str
    request_id: str
    method: str
    path: str
    model: str
    tokens: str
    content: str
    vm: str
    process_id: int
    sent_at: float
    deadline_s: float
    last_event: int = 0
    kept: bool = False
    head_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    outcome: str = ""
    seal: str = ""
    answered_id: str = ""
    body: bytes = b""
    events: tuple[int, ...] = ()
    foreign_events: int = 0
    detail: str = ""
    resumes: str = ""
    part: str = ""
    earlier: int = 0

    @property
    def subject(self) -> str:
        """The part of its prompt that some other requests have too."""
        return f"5{crc32(self.content.encode()) % SUBJECTS:x}"

    @property
    def repeatable(self) -> bool:
        """Whether its route lets it run more than once."""
        return self.kind in REPEATABLE

    @property
    def total_events(self) -> int:
        """How many events its stream has, 0 if it asks for none."""
        return int(self.tokens.partition(",")[2] or 0)


class Run:
    """One run of a request at a target; it is noted as it begins, and goes on."""

    def __init__(self, **seen: Any):
        self.target: str = seen["target"]
        self.service: str = seen["service"]
        self.started_ms: int = seen["started_ms"]
        self.vm: str = seen["vm"]
        self.request_id: str = seen["request_id"]
        self.asked: tuple = seen["asked"]
        self.adapter: str = seen.get("adapter", "")
        self.version: int = seen.get("version", 0)
        self.software: str = seen.get("software", "")
        self.last_event: int = seen.get("last_event", 0)
        self.arrived_at: float = seen["arrived_at"]
        self.begun_at: float = seen["begun_at"]
        self.ended_at: float | None = None
        self.outcome = ""
        self.status = 0
        self.seal: str = seen["seal"]
        self.body = b""

    def end(self, outcome: str) -> None:
        """Note how it ended; the first word counts."""
        if self.ended_at is None:
            self.ended_at = time.monotonic()
            self.outcome = outcome

    def as_dict(self) -> dict:
        """Return all of it for reading."""
        return {**vars(self), "body": self.body.decode("latin1")[:200]}


class OrderSeen(NamedTuple):
    """An order as it arrived at an engine; ``late`` if it was carried out later."""

    at: float
    target: str
    started_ms: int
    vm: str
    holder: str
    fence: int
    order: str
    named_count: int
    found_count: int
    status: int
    late: bool


class Trouble(NamedTuple):
    """Something that was hurt, and from when until when.

    ``subject`` is a VM, a target, "store", or "VM>target" for a path between them.
    ``planned`` is what must cost nothing: a SIGTERM or a SIGHUP.
    """

    fault: str
    subject: str
    begun_at: float
    ended_at: float
    planned: bool = False


# The fault by which VMs lose their paths to all targets, and what it names as hurt is
# "VM>targets".
CUT_FROM_TARGETS = "vms-cut-from-targets"
# The trouble of a VM whose process ended by itself, until it runs again.
ENDED_BY_ITSELF = "ended-by-itself"


class OwnEnd(NamedTuple):
    """A gateway's process that ended though nothing ended it."""

    vm: str
    process_id: int
    code: int
    at: float


class Stopped(NamedTuple):
    """A gateway's process that was asked to stop, and how it ended."""

    vm: str
    process_id: int
    asked_at: float
    ended_at: float
    exit_code: int


class Written(NamedTuple):
    """What the operator wrote and the store acknowledged.

    ``name`` is "config" or an adapter's name.
    """

    name: str
    version: int
    at: float
    routes: dict[str, str]


class SoftwareStart(NamedTuple):
    """A start of a target, and the software version that it runs from then on."""

    target: str
    service: str
    software: str
    at: float


class Away(NamedTuple):
    """A target whose entry said, or showed, that it takes no more; since when."""

    target: str
    begun_at: float
    ended_at: float


class LostWrites(NamedTuple):
    """A stretch whose writes the store lost, as it came back from a copy."""

    begun_at: float
    ended_at: float


class Arrival(NamedTuple):
    """A request as it reached a target, run or not."""

    target: str
    vm: str
    request_id: str
    at: float


class Told(NamedTuple):
    """An answer by which a target said something of itself to a VM.

    ``notice`` is "limit", "leaving" or "rest"; ``amount`` is in requests a second, or
    in seconds. ``since`` is when the target began to say it.
    """

    target: str
    vm: str
    notice: str
    amount: float
    since: float
    at: float


class PromptCrash(NamedTuple):
    """An engine that crashed as it began to answer a prompt with a part."""

    part: str
    target: str
    at: float


class Probe(NamedTuple):
    """What a VM gave a caller of one kind at the end, after all faults."""

    vm: str
    kind: str
    served: bool
    detail: str


class PlaceCounts(NamedTuple):
    """What a VM's metrics tell of places at targets after all callers have stopped.

    ``waiting`` is how many requests wait there, ``decided`` counts the outcomes.
    """

    vm: str
    waiting: int
    decided: dict[str, int]


class Journal:
    """Everything that the judges need; the soak's parts add to it as they go."""

    def __init__(self):
        self._open: dict[tuple[str, str], tuple[float, bool]] = {}
        self._away: dict[str, float] = {}
        self.sent: list[Sent] = []
        self.runs: list[Run] = []
        self.orders: list[OrderSeen] = []
        self.troubles: list[Trouble] = []
        self.stopped: list[Stopped] = []
        self.own_ends: list[OwnEnd] = []
        self.errors: list[str] = []
        self.log_lines = 0
        self.written: list[Written] = []
        self.away: list[Away] = []
        self.lost_writes: list[LostWrites] = []
        self.software: list[SoftwareStart] = []
        self.arrivals: list[Arrival] = []
        self.told: list[Told] = []
        self.prompt_crashes: list[PromptCrash] = []
        self.overloaded: list[str] = []
        self.loads = 0
        self.probes: list[Probe] = []
        self.place_counts: list[PlaceCounts] = []
        self.stalls: list[float] = []

    @contextmanager
    def trouble(self, fault: str, *subjects: str, planned: bool = False):
        """Note that something is hurt while the block runs."""
        begun_at = time.monotonic()
        keys = [(f"{fault} {id(subjects)}", subject) for subject in subjects]
        for key in keys:
            self._open[key] = (begun_at, planned)
        try:
            yield
        finally:
            for key in keys:
                self._open.pop(key, None)
                ended_at = time.monotonic()
                self.troubles.append(
                    Trouble(fault, key[1], begun_at, ended_at, planned)
                )

    def gone(self, target: str) -> None:
        """Note that a target's entry names none to use from now on."""
        self._away.setdefault(target, time.monotonic())

    def back(self, target: str) -> None:
        """Note that a target's entry names it again."""
        begun_at = self._away.pop(target, None)
        if begun_at is not None:
            self.away.append(Away(target, begun_at, time.monotonic()))

    def close(self) -> None:
        """Note the end of what is still away."""
        for target in tuple(self._away):
            self.back(target)
