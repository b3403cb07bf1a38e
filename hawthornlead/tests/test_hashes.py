"""Tests of digests and rendezvous hashing."""

from hawthornlead.hashes import digest64, rendezvous


def test_the_digest_depends_on_where_parts_end():
    assert digest64("ab", "c") != digest64("a", "bc")


def test_a_removed_name_moves_no_other_name():
    names = [f"t{number}" for number in range(9)]
    for number in range(50):
        order = rendezvous(f"adapter-{number}", names)
        assert sorted(order) == names
        rest = [name for name in names if name != order[-1]]
        assert rendezvous(f"adapter-{number}", rest) == order[:-1]


def test_the_digest_is_the_same_in_every_process():
    assert digest64("target:engine-1", "vm-1") == 0x961D5A3381CA31D8


def test_keys_spread_over_all_names():
    names = [f"vm-{number}" for number in range(9)]
    firsts = [rendezvous(f"key-{number}", names)[0] for number in range(900)]
    assert all(60 < firsts.count(name) < 140 for name in names)
