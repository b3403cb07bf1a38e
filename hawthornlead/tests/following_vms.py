"""VMs of one test that follow all kinds of the store's objects, as gateways do.

::

    site = Site()
    site.add("a")
    site.write_bad("servers", "n1", "spoilt")
    await site.agree()
"""

import asyncio
from random import Random

import pytest
from prometheus_client import CollectorRegistry

from hawthornlead.clocks import HybridClock
from hawthornlead.eras.followed_targets import FollowedTargets
from hawthornlead.events import EventKind, EventRing
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.memberships import Memberships
from hawthornlead.gateway.records import VmRecord
from hawthornlead.gateway.store_clients import StoreClient
from hawthornlead.gateway.store_retries import StoreRetries
from hawthornlead.gateway.target_entries import effective_entry
from hawthornlead.gateway.target_tables import TargetTable
from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.gateway.watch_relays import WatchRelays
from hawthornlead.gateway.watchers import KindWatcher
from hawthornlead.messages import Heartbeat
from hawthornlead.platform.configurations import (
    read_adapter_version,
    read_configuration,
)
from hawthornlead.platform.objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
    VERSIONS_KIND,
)
from hawthornlead.platform.targets import read_target
from hawthornlead.timers import TimerService

from .bad_entries import good_spec
from .fakes_clocks import PlayedTimers
from .fakes_mesh import LocalNetwork
from .fakes_played_stores import PlayedClient, PlayedStore
from .gateways import MODEL
from .standins.platform_store import PlatformStore

KINDS = (TARGETS_KIND, VERSIONS_KIND, CONFIGURATION_KIND, VMS_KIND)
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

    def __init__(self, network, timers, client, name, **settings):
        self.mesh = network.join(name)
        self.mesh.heartbeat_source = lambda: Heartbeat(0, 0, False, 0, 1, 0.0)
        self.events = EventRing(name, HybridClock(timers))
        self.metrics = GatewayMetrics(CollectorRegistry())
        self.client = client
        self.memberships = Memberships(
            record=VmRecord(name, f"{name}-1", "gijon", "x:1", "x:2", False),
            client=self.client,
            mesh=self.mesh,
            timers=timers,
            rng=Random(1),
            events=self.events,
        )
        self.relays = WatchRelays(
            memberships=self.memberships,
            mesh=self.mesh,
            timers=timers,
            client=self.client,
            events=self.events,
        )
        self.targets = TargetTable(
            memberships=self.memberships, timers=timers, events=self.events
        )
        self.followed = FollowedTargets(
            entries=self.targets.entries,
            apply=self.targets.apply_entry,
            remove=self.targets.remove_entry,
            read=read_target,
            now=timers.now,
        )
        self.version = 0
        self.versions = []
        self.gone = []
        self.targets.subscribe(lambda incarnation, loss: self.gone.append(incarnation))
        common = {
            "client": self.client,
            "timers": timers,
            "rng": Random(1),
            "events": self.events,
            "relays": self.relays,
            "retries": StoreRetries(timers),
            "metrics": self.metrics,
            **settings,
        }
        self.watchers = {
            TARGETS_KIND: KindWatcher(
                TARGETS_KIND,
                **common,
                on_changed=self.followed.apply_entry,
                on_deleted=self.followed.remove_entry,
                on_unreadable=self.targets.remove_unreadable,
                effective_content=effective_entry,
            ),
            VERSIONS_KIND: KindWatcher(
                VERSIONS_KIND,
                **common,
                on_changed=self.targets.apply_version,
                on_deleted=self.targets.keep_version,
                version_of=lambda record: read_adapter_version(record).version,
            ),
            CONFIGURATION_KIND: KindWatcher(
                CONFIGURATION_KIND,
                **common,
                on_changed=self._take_configuration,
                on_deleted=lambda name: None,
                version_of=lambda record: read_configuration(record).version,
            ),
            VMS_KIND: KindWatcher(
                VMS_KIND,
                **common,
                on_changed=self.memberships.apply_record,
                on_deleted=self.memberships.remove,
                on_unreadable=self.memberships.on_unreadable_record,
            ),
        }
        self.targets.watcher = self.watchers[TARGETS_KIND]
        self.followed.watcher = self.watchers[TARGETS_KIND]

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
        self.versions.append(version)
        self.version = max(self.version, version)


class Site:
    """A store, VMs that follow it, and what each of them must believe."""

    def __init__(self):
        self.timers = self._make_timers()
        self.network = LocalNetwork(self.timers)
        self.store = self._make_store()
        self.vms = []
        self.expected = {
            TARGETS_KIND: {},
            VERSIONS_KIND: {},
            CONFIGURATION_KIND: 0,
            VMS_KIND: {},
        }
        self._number = 0

    def add(self, name, **settings):
        """Start one more VM, with further settings of its watchers."""
        client = self._make_client(name)
        vm = FollowingVm(self.network, self.timers, client, name, **settings)
        vm.start()
        self.vms.append(vm)
        return vm

    async def stop(self):
        """End everything."""
        for vm in self.vms:
            vm.stop()
            vm.client.close()
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
        """Wait until each VM knows the expected objects."""
        await self.until(lambda: all(vm.known() == self.expected for vm in self.vms))

    async def told(self) -> list[FollowingVm]:
        """Return the VMs that receive changes, once there are two relays.

        Each VM checks several times a second whether it is a relay.
        """
        await self.until(lambda: sum(vm.relays.is_relay for vm in self.vms) == 2)
        return [vm for vm in self.vms if not vm.relays.is_relay]

    def is_settled(self) -> bool:
        """Whether two VMs are relays, and tell all others of each kind.

        More of them step in while this process stands still, and step back after it.
        """
        told = [vm for vm in self.vms if not vm.relays.is_relay]
        if len(self.vms) - len(told) != 2:
            return False
        return all(vm.relays.is_relayed(kind) for vm in told for kind in KINDS)

    async def until(self, condition):
        """Wait for a condition, which must come about."""
        end = asyncio.get_running_loop().time() + LONGEST_S
        while not condition():
            if asyncio.get_running_loop().time() > end:
                known = [vm.known() for vm in self.vms]
                pytest.fail(f"expected {self.expected}, known {known}")
            await asyncio.sleep(0.005)

    def _make_timers(self) -> TimerService:
        return TimerService()

    def _make_store(self) -> PlatformStore:
        store = PlatformStore()
        store.start()
        return store

    def _make_client(self, name: str) -> StoreClient:
        return StoreClient(address=self.store.address, timers=self.timers)


class PlayedSite(Site):
    """A site on a played clock, which no stall of the test's process disturbs.

    The store and its clients are played too; all else is as in ``Site``::

        run_played(play_of(PlayedSite()))
    """

    async def stop(self):
        """End everything."""
        for vm in self.vms:
            vm.stop()
        self.timers.stop()

    def _make_timers(self) -> PlayedTimers:
        return PlayedTimers()

    def _make_store(self) -> PlayedStore:
        return PlayedStore()

    def _make_client(self, name: str) -> PlayedClient:
        return PlayedClient(name, self.store, self.timers, Random(name))


async def relayed_site(kind: type[Site] = Site) -> Site:
    """Return a site of four VMs, of which two are told everything by the others."""
    site = kind()
    for name in "abcd":
        site.add(name)
    await site.until(site.is_settled)
    return site
