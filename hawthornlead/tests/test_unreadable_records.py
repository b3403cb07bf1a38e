"""Tests of objects that turn unreadable, watched in the store and told by relays."""

import asyncio
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventKind, EventRing
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.known_targets import KnownTargets, essence_of_entry
from hawthornlead.gateway.memberships import VMS_KIND, Memberships
from hawthornlead.gateway.records import VmRecord
from hawthornlead.gateway.store_clients import StoreClient
from hawthornlead.gateway.watch_relays import WatchRelays
from hawthornlead.gateway.watchers import KindWatcher
from hawthornlead.messages import Heartbeat
from hawthornlead.messages.gateways import RelayedRecord, RelayedRecords
from hawthornlead.platform.configurations import read_configuration
from hawthornlead.platform.objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
    VERSIONS_KIND,
)
from hawthornlead.timers import TimerService

from .bad_entries import bad_specs, good_spec, target_spec
from .fakes_mesh import LocalNetwork
from .gateways import MODEL
from .standins.platform_store import PlatformStore

LONGEST_S = 8.0
NAMES = ("n1", "n2", "n3")
BAD_BYTES = (
    b'"spec"',
    b'{"service": "llm\xff"}',
    b'{"slots": ' + b"9" * 5000 + b"}",
    b'{"slots": NaN}',
    b'{"x": ' + b"[" * 3000 + b"]" * 3000 + b"}",
)


class FollowingVm:
    """One VM's view of all kinds, kept as a gateway keeps it."""

    def __init__(self, network, timers, store, name):
        self.mesh = network.join(name)
        self.mesh.heartbeat_source = lambda: Heartbeat(0, 0, False, 0, 1, 0.0)
        self.events = EventRing(name, HybridClock(timers))
        self.metrics = GatewayMetrics(CollectorRegistry())
        self.client = StoreClient(address=store.address, timers=timers)
        self.memberships = Memberships(
            record=VmRecord(name, f"{name}-1", "gijon", "x:1", "x:2", False),
            client=self.client,
            mesh=self.mesh,
            timers=timers,
            rng=Random(1),
            events=self.events,
        )
        self.relays = WatchRelays(
            memberships=self.memberships, mesh=self.mesh, timers=timers
        )
        self.targets = KnownTargets(
            memberships=self.memberships, timers=timers, events=self.events
        )
        self.version = 0
        self.gone = []
        self.targets.subscribe(lambda incarnation, loss: self.gone.append(incarnation))
        common = {
            "client": self.client,
            "timers": timers,
            "rng": Random(1),
            "events": self.events,
            "relays": self.relays,
            "metrics": self.metrics,
        }
        self.watchers = {
            TARGETS_KIND: KindWatcher(
                TARGETS_KIND,
                **common,
                on_changed=self.targets.take_entry,
                on_deleted=self.targets.drop_entry,
                on_unreadable=self.targets.drop_unreadable,
                essence=essence_of_entry,
            ),
            VERSIONS_KIND: KindWatcher(
                VERSIONS_KIND,
                **common,
                on_changed=self.targets.take_version,
                on_deleted=self.targets.drop_version,
            ),
            CONFIGURATION_KIND: KindWatcher(
                CONFIGURATION_KIND,
                **common,
                on_changed=self._take_configuration,
                on_deleted=lambda name: None,
            ),
            VMS_KIND: KindWatcher(
                VMS_KIND,
                **common,
                on_changed=self.memberships.take,
                on_deleted=self.memberships.drop,
                on_unreadable=self.memberships.keep_unreadable,
            ),
        }
        self.targets.watcher = self.watchers[TARGETS_KIND]

    def start(self):
        """Begin to follow all kinds."""
        self.relays.start()
        for watcher in self.watchers.values():
            watcher.start()

    def stop(self):
        """End all that runs."""
        for watcher in self.watchers.values():
            watcher.stop()
        self.memberships.stop()
        self.client.close()

    def known(self) -> dict:
        """Return what this VM believes of all objects."""
        addresses = {e.target: e.address for e in self.targets.entries.values()}
        versions = {}
        for name in NAMES:
            version = self.targets.version((MODEL, name))
            if version:
                versions[name] = version
        vms = {}
        for name in NAMES:
            vm = self.memberships.record_of(name)
            if vm is not None:
                vms[name] = vm.incarnation
        return {
            TARGETS_KIND: addresses,
            VERSIONS_KIND: versions,
            CONFIGURATION_KIND: self.version,
            VMS_KIND: vms,
        }

    def unusable(self, kind: str) -> list[str]:
        """Name the objects of a kind that were told as unusable, once each time."""
        return [
            record.subject
            for record in self.events.newest()
            if record.number == EventKind.RECORD_UNUSABLE.number
            and record.subject.startswith(kind)
        ]

    def counted(self, kind: str) -> float:
        """Return how many objects of a kind were counted as unreadable."""
        return self.metrics.unreadable.labels(kind)._value.get()

    def _take_configuration(self, record):
        version = read_configuration(record).version
        self.version = max(self.version, version)


