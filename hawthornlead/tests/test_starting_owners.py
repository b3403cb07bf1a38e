"""Tests of who claims engines while all VMs of a large fleet start at once."""

from collections import Counter

from hawthornlead.recovery.starting_owners import STARTING_S, StartingOwners

VMS = [f"edge-{number}" for number in range(88)]
ENGINES = [f"i-{number:08x}" for number in range(56)]
MAX_OWNERS = 16


def starting(vm, started_at=100.0):
    return StartingOwners(vm, started_at=started_at, max_owners=MAX_OWNERS)


def test_the_first_vm_that_is_back_leaves_most_engines_to_the_others():
    """Guards against one VM that decides every load after a kill of all VMs."""
    claims = Counter()
    for vm in VMS:
        owners = starting(vm)
        claims[vm] = sum(owners.is_owner(engine, VMS) for engine in ENGINES)
    assert sum(claims.values()) == len(ENGINES)
    assert max(claims.values()) <= 12
    assert sum(count > 0 for count in claims.values()) > MAX_OWNERS / 2


def test_each_engine_has_one_claimer_on_all_vms():
    """Guards against claims that fail because several VMs write them at once."""
    for engine in ENGINES:
        assert sum(starting(vm).is_owner(engine, VMS) for vm in VMS) == 1


def test_engines_of_a_vm_that_stays_away_are_left_to_the_usual_order():
    """Guards against engines without orders because their VM isn't back."""
    owners = starting(VMS[0], started_at=100.0)
    assert owners.applies(100.0 + STARTING_S / 2)
    assert not owners.applies(100.0 + STARTING_S)


def test_a_vm_that_registers_meanwhile_counts():
    """Guards against a stale choice of owners as VMs register one by one."""
    alone = starting("edge-3")
    assert alone.is_owner("i-1", ["edge-3"])
    owned = [engine for engine in ENGINES if alone.is_owner(engine, VMS)]
    assert len(owned) < len(ENGINES)
