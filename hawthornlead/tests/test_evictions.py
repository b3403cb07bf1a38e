"""Tests of the eviction strategies."""

from hawthornlead.decisions.evictions import EVICTIONS
from hawthornlead.decisions.popularities import POPULARITIES
from hawthornlead.messages import Resident
from hawthornlead.settings import default_settings


def make_popularity():
    popularity = POPULARITIES["decayed"](settings=default_settings())
    for second in range(0, 90, 3):
        popularity.observe("hot", float(second))
    popularity.observe("once", 99.0)
    return popularity


RESIDENTS = (Resident("hot", "1", 0), Resident("once", "1", 0))


def choose(name, residents=RESIDENTS, copies=None):
    eviction = EVICTIONS[name](settings=default_settings())
    return eviction.choose(residents, make_popularity(), 100.0, copies)


def test_nothing_to_evict():
    for name in EVICTIONS:
        assert choose(name, ()) is None


def test_lru_evicts_the_least_recently_requested():
    assert choose("lru").adapter == "hot"


def test_a_single_request_does_not_evict_a_hot_adapter():
    """A single request has just run, and the hot adapter has been idle for seconds.

    LRU would evict the hot one, whose next requests then wait for a reload.
    """
    assert choose("popularity").adapter == "once"


def test_a_copy_that_has_another_is_worth_less():
    popularity = make_popularity()
    eviction = EVICTIONS["popularity"](settings=default_settings(COPY_DISCOUNT=0.0))
    chosen = eviction.choose(
        RESIDENTS, popularity, 100.0, lambda resident: int(resident.adapter == "hot")
    )
    assert chosen.adapter == "hot"


def test_a_version_never_requested_is_evicted_first():
    residents = (*RESIDENTS, Resident("retired", "1", 0))
    assert choose("popularity", residents).adapter == "retired"