class Site:
    """A store, VMs that follow it, and what each of them must believe."""

    def __init__(self):
        self.timers = TimerService()
        self.network = LocalNetwork(self.timers)
        self.store = PlatformStore()
        self.store.start()
        self.vms = []
        self.expected = {
            TARGETS_KIND: {},
            VERSIONS_KIND: {},
            CONFIGURATION_KIND: 0,
            VMS_KIND: {},
        }
        self._number = 0

    def add(self, name):
        """Start one more VM."""
        vm = FollowingVm(self.network, self.timers, self.store, name)
        vm.start()
        self.vms.append(vm)
        return vm

    async def stop(self):
        """End everything."""
        for vm in self.vms:
            vm.stop()
        await self.store.stop()

    def write_good(self, kind, name):
        """Write a whole object, a newer one each time."""
        self._number += 1
        name = CONFIGURATION_NAME if kind == CONFIGURATION_KIND else name
        spec = good_spec(kind, name, self._number)
        self.store.write(kind, name, spec)
        if kind == TARGETS_KIND:
            self.expected[kind][name] = spec["address"]
        elif kind == VERSIONS_KIND:
            self.expected[kind][name] = self._number
        elif kind == CONFIGURATION_KIND:
            self.expected[kind] = self._number
        else:
            self.expected[kind][name] = spec["incarnation"]

    def write_bad(self, kind, name, spec):
        """Write what another writer may; only targets' entries end by it."""
        name = CONFIGURATION_NAME if kind == CONFIGURATION_KIND else name
        self.store.write(kind, name, spec)
        if kind == TARGETS_KIND:
            self.expected[kind].pop(name, None)

    def write_raw(self, kind, name, spec):
        """Write bytes in the place of an object's content."""
        name = CONFIGURATION_NAME if kind == CONFIGURATION_KIND else name
        head = b'{"metadata": {"name": "%s", "revision": REVISION}, "spec": '
        self.store.write_raw(kind, name, head % name.encode() + spec + b"}")
        if kind == TARGETS_KIND:
            self.expected[kind].pop(name, None)

    def remove(self, kind, name):
        """Remove an object; versions and the configuration stay in force."""
        if kind in (TARGETS_KIND, VMS_KIND):
            self.store.remove(kind, name)
            self.expected[kind].pop(name, None)

    async def agree(self):
        """Wait until each VM believes what it must."""
        await self.until(lambda: all(vm.known() == self.expected for vm in self.vms))

    async def until(self, condition):
        """Wait for a condition, which must come about."""
        end = asyncio.get_running_loop().time() + LONGEST_S
        while not condition():
            if asyncio.get_running_loop().time() > end:
                known = [vm.known() for vm in self.vms]
                pytest.fail(f"expected {self.expected}, known {known}")
            await asyncio.sleep(0.005)


