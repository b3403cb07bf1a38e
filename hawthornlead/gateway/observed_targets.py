"""The observed state of one incarnation of a target, discarded as a whole with it.

What an engine holds, what it held recently and when it reads prompts applies to one
incarnation only. One object holds all of it, so that a restart resets everything.
"""

from ..engine_speeds.engine_speeds import EngineSpeed, checked_speed
from ..messages.gateways import TargetHoldings
from .engine_slots import AdapterKey
from .recent_adapters import RecentAdapters
from .records import TargetEntry, held_version


class ObservedTarget:
    """What was reported of one incarnation; ``since`` is when this VM first saw it.

    ``owner`` and ``fence`` carry over to the next incarnation: the same VM orders it
    under the same fence, and reports of an older owner are ignored there too.

    ::

        observed = ObservedTarget(started_ms=1790000000000, since=timers.now())
        observed.apply("edge-1", holdings, timers.now())
        observed.held(entry, AdapterKey("m", "a3"))
    """

    def __init__(
        self, started_ms: int | None, since: float, owner: str = "", fence: int = 0
    ):
        self._holdings: TargetHoldings | None = None
        self._held: dict[AdapterKey, tuple[int, bool]] = {}
        # Nothing is known to have been evicted before the owner's first report.
        self._recent = RecentAdapters(limit=0)
        self.started_ms = started_ms
        self.since = since
        self.owner = owner
        self.fence = fence
        self.turn_at = 0.0
        self.speed = EngineSpeed()

    @property
    def arriving(self) -> int:
        """How many adapters are being fetched, as reported."""
        return sum(not ready for _, ready in self._held.values())

    def apply(self, vm: str, holdings: TargetHoldings, now: float) -> None:
        """Apply an owner's report; ignore it if it is older than the last one."""
        number = self._holdings.number if self._holdings else -1
        if (holdings.fence, holdings.number) < (self.fence, number):
            return
        self._holdings = holdings
        self.owner = vm
        self.fence = holdings.fence
        self.turn_at = now + holdings.turn_s
        self.speed = checked_speed(
            holdings.event_ms, holdings.full_event_ms, holdings.read_tokens_per_ms
        )
        self._recent.set_limit(holdings.recently_kept)
        before = self._held
        held = holdings.adapters
        keys = map(AdapterKey, held.models, held.names)
        states = zip(held.versions, held.ready, strict=False)
        self._held = dict(zip(keys, states, strict=False))
        for key in before.keys() - self._held.keys():
            self._recent.add(key)

    def on_released(self, vm: str, fence: int) -> None:
        """Clear the owner after its release, and ignore its earlier reports.

        In a large fleet reports go through relays and may arrive after the release. The
        next claim has a higher fence than any release, so its reports are accepted.
        """
        if self.owner == vm and self.fence == fence:
            self.owner = ""
            self.fence = fence + 1

    def holds_model(self, entry: TargetEntry, model: str) -> bool:
        """Whether the target holds a base model."""
        if self._holdings is not None:
            return model in self._holdings.models
        return any(held.name == model for held in entry.models)

    def held(self, entry: TargetEntry, key: AdapterKey) -> tuple[int, bool] | None:
        """Return an adapter's version, and whether it is ready; None if it isn't held.

        After a restart of all VMs the engines still hold their adapters but have no
        owner yet. Until an owner reports, the list in the target's entry counts. If
        that is out of date, the target refuses the request without running it.
        """
        if self._holdings is not None:
            return self._held.get(key)
        version = held_version(entry.models, *key)
        return None if version is None else (version, True)

    def held_recently(self, key: AdapterKey) -> bool:
        """Whether the target held an adapter recently and so loads it faster."""
        return key in self._recent

    def mark_refused(self, key: AdapterKey, arriving: bool) -> None:
        """Mark an adapter as absent, or as still arriving, after a refused request."""
        version, _ = self._held.pop(key, (0, False))
        if arriving and version:
            self._held[key] = version, False
