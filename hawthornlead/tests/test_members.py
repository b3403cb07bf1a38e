"""Tests of a VM's view of the other VMs, and of entry answers."""

import random
from collections import Counter

import pytest

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.messages import Heartbeat
from hawthornlead.ownership.members import Members
from hawthornlead.ownership.platforms import VmEntry, VmList
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork

DATA_CENTRES = {"a": "gijon", "b": "gijon", "c": "bilbao", "d": "bilbao"}


class Fleet:
    """Four meshes, and the members of the first."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.network = LocalNetwork(self.timers)
        self.meshes = {}
        settings = default_settings(
            VM_NAME="a",
            DATA_CENTRE="gijon",
            CALLER_ADDRESS="a:80",
            VM_LIST_ADDRESS="127.0.0.1:1",
            ENTRY_ANSWERS=2,
        )
        for vm, home in DATA_CENTRES.items():
            mesh = self.network.join(vm, home)
            mesh.heartbeat_source = lambda: Heartbeat(1, 0, False, 0, 100, 0.0)
            self.meshes[vm] = mesh
        self.vm_list = VmList(settings=settings, timers=self.timers)
        self.members = Members(
            settings=settings,
            timers=self.timers,
            events=EventRing("a", HybridClock(self.timers)),
            mesh=self.meshes["a"],
            vm_list=self.vm_list,
            rng=random.Random(1),
        )
        self.listed = dict.fromkeys(DATA_CENTRES, "live")

    async def run(self, seconds):
        """Advance the time, with one check of lost VMs and one VM list each second."""
        for _ in range(seconds):
            self.read()
            await self.members.check_lost_vms()
            await self.timers.advance(1.0)

    def read(self):
        entries = tuple(
            VmEntry(vm, "entry", f"{vm}:80", DATA_CENTRES[vm], state, {})
            for vm, state in self.listed.items()
        )
        self.vm_list.apply(entries, self.timers.now())

    def answers(self, data_centre, count=1):
        return [self.members.entry_answer(data_centre) for _ in range(count)]


@pytest.fixture
async def fleet():
    fleet = Fleet()
    await fleet.timers.advance(0)
    await fleet.run(1)
    return fleet


async def test_live_vms_and_silence(fleet):
    assert fleet.members.live_vms() == ("a", "b", "c", "d")
    assert fleet.members.in_data_centre("gijon") == ("a", "b")
    fleet.network.cut("a", "b")
    assert fleet.members.live_vms() == ("a", "c", "d")
    fleet.network.silence("a", "c")
    await fleet.run(4)
    assert fleet.members.is_silent("b", 3.0) and fleet.members.is_silent("c", 3.0)
    assert not fleet.members.is_silent("d", 3.0) and not fleet.members.is_silent(
        "a", 0.0
    )


async def test_a_freeze_or_a_cut_proves_nothing(fleet):
    """Silence of a frozen or partitioned owner must not count as proof.

    A successor would then evict adapters under requests that the owner still runs once
    it wakes up.
    """
    fleet.network.silence("a", "b")
    fleet.network.cut("a", "c")
    await fleet.run(60)
    assert fleet.members.proof_gone("b", "b-1") is None
    assert fleet.members.proof_gone("c", "c-1") is None


async def test_proof_covers_all_incarnations_of_a_process(fleet):
    """A VM's lease lapses in a store outage and its process continues as ``b-1+2``.

    Neither incarnation is proved gone while the process lives. Both must be when it
    dies, or a VM that needs proof for the second waits for ever.
    """
    await fleet.run(10)
    for incarnation in ("b-1", "b-1+2"):
        assert fleet.members.proof_gone("b", incarnation) is None
    fleet.network.leave("b")
    await fleet.run(3)
    for incarnation in ("b-1", "b-1+2"):
        assert fleet.members.proof_gone("b", incarnation) == "refused"


async def test_two_refusals_prove_that_a_process_is_gone(fleet):
    fleet.network.leave("b")
    assert fleet.members.proof_gone("b", "b-1") is None
    await fleet.run(1)
    assert fleet.members.proof_gone("b", "b-1") is None
    await fleet.run(1)
    assert fleet.members.proof_gone("b", "b-1") == "refused"
    assert fleet.members.proof_gone("b", "b-0") is None


async def test_a_goodbye_is_proof_at_once(fleet):
    await fleet.meshes["b"].stop(goodbye=True)
    await fleet.timers.advance(0)
    assert fleet.members.proof_gone("b", "b-1") == "goodbye"
    assert fleet.members.proof_gone("b", "b-2") is None


async def test_lasting_absence_from_a_fresh_list_is_proof(fleet):
    fleet.network.cut("a", "b")
    del fleet.listed["b"]
    await fleet.run(5)
    assert fleet.members.proof_gone("b", "b-1") is None
    await fleet.run(5)
    assert fleet.members.proof_gone("b", "b-1") == "absent"


async def test_absence_of_a_vm_that_was_never_listed_proves_nothing(fleet):
    """A VM that has just started is live but not yet in the lagging VM list.

    If it is cut off at that moment it is missing from every fresh list. If that counted
    as proof, adapters would be evicted under its requests.
    """
    fleet.meshes["e"] = fleet.network.join("e", "gijon")
    await fleet.run(5)
    assert "e" in fleet.members.live_vms()
    fleet.network.cut("a", "e")
    await fleet.run(60)
    assert fleet.members.proof_gone("e", "e-1") is None


async def test_absence_from_a_stale_list_or_of_a_connected_vm_proves_nothing(fleet):
    fleet.network.cut("a", "b")
    del fleet.listed["b"]
    fleet.read()
    await fleet.timers.advance(60.0)
    await fleet.members.check_lost_vms()
    assert fleet.members.proof_gone("b", "b-1") is None
    fleet.network.heal("a", "b")
    await fleet.run(20)
    assert fleet.members.proof_gone("b", "b-1") is None


async def test_answers_contain_the_callers_data_centre_first_and_then_others(fleet):
    for answer in fleet.answers("bilbao", 20):
        assert set(answer.addresses[:2]) == {"c:80", "d:80"}
        assert set(answer.addresses[2:]) == {"a:80", "b:80"}
        assert 7.5 <= answer.keep_s <= 10.0


async def test_simultaneous_callers_are_spread_by_spare_capacity(fleet):
    """A VM dies and all its callers request another address in the same second.

    If all got the same best address, that VM would be overloaded next.
    """
    fleet.meshes["c"].heartbeat_source = lambda: Heartbeat(1, 0, False, 75, 100, 0.0)
    answers = fleet.answers("bilbao", 1000)
    firsts = Counter(answer.addresses[0] for answer in answers)
    assert 150 < firsts["c:80"] < 250
    assert 750 < firsts["d:80"] < 850
    assert len({answer.keep_s for answer in answers}) == 1000


async def test_draining_and_leaving_vms_are_removed_from_answers_at_once(fleet):
    fleet.meshes["b"].heartbeat_source = lambda: Heartbeat(1, 0, True, 0, 100, 0.0)
    fleet.listed["c"] = "leaving"
    fleet.read()
    assert set(fleet.answers("gijon")[0].addresses) == {"a:80", "d:80"}
    fleet.members.start_draining()
    assert fleet.members.draining
    assert fleet.answers("gijon")[0].addresses == ("d:80",)