@pytest.fixture
async def site():
    """A site without VMs yet."""
    running = Site()
    yield running
    await running.stop()


KINDS = (TARGETS_KIND, VERSIONS_KIND, CONFIGURATION_KIND, VMS_KIND)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("bad", ["a text", ["a list"], {"service": 5}, {"x": "\ud800"}])
async def test_the_watch_goes_on_after_an_unreadable_object(site, kind, bad):
    """A VM hears of no change any more: of no target, no version, no configuration.

    One object of the kind was written by another writer and could not be decoded; the
    error ended the task that watches the kind, and nothing was logged.
    """
    vm = site.add("a")
    site.write_good(kind, "n1")
    await site.agree()
    site.write_bad(kind, "n1", bad)
    site.write_good(kind, "n2")
    await site.agree()
    site.write_good(kind, "n1")
    await site.agree()
    assert len(vm.unusable(kind)) == vm.counted(kind) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("raw", BAD_BYTES, ids=lambda raw: repr(raw[:20]))
async def test_a_listing_holds_beside_an_unreadable_object(site, kind, raw):
    """A VM that starts learns nothing of a kind, for as long as one object is spoilt.

    The page of the listing that held the object was refused as a whole.
    """
    site.write_raw(kind, "n1", raw)
    if kind != CONFIGURATION_KIND:
        site.write_bad(kind, "n2", {"service": 5})
        site.write_good(kind, "n3")
    vm = site.add("a")
    await site.until(lambda: vm.watchers[kind].listed)
    await site.agree()
    site.write_good(kind, "n1")
    await site.agree()


async def test_an_entry_that_turns_unreadable_names_no_engine_at_once(site):
    """Requests are sent to an engine whose entry another writer has overwritten.

    What was known of the entry before stayed in force. Nor is it kept as one that
    lapsed while the store was away, for some seconds after the store is back.
    """
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    site.write_good(TARGETS_KIND, "n2")
    await site.agree()
    watcher = vm.watchers[TARGETS_KIND]
    site.store.fault = "busy"
    site.store.forget_history()
    await site.until(lambda: not watcher.answering)
    site.store.fault = ""
    site.write_bad(TARGETS_KIND, "n1", target_spec(state="gone"))
    await site.until(lambda: watcher.answering and watcher._current)
    assert vm.known() == site.expected
    assert [incarnation.target for incarnation in vm.gone] == ["n1"]


async def test_an_unreadable_entry_that_lapsed_does_not_come_back(site):
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    vm.targets._missing["n1"] = site.timers.now() + 60
    site.write_bad(TARGETS_KIND, "n1", "x")
    await site.agree()
    assert not vm.targets._missing


async def test_a_writer_that_goes_on_is_told_once(site):
    """An operator's disk fills with lines of one entry that changes all the time."""
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    for number in range(30):
        site.write_bad(TARGETS_KIND, "n1", target_spec(seq=number, state="odd"))
        site.write_bad(TARGETS_KIND, "n2", {"seq": number})
        await asyncio.sleep(0.002)
    site.write_good(TARGETS_KIND, "n3")
    await site.agree()
    assert sorted(vm.unusable(TARGETS_KIND)) == ["servers/n1", "servers/n2"]
    assert vm.counted(TARGETS_KIND) == 2
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    site.write_bad(TARGETS_KIND, "n1", "x")
    await site.agree()
    assert vm.counted(TARGETS_KIND) == 3


async def test_an_older_readable_entry_never_wins(site):
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    watcher = vm.watchers[TARGETS_KIND]
    good = watcher._records["n1"]
    site.write_bad(TARGETS_KIND, "n1", 7)
    await site.agree()
    watcher._take(good)
    watcher._take_told(good, "n1", good.revision)
    assert not vm.targets.entries


