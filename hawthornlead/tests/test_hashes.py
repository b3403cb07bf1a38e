"""Tests of the hashes that VMs agree on."""

from hawthornlead.hashes import digest64, rendezvous

VMS = [f"vm-{number}" for number in range(9)]


def test_digest_knows_where_parts_end():
    assert digest64("ab", "c") != digest64("a", "bc")


def test_digest_is_the_same_in_every_process():
    assert digest64("target:engine-1", "vm-1") == 0x961D5A3381CA31D8


def test_rendezvous_ignores_the_order_of_names():
    assert rendezvous("key", VMS) == rendezvous("key", reversed(VMS))


def test_only_keys_of_a_lost_vm_move():
    rest = [vm for vm in VMS if vm != "vm-3"]
    for number in range(500):
        before = rendezvous(f"key-{number}", VMS)
        after = rendezvous(f"key-{number}", rest)
        assert after == [vm for vm in before if vm != "vm-3"]


def test_keys_spread_over_all_vms():
    firsts = [rendezvous(f"key-{number}", VMS)[0] for number in range(900)]
    assert all(60 < firsts.count(vm) < 140 for vm in VMS)
