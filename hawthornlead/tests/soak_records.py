"""What the long run writes down: what callers were told, and what it did itself.

All times are seconds on the run's own monotonic clock. The stand-ins' records stay
as they are told, since their clocks share nothing with the run's.
"""

from typing import Any, NamedTuple

from hawthornlead.errors import ANSWERS, Ran

# What an operator may take for certain: the bundle was not put in force.
_CERTAIN = tuple(
    kind.value for kind, answer in ANSWERS.items() if answer.ran is Ran.NOT_RUN
)


class Told(NamedTuple):
    """One request as its caller saw it.

    ``form`` is "stream", "whole" or "service". ``outcome`` is "whole", "left" (the
    caller went away), "unconnected", "broken" (the connection ended, or was silent,
    without the end of an answer), "malformed" or an error's kind. ``ran`` is what an
    error said of the run. ``vm`` and ``process_id`` name the VM and its process.
    """

    form: str
    caller: str
    alias: str
    prompt: str
    max_tokens: int
    key: str
    vm: str
    process_id: int
    sent_at: float
    ended_at: float = 0.0
    head_at: float = 0.0
    request_id: str = ""
    outcome: str = ""
    ran: str = ""
    adapter: str = ""
    version: str = ""
    bundle: int = 0
    text: str = ""
    indexes: tuple[int, ...] = ()
    count: int = 0
    replayed: bool = False
    received: str = ""
    detail: str = ""

    @property
    def whole(self) -> bool:
        """Whether the caller has its whole answer."""
        return self.outcome == "whole"


class SeenStatus(NamedTuple):
    """What one VM said of itself at one moment."""

    at: float
    vm: str
    process_id: int
    seq: int
    digest: str
    refusing: str
    invariants_broken: dict[str, int]


class Hurt(NamedTuple):
    """A VM's process that was killed or frozen, and from when until when."""

    process_id: int
    begun_at: float
    ended_at: float


class Drained(NamedTuple):
    """A VM's process that was asked to stop, and how it ended."""

    vm: str
    process_id: int
    asked_at: float
    exit_code: int


class RollTold(NamedTuple):
    """What an operator was told of an order to roll; ``seq`` is 0 on a refusal."""

    at: float
    digest: str
    expected: int
    seq: int
    output: str


class Records(NamedTuple):
    """Everything that the judges need.

    ``assigned`` maps a bundle's digest to its table: caller and alias to adapter
    and version. ``engines``, ``services`` and ``weights`` are the stand-ins' own
    records by name. ``unready`` says which VMs served nothing after all faults had
    ended, and why.
    """

    told: list[Told]
    statuses: list[SeenStatus]
    drained: list[Drained]
    hurt: list[Hurt]
    rolls: list[RollTold]
    assigned: dict[str, dict[tuple[str, str], tuple[str, str]]]
    engines: dict[str, dict[str, Any]]
    services: dict[str, dict[str, Any]]
    weights: dict[str, dict[str, Any]]
    doubt_s: float
    crash_prompts: list[str]
    unready: list[str]


def refused_for_certain(output: str) -> bool:
    """Whether an operator was told that an order was certainly not carried out."""
    return any(f"Error: {kind}:" in output for kind in _CERTAIN)