async def test_an_object_without_a_name_is_told_once(site):
    vm = site.add("a")
    for number in range(3):
        raw = b'{"metadata": {"name": "\xff%d", "revision": REVISION}}' % number
        site.store.write_raw(TARGETS_KIND, "n1", raw)
        site.write_good(TARGETS_KIND, "n2")
        await site.agree()
    site.store.forget_history()
    site.write_good(TARGETS_KIND, "n3")
    await site.agree()
    assert vm.unusable(TARGETS_KIND) == [TARGETS_KIND]
    assert vm.counted(TARGETS_KIND) == 1


async def test_a_page_without_a_name_to_go_on_from_removes_nobody(site):
    """All engines after a page of spoilt names were taken as gone.

    The page was taken for the last one, and the listing for whole.
    """
    vm = site.add("a")
    for name in ("n1", "n2", "n3"):
        site.write_good(TARGETS_KIND, name)
    await site.agree()
    for name in ("n1", "n2"):
        site.store.write_raw(TARGETS_KIND, name, b'{"metadata": 7}')
    site.store.forget_history()
    listed = await vm.client.list_all(TARGETS_KIND)
    assert listed.is_err()
    await asyncio.sleep(0.5)
    assert "n3" in vm.targets.entries


async def test_vms_that_are_told_see_the_same(site):
    """Some VMs go on sending to an engine that the others left at once.

    They don't watch the store themselves but are told by relays; what a relay could
    not read it passed on to nobody, or it ended the task of who heard it.
    """
    site.write_good(TARGETS_KIND, "n1")
    for name in "abcd":
        site.add(name)
    await site.agree()
    told = [vm for vm in site.vms if not vm.relays.is_relay]
    assert len(told) == 2
    for kind in KINDS:
        await site.until(lambda k=kind: all(vm.relays.vouched(k) for vm in told))
        await site.until(lambda k=kind: not any(vm.watchers[k]._current for vm in told))
    calls = len(site.store.calls)
    for bad in ("x", {"service": 5}, target_spec(state="odd")):
        site.write_bad(TARGETS_KIND, "n1", bad)
        site.write_good(VERSIONS_KIND, "n1")
        site.write_bad(VERSIONS_KIND, "n1", bad)
        await site.agree()
        site.write_good(TARGETS_KIND, "n1")
        site.write_good(VERSIONS_KIND, "n1")
        await site.agree()
    for vm in site.vms:
        assert vm.counted(TARGETS_KIND) == vm.counted(VERSIONS_KIND) == 3
    # The told ones learned it from relays and not by calls of their own: two relays
    # watch two kinds, and each answer ends one call.
    assert len(site.store.calls) - calls <= 2 * 2 * 12


async def test_what_a_relay_tells_and_nobody_can_read(site):
    """A VM's handler fails, and the changes told beside the bad one are lost."""
    a, b = site.add("a"), site.add("b")
    await site.agree()
    sender = b.mesh.myself
    for body in ("{", "7", "null", '"ab"', "[1, 2, 3]", '{"a": 1}', "[" * 5000):
        records = (
            RelayedRecord("n1", 50, body),
            RelayedRecord("n2", 51, '[{"x": 1}, null]'),
            RelayedRecord("", 52, "[null, null]"),
            RelayedRecord("n3", 53, f'[{{"model": "{MODEL}"}}, 5]'),
        )
        await a.relays._on_records(sender, RelayedRecords(TARGETS_KIND, 0, records))
    assert not a.targets.entries
    assert a.counted(TARGETS_KIND) == 4


