"""Tests of the placement strategies."""

from hawthornlead.decisions.placements import PLACEMENTS
from hawthornlead.decisions.popularities import POPULARITIES
from hawthornlead.hashes import rendezvous
from hawthornlead.messages import Resident
from hawthornlead.settings import default_settings
from hawthornlead.tests.fakes_views import FakeAssignment, make_view

TARGETS = [f"t{number}" for number in range(8)]


def choose(name, views, adapter="new", popularity=None, **overrides):
    settings = default_settings(**overrides)
    popularity = popularity or POPULARITIES["decayed"](settings=settings)
    placement = PLACEMENTS[name](settings=settings)
    return placement.choose(FakeAssignment(adapter), views, popularity, 100.0)


def test_unusable_targets_are_never_chosen():
    views = [
        make_view("t1", leaving=True),
        make_view("t2", state=None),
        make_view("t3", base_models=("other",)),
        make_view("t4"),
    ]
    for name in PLACEMENTS:
        assert choose(name, views) == ["t4"]


def test_least_loaded_orders_by_work():
    views = [make_view("t1", running=5), make_view("t2", running=1)]
    assert choose("least-loaded", views) == ["t2", "t1"]


def test_hashing_keeps_its_order_when_a_target_goes():
    views = [make_view(name) for name in TARGETS]
    order = choose("hashing", views)
    assert order == rendezvous("new", TARGETS)
    rest = [view for view in views if view.target != order[3]]
    assert choose("hashing", rest) == order[:3] + order[4:]


def test_spread_takes_the_slot_that_costs_least():
    """A single request must not evict a hot adapter.

    All its rendezvous choices are full. The one with the coldest idle resident is
    chosen, and one whose slots are all in use comes last.
    """
    popularity = POPULARITIES["decayed"](settings=default_settings())
    for second in range(100):
        popularity.observe("hot", float(second))
    views = [
        make_view("t1", "hot", slots=1),
        make_view("t2", Resident("cold", "1", 2), slots=1),
        make_view("t3", "cold", slots=1),
    ]
    order = choose("spread", views, popularity=popularity, CHOICES=3)
    assert order == ["t3", "t1", "t2"]


def test_spread_weighs_only_the_first_of_the_rendezvous_order():
    views = [make_view(name, running=9) for name in TARGETS]
    order = rendezvous("new", TARGETS)
    views[TARGETS.index(order[5])] = make_view(order[5])
    views[TARGETS.index(order[1])] = make_view(order[1], running=2)
    assert choose("spread", views, CHOICES=2)[:2] == [order[1], order[0]]


def test_hot_copies_follow_the_rate():
    settings = default_settings(COPY_RATE=1.0, SLOW_HALF_LIFE_S=10.0)
    popularity = POPULARITIES["decayed"](settings=settings)
    placement = PLACEMENTS["spread"](settings=settings)
    views = [make_view("t1", "hot", "cold"), make_view("t2")]
    for step in range(1000):
        popularity.observe("hot", step / 10, count=1)
    popularity.observe("cold", 99.0)
    hot, cold = FakeAssignment("hot"), FakeAssignment("cold")
    assert placement.choose_hot_copy(hot, views, popularity, 100.0) == "t2"
    assert placement.choose_hot_copy(cold, views, popularity, 100.0) is None
    both = [make_view("t1", "hot"), make_view("t2", "hot")]
    assert placement.choose_hot_copy(hot, both, popularity, 100.0) is None
