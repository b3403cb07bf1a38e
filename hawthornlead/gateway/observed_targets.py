"""What one VM believes of one incarnation of a target, dropped whole with it.

What an engine holds, what it held lately and when it reads prompts is true of one start
only. It stands in one object, so that a restart can't leave a part of it behind.
"""

from ..messages.gateways import TargetHoldings
from .engine_slots import AdapterKey
from .recent_adapters import RecentAdapters
from .records import TargetEntry, held_version


class ObservedTarget:
    """What was told of one incarnation; ``since`` is when this VM first heard of it.

    ``owner`` and ``fence`` outlive an incarnation: the same VM orders the next one,
    under the same fence, and the words of an older owner count there no more either.

    ::

        beliefs = ObservedTarget(started_ms=1790000000000, since=timers.now())
        beliefs.apply("edge-1", holdings, timers.now())
        beliefs.held(entry, AdapterKey("m", "a3"))
    """

    def __init__(
        self, started_ms: int | None, since: float, owner: str = "", fence: int = 0
    ):
        self._told: TargetHoldings | None = None
        self._held: dict[AdapterKey, tuple[int, bool]] = {}
        # Until its owner tells, nothing was seen to leave it either.
        self._recent = RecentAdapters(limit=0)
        self.started_ms = started_ms
        self.since = since
        self.owner = owner
        self.fence = fence
        self.turn_at = 0.0

    @property
    def arriving(self) -> int:
        """How many adapters are on their way, as told."""
        return sum(not ready for _, ready in self._held.values())

    def apply(self, vm: str, told: TargetHoldings, now: float) -> None:
        """Take an owner's word; an older owner's counts no more."""
        number = self._told.number if self._told else -1
        if (told.fence, told.number) < (self.fence, number):
            return
        self._told = told
        self.owner = vm
        self.fence = told.fence
        self.turn_at = now + told.turn_s
        self._recent.set_limit(told.recently_kept)
        before = self._held
        held = told.adapters
        keys = map(AdapterKey, held.models, held.names)
        states = zip(held.versions, held.ready, strict=False)
        self._held = dict(zip(keys, states, strict=False))
        for key in before.keys() - self._held.keys():
            self._recent.add(key)

    def on_released(self, vm: str, fence: int) -> None:
        """Note that an owner gave the target back; its words of before count no more.

        In a large fleet they go through relays and may come after this one. A claim's
        fence is above that of any release, so that it isn't taken for one of them.
        """
        if self.owner == vm and self.fence == fence:
            self.owner = ""
            self.fence = fence + 1

    def holds_model(self, entry: TargetEntry, model: str) -> bool:
        """Whether the target holds a base model."""
        if self._told is not None:
            return model in self._told.models
        return any(held.name == model for held in entry.models)

    def held(self, entry: TargetEntry, key: AdapterKey) -> tuple[int, bool] | None:
        """Return an adapter's version, and whether it is ready; None if it isn't held.

        After a restart of all VMs the engines still hold what they held, while nobody
        has claimed them yet: until an owner tells, the target's own list counts. It
        may be old; then the target refuses unrun.
        """
        if self._told is not None:
            return self._held.get(key)
        version = held_version(entry.models, *key)
        return None if version is None else (version, True)

    def held_lately(self, key: AdapterKey) -> bool:
        """Whether the target held an adapter lately, which it loads faster then."""
        return key in self._recent

    def mark_absent(self, key: AdapterKey) -> None:
        """Note that the target refused a request for lack of its adapter."""
        self._held.pop(key, None)
