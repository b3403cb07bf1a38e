"""Tests of the hashes."""

from hawthornlead.hashes import digest64, rendezvous


def test_parts_have_ends():
    assert digest64("ab", "c") != digest64("a", "bc")


def test_rendezvous_moves_only_what_it_must():
    names = [f"t{number}" for number in range(9)]
    for number in range(50):
        order = rendezvous(f"adapter-{number}", names)
        assert sorted(order) == names
        rest = [name for name in names if name != order[-1]]
        assert rendezvous(f"adapter-{number}", rest) == order[:-1]
