"""Tests of announcing the requests of each VM to the others."""

import pytest

from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.load_announcements import GATHER_HOPS, GATHER_INTERVAL_S

from .fakes_fleets import FakeFleet, let_run

KEY = AdapterKey("tide", "a1")
DATA_CENTRE_VMS = {"gijon": 10, "bilbao": 10, "santander": 9}
ANNOUNCED_WITHIN_S = GATHER_HOPS * GATHER_INTERVAL_S


@pytest.fixture
async def large():
    """A large fleet in which all VMs have seen each other."""
    fleet = FakeFleet(DATA_CENTRE_VMS)
    await fleet.settle()
    yield fleet
    fleet.stop()


def running(fleet):
    """Return how many requests on the target each VM counts."""
    return {vm.loads.running("i-1") for vm in fleet.vms.values()}


def others(fleet):
    """Return the VMs that aren't heads, by name."""
    return {name: vm for name, vm in fleet.vms.items() if name not in fleet.heads()}


async def test_all_vms_learn_of_a_request_through_heads(large):
    large.vms["bilbao-3"].loads.on_request_started("i-1", KEY)
    await large.settle(ANNOUNCED_WITHIN_S + 0.1)
    assert running(large) == {1}
    large.vms["bilbao-3"].loads.on_request_ended("i-1", KEY)
    await large.settle(ANNOUNCED_WITHIN_S + 0.1)
    assert running(large) == {0}


async def test_requests_of_all_data_centres_are_added_up(large):
    for name in ("gijon-0", "gijon-5", "bilbao-4", "santander-8"):
        large.vms[name].loads.on_request_started("i-1", KEY)
    await large.settle(ANNOUNCED_WITHIN_S + 0.1)
    assert running(large) == {4}


async def test_own_requests_count_at_once_beside_those_announced(large):
    """A VM sends all its requests to an engine that it takes for idle.

    The totals from heads are a second old and lack this VM's newest requests. Its
    requests that they do include must not be counted twice.
    """
    vm = large.vms["bilbao-3"]
    large.vms["gijon-4"].loads.on_request_started("i-1", KEY)
    vm.loads.on_request_started("i-1", KEY)
    await large.settle(2 * ANNOUNCED_WITHIN_S)
    assert vm.loads.running("i-1") == 2
    vm.loads.on_request_started("i-1", KEY)
    assert vm.loads.running("i-1") == 3
    vm.loads.on_request_ended("i-1", KEY)
    vm.loads.on_request_ended("i-1", KEY)
    assert vm.loads.running("i-1") == 1


async def test_owners_count_each_started_request_once(large):
    """An adapter seems twice as much in demand as it is.

    Evictions use the started requests that VMs announce. An update received both from
    its VM and through a head would count them twice.
    """
    owners = [large.vms[name] for name in ("bilbao-7", "santander-0")]
    for owner in owners:
        owner.owned = ("i-1",)
    await large.settle(1.0)
    for name in ("gijon-1", "santander-2", "bilbao-7"):
        large.vms[name].loads.on_request_started("i-1", KEY)
    await large.settle(3 * ANNOUNCED_WITHIN_S)
    assert {owner.started["i-1", "a1"] for owner in owners} == {3}
    assert {owner.loads.adapters_running("i-1")[KEY] for owner in owners} == {3}
    large.vms["gijon-1"].loads.on_request_ended("i-1", KEY)
    await large.settle(ANNOUNCED_WITHIN_S + 0.1)
    assert {owner.loads.adapters_running("i-1")[KEY] for owner in owners} == {2}


async def test_only_owners_learn_which_adapters_are_used(large):
    await large.settle(1.0)
    large.vms["gijon-7"].loads.on_request_started("i-1", KEY)
    await large.settle(2 * ANNOUNCED_WITHIN_S)
    others_of_gijon = [vm for name, vm in others(large).items() if name != "gijon-7"]
    assert all(not vm.loads.adapters_running("i-1") for vm in others_of_gijon)


async def test_a_vm_of_a_large_fleet_receives_few_messages(large):
    for vm in large.vms.values():
        vm.heard.clear()
    await large.settle(10 * GATHER_INTERVAL_S)
    assert max(vm.heard.total() for vm in others(large).values()) <= 11
    # A head receives from the VMs of its own data centre and from the other heads.
    most = 11 * (max(DATA_CENTRE_VMS.values()) + 2 * len(DATA_CENTRE_VMS))
    assert max(vm.heard.total() for vm in large.vms.values()) <= most


async def test_another_head_takes_over_from_one_that_is_gone(large):
    """The head of a data centre is killed, and its VMs' requests are not announced.

    The other VMs would send more and more requests to engines that are already full.
    """
    head = next(name for name in large.heads() if name.startswith("bilbao"))
    large.kill(head)
    name = next(name for name in others(large) if name.startswith("bilbao"))
    large.vms[name].loads.on_request_started("i-1", KEY)
    await large.settle(ANNOUNCED_WITHIN_S + 0.8)
    assert running(large) == {1}


async def test_requests_of_a_vm_that_is_gone_no_longer_count(large):
    large.vms["bilbao-8"].loads.on_request_started("i-1", KEY)
    await large.settle(ANNOUNCED_WITHIN_S + 0.1)
    large.kill("bilbao-8")
    await large.settle(5.0)
    assert running(large) == {0}


async def test_in_a_small_fleet_each_vm_announces_to_all_others():
    fleet = FakeFleet({"gijon": 5, "bilbao": 4})
    await fleet.settle(1.0)
    fleet.vms["bilbao-3"].loads.on_request_started("i-1", KEY)
    for vm in fleet.vms.values():
        vm.heard.clear()
        vm.words.announce()
    await let_run()
    assert running(fleet) == {1}
    assert {vm.heard["GroupUpdate"] for vm in fleet.vms.values()} == {0}
    fleet.stop()
