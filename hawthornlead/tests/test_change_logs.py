"""A state machine of relays that pass changes on, and of who is told out of order."""

from typing import NamedTuple

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hawthornlead.clocks import HybridClock
from hawthornlead.eras.dated_revisions import (
    dated_revision,
    era_of,
    stored_revision,
)
from hawthornlead.events import EventRing
from hawthornlead.gateway import change_logs
from hawthornlead.gateway.change_logs import ChangeBatch, ChangeLog
from hawthornlead.gateway.kind_records import NO_REVISION, KindRecords
from hawthornlead.gateway.records import StoredRecord, StoreEvent
from hawthornlead.timers import ManualTimerService

VMS = 3
NAMES = ("a", "b")
VALUES = 2
RUN = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
# Which of many ways leads to a fault doesn't matter, so none is made shorter.
SEARCH = settings(RUN, max_examples=2000, phases=[Phase.generate])

vms = st.integers(0, VMS - 1)
names = st.sampled_from(NAMES)
values = st.integers(0, VALUES - 1)
positions = st.integers(0, 20)


class Change(NamedTuple):
    """One change of the store; no value if the object was removed."""

    revision: int
    name: str
    value: int | None

    @property
    def event(self) -> StoreEvent:
        """The change as a watch tells it."""
        record = StoredRecord(self.name, self.revision, {"n": self.value}, None)
        return StoreEvent(record, self.value is None)


class Vm:
    """What one VM knows, and what is on its way to it."""

    def __init__(self, events: EventRing):
        self.known = KindRecords(
            "things",
            events=events,
            on_changed=lambda record: None,
            on_deleted=lambda name: None,
            effective_content=lambda record: record.spec["n"],
        )
        self.chain: ChangeLog | None = None
        self.inbox: list[ChangeBatch] = []


class Spreading(RuleBasedStateMachine):
    """A store, VMs of which any may be a relay, and messages lost or out of order."""

    def __init__(self):
        super().__init__()
        self.history: list[Change] = [Change(1, "a", 0)]
        events = EventRing("vm", HybridClock(ManualTimerService()))
        events.write = lambda line: None
        self.vms = [Vm(events) for _ in range(VMS)]
        for vm in self.vms:
            vm.known.apply_listing(1, self.at(1).values())
        for vm in self.vms[:2]:
            vm.chain = ChangeLog(vm.known)

    @property
    def revision(self) -> int:
        """The store's revision."""
        return self.history[-1].revision

    def at(self, revision: int) -> dict[str, StoredRecord]:
        """Return all objects as they were at a revision."""
        found = {}
        for change in self.history:
            if change.revision > revision:
                break
            found[change.name] = change
        return {
            name: change.event.record
            for name, change in found.items()
            if change.value is not None
        }

    def after(self, revision: int) -> tuple[StoreEvent, ...]:
        """Return all changes after a revision."""
        return tuple([each.event for each in self.history if each.revision > revision])

    def tell(self, sender: Vm, link: ChangeBatch | None) -> None:
        """Send something to all other VMs."""
        for vm in self.vms if link is not None else ():
            if vm is not sender:
                vm.inbox.append(link)

    @rule(name=names, value=values)
    def write(self, name, value):
        self.history.append(Change(self.revision + 1, name, value))

    @rule(name=names)
    def remove(self, name):
        if name in self.at(self.revision):
            self.history.append(Change(self.revision + 1, name, None))

    @rule(number=vms)
    def list_kind(self, number):
        vm = self.vms[number]
        records = tuple(self.at(self.revision).values())
        vm.known.apply_listing(self.revision, records)
        if vm.chain is not None:
            self.tell(vm, vm.chain.listed(self.revision, records))

    @rule(number=vms)
    def watch(self, number):
        vm = self.vms[number]
        if vm.known.until == NO_REVISION:
            return
        since = vm.chain.until if vm.chain is not None else vm.known.until
        events = self.after(since)
        vm.known.apply_changes(since, self.revision, events)
        if vm.chain is not None:
            self.tell(vm, vm.chain.watched(since, self.revision, events))

    @rule(number=vms)
    def begin_to_relay(self, number):
        vm = self.vms[number]
        if vm.chain is None and vm.known.until != NO_REVISION:
            vm.chain = ChangeLog(vm.known)

    @rule(number=vms)
    def end_to_relay(self, number):
        self.vms[number].chain = None

    @rule(number=vms)
    def tell_word(self, number):
        chain = self.vms[number].chain
        if chain is not None:
            self.tell(self.vms[number], ChangeBatch(chain.since, chain.until, ()))

    @rule(number=vms, position=positions)
    def deliver(self, number, position):
        vm = self.vms[number]
        if vm.inbox:
            link = vm.inbox.pop(position % len(vm.inbox))
            vm.known.apply_changes(*link)

    @rule(number=vms, position=positions)
    def lose(self, number, position):
        inbox = self.vms[number].inbox
        if inbox:
            inbox.pop(position % len(inbox))

    @rule(number=vms, other=vms)
    def fetch(self, number, other):
        known, told = self.vms[number].known, self.vms[other].known
        since = known.until
        if told.until > since:
            events = tuple(
                [
                    StoreEvent(record, False)
                    for record in told.records.values()
                    if record.revision > since
                ]
            )
            known.apply_changes(since, told.until, events, tuple(told.records))

    @invariant()
    def nobody_lacks_a_change_of_before_its_revision(self):
        for vm in self.vms:
            for name in NAMES:
                record = vm.known.records.get(name)
                value = record.spec["n"] if record is not None else None
                assert value in self.possible(name, vm.known.until)

    def possible(self, name: str, until: int) -> set[int | None]:
        """Return what may be known of an object by who knows all up to a revision."""
        known = None
        later = set()
        for change in self.history:
            if change.name != name:
                continue
            if change.revision <= until:
                known = change.value
            else:
                later.add(change.value)
        return {known, *later}


