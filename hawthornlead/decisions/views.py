"""Views of all targets, built from the VM list and the states that owners announce.

A view is only used for choosing. It lags, and no invariant depends on it: the right to
run is a grant, issued by the target's owner.
"""

from typing import NamedTuple

from ..events import EventKind, EventRing
from ..messages import TargetState
from ..timers import TimerService

# Owners change without a call to this module, so the views are rebuilt at least this
# often.
VIEW_MAX_AGE_S = 0.25


def target_resource(target: str) -> str:
    """Return the name of the resource that a target's owner owns."""
    return f"target:{target}"


class _Version(NamedTuple):
    fence: int
    serial: int


class TargetView(NamedTuple):
    """What this VM knows of one target.

    ``owner_vm`` is empty while nobody owns it. ``state`` is None until its owner has
    announced it, at ``last_seen_at`` on the timer service's clock (0 if never).
    """

    target: str
    address: str
    data_centre: str
    base_models: tuple[str, ...]
    owner_vm: str
    state: TargetState | None
    last_seen_at: float
    leaving: bool
    slots: int = 0
    max_running: int = 0
    fencing: bool = False
    weight_store: str = ""


class TargetViews:
    """The views of all targets of the VM list."""

    def __init__(self, *, timers: TimerService, events: EventRing, vm_list, owners):
        self._timers = timers
        self._events = events
        self._vm_list = vm_list
        self._owners = owners
        self._states: dict[str, TargetState] = {}
        self._last_seen_at: dict[str, float] = {}
        self._entries: dict = {}
        self._views: dict[str, TargetView] = {}
        self._all: tuple[TargetView, ...] | None = None
        self._built_at: float | None = None
        self._known: set[str] = set()

    def start(self, mesh) -> None:
        """Listen to owners over ``mesh`` and to the VM list."""
        mesh.on(TargetState, self._on_target_state)
        self._vm_list.subscribe(self._on_vm_list)

    async def stop(self) -> None:
        """Do nothing; the mesh and the VM list stop their own tasks."""

    def views(self) -> tuple[TargetView, ...]:
        """Return the views of all targets, in the order of the VM list."""
        self._refresh()
        if self._all is None:
            self._all = tuple(self._views.values())
        return self._all

    def view(self, target: str) -> TargetView | None:
        """Return the view of one target, or None if the VM list lacks it."""
        self._refresh()
        return self._views.get(target)

    def apply_state(self, state: TargetState) -> bool:
        """Apply the state that an owner announces; return whether it is newer.

        The newest fence wins, then the newest serial, so that a late message of a
        superseded owner doesn't replace its successor's state.
        """
        known = self._states.get(state.target)
        if known is not None and _version_of(state) < _version_of(known):
            return False
        self._states[state.target] = state
        self._last_seen_at[state.target] = self._timers.now()
        # Only this target's view is rebuilt: with hundreds of targets, states arrive
        # faster than all views could be rebuilt.
        entry = self._entries.get(state.target)
        if entry is not None:
            self._views[state.target] = self._build(entry)
            self._all = None
        return True

    async def _on_target_state(self, sender, state: TargetState) -> None:
        self.apply_state(state)

    def _on_vm_list(self, *_unused) -> None:
        self._built_at = None

    def _refresh(self) -> None:
        now = self._timers.now()
        if self._built_at is not None and now - self._built_at < VIEW_MAX_AGE_S:
            return
        self._built_at = now
        self._entries = {entry.name: entry for entry in self._vm_list.engines()}
        self._views = {
            name: self._build(entry) for name, entry in self._entries.items()
        }
        self._all = None
        self._update_known()

    def _build(self, entry) -> TargetView:
        attributes = entry.attributes
        owner = self._owners.owner_of(target_resource(entry.name))
        state = self._states.get(entry.name)
        leaving = entry.state == "leaving" or (state is not None and state.leaving)
        return TargetView(
            target=entry.name,
            address=entry.address,
            data_centre=entry.data_centre,
            base_models=tuple(attributes.get("base_models", ())),
            owner_vm=owner.vm if owner is not None else "",
            state=state,
            last_seen_at=self._last_seen_at.get(entry.name, 0.0),
            leaving=leaving,
            slots=int(attributes.get("slots", 0)),
            max_running=int(attributes.get("max_running", 0)),
            fencing=bool(attributes.get("fencing", False)),
            weight_store=str(attributes.get("weight_store", "")),
        )

    def _update_known(self) -> None:
        for target in self._views.keys() - self._known:
            view = self._views[target]
            self._events.emit(
                EventKind.TARGET_SEEN,
                target,
                address=view.address,
                fencing=view.fencing,
            )
        for target in self._known - self._views.keys():
            self._states.pop(target, None)
            self._last_seen_at.pop(target, None)
        self._known = set(self._views)


def _version_of(state: TargetState) -> _Version:
    return _Version(state.fence, state.serial)