async def test_an_unreadable_vm_is_known_while_it_is_heard_and_mends_its_object(site):
    """The VMs part from one another, and callers are sent to one VM only.

    Another writer spoilt their objects; what each VM knew of the others was dropped.
    A VM that started later never learned of those whose objects stayed spoilt.
    """
    a, b = site.add("a"), site.add("b")
    for vm in (a, b):
        vm.memberships.note_serving(True)
        vm.memberships.start()
        vm.memberships._mesh.heartbeat_changed()
    await site.until(lambda: a.memberships.record_of("b") is not None)
    good = site.store.spec(VMS_KIND, "b")
    site.store.write(VMS_KIND, "b", "spoilt")
    await site.until(lambda: a.counted(VMS_KIND) == 1)
    assert a.memberships.record_of("b").vm == "b"
    await site.until(lambda: site.store.spec(VMS_KIND, "b") == good)
    c = site.add("c")
    await site.until(lambda: c.memberships.record_of("b") is not None)
    # An object of one VM that names another one puts no other in its place.
    site.store.write(VMS_KIND, "z", good | {"caller_address": "10.9.9.9:1"})
    await site.until(lambda: a.counted(VMS_KIND) == 2)
    assert a.memberships.record_of("b").caller_address == good["caller_address"]


# At random

STEPS = st.one_of(
    st.tuples(st.just("good"), st.sampled_from(KINDS), st.sampled_from(NAMES)),
    st.tuples(st.just("gone"), st.sampled_from(KINDS), st.sampled_from(NAMES)),
    st.tuples(
        st.just("raw"),
        st.sampled_from(KINDS),
        st.sampled_from(NAMES),
        st.sampled_from(BAD_BYTES),
    ),
    st.sampled_from(KINDS).flatmap(
        lambda kind: st.sampled_from(NAMES).flatmap(
            lambda name: st.tuples(
                st.just("bad"), st.just(kind), st.just(name), bad_specs(kind, name)
            )
        )
    ),
    st.tuples(st.just("settle")),
    st.tuples(st.just("forget")),
)


@pytest.fixture(scope="module")
def running_site():
    """A site of four VMs, two of which are told by relays, and its event loop."""
    with asyncio.Runner() as runner:
        site = runner.run(_start_site())
        yield runner, site
        runner.run(site.stop())


async def _start_site():
    site = Site()
    for name in "abcd":
        site.add(name)
    told = [vm for vm in site.vms if not vm.relays.is_relay]
    for kind in KINDS:
        await site.until(lambda k=kind: all(vm.relays.vouched(k) for vm in told))
    return site


async def _play(site, steps):
    for kind in KINDS:
        for name in NAMES:
            site.write_good(kind, name)
    await site.agree()
    for what, *step in steps:
        if what in ("bad", "raw") and step[0] != TARGETS_KIND:
            # What nobody saw before it was spoilt can't stay in force.
            await site.agree()
        if what == "settle":
            await site.agree()
        elif what == "forget":
            site.store.forget_history()
        elif what == "good":
            site.write_good(*step)
        elif what == "gone":
            site.remove(*step)
        elif what == "raw":
            site.write_raw(*step)
        else:
            site.write_bad(*step)
    await site.agree()


@settings(derandomize=True, max_examples=30, deadline=None)
@given(steps=st.lists(STEPS, max_size=12))
@example(steps=[("bad", kind, "n1", "x") for kind in KINDS])
@example(steps=[("bad", kind, "n1", {"models": "x"}) for kind in KINDS])
@example(steps=[("raw", kind, "n1", BAD_BYTES[1]) for kind in KINDS])
@example(steps=[("raw", kind, "n1", BAD_BYTES[2]) for kind in KINDS])
@example(steps=[("raw", kind, "n1", BAD_BYTES[4]) for kind in KINDS])
@example(
    steps=[
        ("bad", TARGETS_KIND, "n2", target_spec(state="odd")),
        ("forget",),
        ("settle",),
        ("good", TARGETS_KIND, "n2"),
        ("bad", TARGETS_KIND, "n2", target_spec(slots=True)),
        ("good", TARGETS_KIND, "n2"),
    ]
)
def test_all_vms_believe_the_same_whatever_others_write(running_site, steps):
    runner, site = running_site
    runner.run(_play(site, steps))
