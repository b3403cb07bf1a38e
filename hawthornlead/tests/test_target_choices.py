"""Tests of the choice of a target, played without a network."""

from hawthornlead.gateway.adapter_homes import MAX_CACHED_ADAPTERS, AdapterHomes
from hawthornlead.gateway.target_choices import (
    MAX_COMPARED_HOMES,
    Candidate,
    Demand,
    Holding,
    order_candidates,
    queue_ms,
    shortlist,
)

ADAPTER = "tide/a7"


def candidate(target, running=0, holding=Holding.READY, **fields):
    known = {
        "slots": 32,
        "orderable": True,
        "suspect": False,
        "slow_ms": 0.0,
        "is_local": True,
    }
    return Candidate(target=target, running=running, holding=holding, **known | fields)


def best(candidates, adapter=ADAPTER, excluded=frozenset()):
    """Return the target that a request goes to, chosen as the placer does it."""
    holdings = {each.target: each.holding for each in candidates}
    homes = AdapterHomes().of(adapter, tuple(holdings))
    listed = shortlist(holdings, homes, excluded)
    closer = [each for each in candidates if each.target in listed]
    scored = order_candidates(closer, Demand(homes, bool(adapter)))
    return scored[0].candidate.target if scored else None


def test_where_the_adapter_is_ready_goes_before_an_idle_target():
    assert best([candidate("a", 14), candidate("b", 0, Holding.ABSENT)]) == "a"


def test_a_second_copy_is_made_when_its_targets_are_clearly_fuller():
    held = candidate("a", 34)
    assert best([held, candidate("b", 4, Holding.ABSENT)]) == "b"


def test_all_vms_load_a_cold_adapter_on_the_same_target():
    """A rare adapter is fetched by several engines at once.

    Each VM saw the loads a little differently and chose another target for it.
    """
    names = ["a", "b", "c", "d"]
    first = [candidate(name, 3, Holding.ABSENT) for name in names]
    other = [candidate(name, n, Holding.ABSENT) for n, name in enumerate(names)]
    assert best(first) == best(other)


def test_a_recent_stay_goes_before_a_first_fetch():
    cold = [candidate(name, 0, Holding.ABSENT) for name in "bcd"]
    assert best([candidate("a", 12, Holding.RECENT), *cold]) == "a"


def test_a_target_without_reachable_owner_serves_only_what_it_holds():
    lone = candidate("a", 0, Holding.ABSENT, orderable=False)
    assert best([lone]) is None
    assert best([lone._replace(holding=Holding.READY)]) == "a"


def test_a_suspect_is_the_last_resort():
    suspect = candidate("a", suspect=True)
    assert best([suspect, candidate("b", 40)]) == "b"
    assert best([suspect]) == "a"


def test_without_its_model_a_target_serves_nothing():
    assert best([candidate("a", 0, Holding.UNKNOWN)]) is None


def test_excluded_targets_are_left_out():
    assert best([candidate("a"), candidate("b", 9)], excluded=frozenset("a")) == "b"


def test_waiting_grows_with_load_and_fast_beyond_the_batch():
    loads = (0, 8, 16, 31, 40, 64)
    waits = [queue_ms(candidate("a", running)) for running in loads]
    assert waits == sorted(waits)
    assert waits[0] == 0
    assert waits[-1] - waits[-2] > waits[1] - waits[0]


def test_among_many_targets_those_that_hold_an_adapter_are_never_left_out():
    """A request waits for a fetch though an engine far down the order is ready.

    With 70 engines only the first homes were looked at.
    """
    names = tuple(f"e{number}" for number in range(70))
    homes = AdapterHomes().of(ADAPTER, names)
    holdings = dict.fromkeys(names, Holding.ABSENT)
    holdings[homes[-1]] = Holding.READY
    holdings[homes[-2]] = Holding.RECENT
    listed = shortlist(holdings, homes, frozenset())
    assert listed == {homes[-1], homes[-2], *homes[:MAX_COMPARED_HOMES]}
    without = shortlist(holdings, homes, frozenset({homes[-1], homes[0]}))
    assert without == {homes[-2], *homes[1 : MAX_COMPARED_HOMES + 1]}


def test_homes_follow_the_targets_and_few_are_kept():
    homes = AdapterHomes()
    before = homes.of("tide/a1", ("e1", "e2", "e3"))
    assert sorted(before) == ["e1", "e2", "e3"]
    after = homes.of("tide/a1", ("e1", "e3"))
    assert after == tuple(name for name in before if name != "e2")
    for number in range(MAX_CACHED_ADAPTERS + 10):
        homes.of(f"tide/a{number}", ("e1", "e3"))
    assert len(homes._homes) == MAX_CACHED_ADAPTERS


def test_a_long_prompt_goes_where_few_streams_run():
    """Half of the streams come late though their engines are half empty.

    A prompt that takes most of the pause that callers bear was read where many streams
    ran, and each of them paused for it; elsewhere hardly any did.
    """
    busy = candidate("busy", running=10)
    quiet = candidate("quiet", running=2, is_local=False, prompts_ms=60.0)
    short = order_candidates([busy, quiet], Demand((), False, reading=0.1))
    long = order_candidates([busy, quiet], Demand((), False, reading=0.9))
    assert short[0].candidate.target == "busy"
    assert long[0].candidate.target == "quiet"
