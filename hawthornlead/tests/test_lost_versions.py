"""Tests of versions that the store has lost, at VMs that listed its older copy."""

from collections.abc import Awaitable, Callable

from hawthornlead.clocks import HybridClock
from hawthornlead.eras.dated_revisions import dated_revision
from hawthornlead.events import EventRing
from hawthornlead.gateway.kind_records import KindRecords
from hawthornlead.gateway.records import StoredRecord
from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.gateway.watchers import LOST_VERSIONS_WAIT_S, REGISTRATIONS_WAIT_S
from hawthornlead.platform.objects import CONFIGURATION_KIND, CONFIGURATION_NAME
from hawthornlead.timers import ManualTimerService

from .bad_entries import good_spec
from .fakes_clocks import run_played
from .following_vms import KINDS, NAMES, FollowingVm, PlayedSite, relayed_site

LISTED_S = 0.1
HEARTBEATS_S = 4.0


class Unsettled:
    """The settlement of an era that has just begun."""

    async def ensure(self) -> bool:
        """Whether the era is settled."""
        return False


def play(test: Callable[[PlayedSite], Awaitable[None]]) -> None:
    """Run a test on a site whose store has lost the configuration in force."""

    async def run():
        site = await relayed_site(PlayedSite)
        for kind in KINDS:
            for name in NAMES:
                site.write_good(kind, name)
        await site.agree()
        taken = site.store.copy()
        site.write_good(CONFIGURATION_KIND, CONFIGURATION_NAME)
        await site.agree()
        site.store.restore(taken)
        for vm in site.vms:
            known = vm.watchers[CONFIGURATION_KIND]._known
            await site.until(lambda known=known: known.is_restored(known.until))
        await test(site)
        await site.stop()

    run_played(run())


def configured(site: PlayedSite) -> int:
    """Return the version that all VMs had in force before the store went back."""
    return site.expected[CONFIGURATION_KIND]


async def register_all(site: PlayedSite) -> None:
    """Let all VMs register in the store."""
    for vm in site.vms:
        vm.memberships.start()
    names = {vm.memberships.vm for vm in site.vms}

    def registered() -> set[str]:
        return {record.name for record in site.store.records(VMS_KIND)}

    await site.until(lambda: names <= registered())


def cut_off(site: PlayedSite, name: str) -> None:
    """Let a VM that starts reach no other one."""
    for vm in site.vms:
        site.network.cut(name, vm.memberships.vm)


async def listed_alone(site: PlayedSite) -> FollowingVm:
    """Return a VM that listed the configuration before it reached another VM."""
    others = [vm.memberships.vm for vm in site.vms]
    cut_off(site, "e")
    started = site.add("e")
    await site.until(lambda: started.version)
    assert started.version < configured(site)
    for other in others:
        site.network.heal("e", other)
    return started


def test_a_vm_that_listed_a_copy_fetches_what_the_store_has_lost():
    """Guards against fetches that leave out versions of before the asker's listing."""

    async def test(site):
        started = await listed_alone(site)
        assert await started.relays.fetch(CONFIGURATION_KIND)
        assert started.version == configured(site)

    play(test)


def test_relays_tell_of_versions_that_the_store_has_lost():
    """Guards against VMs that keep an older configuration until it is written again."""

    async def test(site):
        started = await listed_alone(site)
        await site.until(lambda: started.version == configured(site))

    play(test)


def test_a_vm_that_starts_after_a_drill_puts_no_older_configuration_in_force():
    """Guards against requests served by a configuration that others have replaced."""

    async def test(site):
        await register_all(site)
        started = site.add("e", settlement=Unsettled())
        await site.until(lambda: started.version)
        assert started.versions == [configured(site)]

    play(test)


def test_a_vm_whose_registered_others_have_ended_starts_with_what_the_store_has():
    """Guards against a start that waits for VMs that ended with all they knew."""

    async def test(site):
        await register_all(site)
        cut_off(site, "e")
        started = site.add("e", settlement=Unsettled())
        begun = site.timers.now()
        await site.until(lambda: started.version)
        assert site.timers.now() - begun < 1.5 * LOST_VERSIONS_WAIT_S

    play(test)


def test_a_vm_that_is_the_only_one_starts_without_waiting_for_others():
    """Guards against a second without answers at each start of a single VM."""

    async def test(site):
        cut_off(site, "e")
        for name in NAMES:
            site.store.remove(VMS_KIND, name)
        started = site.add("e", settlement=Unsettled())
        begun = site.timers.now()
        await site.until(lambda: started.version)
        assert site.timers.now() - begun < REGISTRATIONS_WAIT_S + LISTED_S

    play(test)


def test_a_vm_that_knows_more_than_its_relays_fetches_from_each_of_them_once():
    """Guards against a fetch at each heartbeat until the lost version is written."""

    async def test(site):
        told = await site.told()
        records = told[0].watchers[CONFIGURATION_KIND]._known.records
        newest = records[CONFIGURATION_NAME]
        spec = good_spec(CONFIGURATION_KIND, CONFIGURATION_NAME, configured(site) + 1)
        later = newest._replace(revision=newest.revision + 1, spec=spec)
        told[0].watchers[CONFIGURATION_KIND]._known.keep_versions([later])
        fetches = site.network.sent["FetchRecords"]
        await site.timers.sleep(HEARTBEATS_S)
        assert site.network.sent["FetchRecords"] - fetches == 2

    play(test)


def test_only_newer_versions_of_former_eras_are_kept():
    """Guards against an older version from another VM that replaces a newer one."""
    versions = []
    known = KindRecords(
        "things",
        events=EventRing("vm", HybridClock(ManualTimerService())),
        on_changed=lambda record: versions.append(record.spec["n"]),
        on_deleted=lambda name: None,
        version_of=lambda record: record.spec["n"],
    )
    listed = StoredRecord("a", dated_revision(2, 5), {"n": 3}, None)
    known.apply_listing(dated_revision(2, 5), [listed])
    for revision, version in (
        (dated_revision(1, 8), 2),
        (dated_revision(1, 9), 3),
        (dated_revision(2, 4), 7),
    ):
        known.keep_versions([StoredRecord("a", revision, {"n": version}, None)])
    assert versions == [3]
    known.keep_versions([StoredRecord("a", dated_revision(1, 7), {"n": 4}, None)])
    assert versions == [3, 4]
