"""Tests of extra copies of hot adapters."""

from result import Err

from hawthornlead.decisions.placements import PLACEMENTS
from hawthornlead.decisions.popularities import POPULARITIES
from hawthornlead.engines.hot_copies import CHECK_INTERVAL_S, HotCopies
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

from .fakes_views import FakeAssignment, make_view


class _Views:
    def views(self):
        return (make_view("one", "tide"), make_view("two"))


class _Grants:
    def __init__(self):
        self.requested = []

    async def acquire(self, target, assignment, **options):
        self.requested.append((target, assignment.adapter, options["prefetch"]))
        return Err(Failure(ErrorKind.NO_SLOT, "in use"))


async def _requested(requests_per_s, seconds=20):
    timers, grants = ManualTimerService(), _Grants()
    settings = default_settings(COPY_RATE=4.0)
    popularity = POPULARITIES["decayed"](settings=settings)
    hot_copies = HotCopies(
        timers=timers,
        views=_Views(),
        grants=grants,
        placement=PLACEMENTS["spread"](settings=settings),
        popularity=popularity,
    )
    for _ in range(seconds * requests_per_s):
        popularity.observe("tide", timers.now())
        hot_copies.consider(FakeAssignment("tide"))
        await timers.advance(1 / requests_per_s)
    return grants.requested


async def test_a_hot_adapter_gets_one_prefetched_copy():
    requested = await _requested(requests_per_s=40)
    assert requested and set(requested) == {("two", "tide", True)}
    assert len(requested) <= 20 / CHECK_INTERVAL_S + 1


async def test_a_cold_adapter_gets_none():
    assert await _requested(requests_per_s=1) == []
