"""Tests of the routing strategies."""

from hawthornlead.decisions.placements import PLACEMENTS
from hawthornlead.decisions.popularities import POPULARITIES
from hawthornlead.decisions.routers import ROUTERS, Candidate
from hawthornlead.messages import Resident
from hawthornlead.settings import default_settings
from hawthornlead.tests.fakes_views import FakeAssignment, make_view


def choose(name, views, adapter="tides", placement="spread", **overrides):
    settings = default_settings(**overrides)
    router = ROUTERS[name](
        settings=settings, placement=PLACEMENTS[placement](settings=settings)
    )
    popularity = POPULARITIES["decayed"](settings=settings)
    return router.choose(FakeAssignment(adapter), views, popularity, 0.0)


def test_no_usable_target_gives_no_candidate():
    for name in ROUTERS:
        assert choose(name, [make_view("t1", "tides", leaving=True)]) == []


def test_least_loaded_prefers_residents():
    views = [
        make_view("t1"),
        make_view("t2", "tides", running=3),
        make_view("t3", "tides", running=1),
    ]
    order = choose("least-loaded", views, placement="least-loaded")
    assert order[:2] == [Candidate("t3", True), Candidate("t2", True)]


def test_hashing_ignores_load():
    views = [make_view(f"t{number}", running=number) for number in range(5)]
    busy = [make_view(f"t{number}", running=9 - number) for number in range(5)]
    first = choose("hashing", views, placement="hashing")
    assert first == choose("hashing", busy, placement="hashing")


def test_affinity_takes_the_resident_copy():
    views = [make_view("t1"), make_view("t2", "tides", running=5)]
    assert choose("affinity", views)[0] == Candidate("t2", True)


def test_affinity_joins_a_load_in_progress():
    views = [make_view("t1"), make_view("t2", Resident("tides", "1", 0, True))]
    assert choose("affinity", views)[0] == Candidate("t2", False)


def test_affinity_needs_the_version_too():
    views = [make_view("t1"), make_view("t2", Resident("tides", "2", 0))]
    assert not any(candidate.resident for candidate in choose("affinity", views))


def test_affinity_leaves_an_overloaded_copy_for_last():
    """One adapter becomes hot and overloads its only copy while other targets idle.

    Requests go to the resident copy; beyond the bound they must go to a new copy on
    another target.
    """
    views = [make_view("t1"), make_view("t2", "tides", running=40), make_view("t3")]
    order = choose("affinity", views, TARGET_FULL=16, LOAD_BOUND=1.5)
    assert [candidate.target for candidate in order][-1] == "t2"
    assert len(order) == 3


def test_batch_weight_reverses_the_preference():
    views = [
        make_view("t1", "tides", running=2),
        make_view("t2", "tides", running=8),
    ]
    assert choose("affinity", views, BATCH_WEIGHT=0.0)[0].target == "t1"
    assert choose("affinity", views, BATCH_WEIGHT=1.0)[0].target == "t2"