class SpreadingOverEras(Spreading):
    """A store that also comes back from copies, and gives revisions out again."""

    def __init__(self):
        super().__init__()
        self.past: list[list[Change]] = []

    @rule(position=positions)
    def go_back(self, position):
        kept = self.history[: 1 + position % len(self.history)]
        era = era_of(self.revision) + 1
        self.past.append(self.history)
        self.history = []
        for change in kept:
            revision = dated_revision(era, stored_revision(change.revision))
            self.history.append(change._replace(revision=revision))

    @rule(number=vms)
    def watch(self, number):
        vm = self.vms[number]
        since = vm.chain.until if vm.chain is not None else vm.known.until
        if era_of(since) == era_of(self.revision):
            super().watch(number)

    def possible(self, name: str, until: int) -> set[int | None]:
        """Return what may be known by who knows all up to a revision of some era."""
        eras = [*self.past, self.history]
        history = self.history
        found = set()
        for self.history in eras[era_of(until) :]:
            found |= super().possible(name, until)
        self.history = history
        return found


def test_who_knows_all_up_to_a_revision_lacks_no_change_of_its_era():
    """Guards against changes that are missed or undone as the store goes back."""
    run_state_machine_as_test(SpreadingOverEras, settings=RUN)


def test_a_long_listing_of_a_new_era_leaves_out_only_what_all_know(monkeypatch):
    """Guards against changes of a former era that stay where one VM alone knew them."""
    monkeypatch.setattr(change_logs, "MAX_WHOLE_LISTING", -1)
    run_state_machine_as_test(SpreadingOverEras, settings=RUN)


class WatchingOverEras(SpreadingOverEras):
    """A mutation: a watch goes on at the same number, whatever era it is of."""

    @rule(number=vms)
    def watch(self, number):
        vm = self.vms[number]
        since = vm.chain.until if vm.chain is not None else vm.known.until
        number_now = dated_revision(era_of(self.revision), stored_revision(since))
        vm.known.apply_changes(since, self.revision, self.after(number_now))


def test_the_state_machine_finds_a_watch_that_goes_on_in_another_era():
    """Guards against a state machine that could not fail."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(WatchingOverEras, settings=SEARCH)


def test_who_knows_all_up_to_a_revision_lacks_no_change_of_before():
    """Guards against changes that are missed, lost or undone on their way."""
    run_state_machine_as_test(Spreading, settings=RUN)


_apply_changes = KindRecords.apply_changes
_is_effective = ChangeLog._is_effective
_listed = ChangeLog.listed


def _passes_on_what_is_new_to_itself(monkeypatch):
    def is_news(self, event):
        known = event.record.revision <= self._known.until
        return _is_effective(self, event) and not known

    monkeypatch.setattr(ChangeLog, "_is_effective", is_news)


def _lists_without_names(monkeypatch):
    def listed(self, until, records):
        link = _listed(self, until, records)
        return link and link._replace(names=None)

    monkeypatch.setattr(ChangeLog, "listed", listed)


def _compares_with_long_ago(monkeypatch):
    def listed(self, until, records):
        link = _listed(self, until, records)
        return link and link._replace(compared_at=None)

    monkeypatch.setattr(ChangeLog, "listed", listed)


def _closes_gaps(monkeypatch):
    def apply_changes(self, since, until, *told):
        return _apply_changes(self, min(since, self.until), until, *told)

    monkeypatch.setattr(KindRecords, "apply_changes", apply_changes)


def _takes_old_changes(monkeypatch):
    def apply_changes(self, since, until, changes, *told):
        for event in changes:
            self._apply(event)
        return _apply_changes(self, since, until, changes, *told)

    monkeypatch.setattr(KindRecords, "apply_changes", apply_changes)


MUTATIONS = (
    _passes_on_what_is_new_to_itself,
    _lists_without_names,
    _compares_with_long_ago,
    _closes_gaps,
    _takes_old_changes,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__[1:])
def test_the_state_machine_finds_each_mutation(mutate, monkeypatch):
    """Guards against a state machine that could not fail."""
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Spreading, settings=SEARCH)


def test_a_lost_version_that_is_written_again_is_forwarded():
    """Guards against VMs that listed a copy, whose relay knew the version before."""
    events = EventRing("vm", HybridClock(ManualTimerService()))
    known = KindRecords(
        "things",
        events=events,
        on_changed=lambda record: None,
        on_deleted=lambda name: None,
        effective_content=lambda record: record.spec["n"],
        version_of=lambda record: record.spec["n"],
    )
    lost = StoredRecord("a", dated_revision(1, 9), {"n": 4}, None)
    copied = StoredRecord("a", dated_revision(2, 5), {"n": 3}, None)
    known.apply_listing(dated_revision(1, 9), [lost])
    known.apply_listing(dated_revision(2, 5), [copied])
    log = ChangeLog(known)
    again = StoreEvent(lost._replace(revision=dated_revision(2, 6)), False)
    batch = log.watched(dated_revision(2, 5), dated_revision(2, 6), [again])
    assert batch is not None and batch.events == (again,)
