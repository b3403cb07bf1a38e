"""Tests of the popularity counts that VMs tell one another."""

import random

import pytest

from hawthornlead.clocks import HybridTime
from hawthornlead.decisions.popularities import POPULARITIES
from hawthornlead.decisions.popularity_exchanges import (
    MAX_WAITING,
    MESSAGE_BYTES,
    SEND_BYTES_PER_S,
    PendingCounts,
    PopularityExchange,
    pace,
)
from hawthornlead.mesh.codecs import Frame, encode
from hawthornlead.messages import PopularityCounts
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork


class _Members:
    def __init__(self, mesh):
        self.mesh = mesh

    def live_vms(self):
        return tuple({self.mesh.vm, *(info.vm for info in self.mesh.live)})


class _Vm:
    """One VM's counts and shares on a network."""

    def __init__(self, network, timers, name, incarnation=""):
        settings = default_settings(VM_NAME=name)
        self.timers = timers
        self.counts = POPULARITIES["decayed"](settings=settings)
        self.mesh = network.join(name, incarnation=incarnation)
        self.shares = PopularityExchange(
            settings=settings,
            timers=timers,
            rng=random.Random(1),
            mesh=self.mesh,
            members=_Members(self.mesh),
            popularity=self.counts,
        )
        self.shares.start()

    def rate(self, adapter):
        return self.counts.rate(adapter, self.timers.now())


async def _vms(names="abc"):
    timers = ManualTimerService()
    network = LocalNetwork(timers)
    vms = [_Vm(network, timers, name) for name in names]
    await timers.advance(5.0)
    return timers, network, vms


async def _counted(timers, vm, adapter="tide", count=30):
    for _ in range(count):
        vm.shares.observe(adapter)
    await timers.advance(3.0)


async def test_all_know_what_one_has_counted():
    timers, _, (a, b, c) = await _vms()
    await _counted(timers, a)
    assert a.rate("tide") > 0
    for other in (b, c):
        assert other.rate("tide") == pytest.approx(a.rate("tide"), rel=0.2)
    await timers.advance(10.0)
    assert b.rate("tide") < a.rate("tide") * 1.2


async def test_a_message_that_comes_twice_counts_once():
    timers, _, (a, b, c) = await _vms()
    before = b.rate("tide")
    message = PopularityCounts(10_000, (("tide", 30),))
    for _ in range(3):
        await b.shares._on_counts(a.mesh.myself, message)
    once = b.rate("tide")
    await c.shares._on_counts(a.mesh.myself, message)
    assert before == 0 and once == pytest.approx(c.rate("tide"))


async def test_lost_messages_cost_only_their_counts():
    timers, network, (a, b, c) = await _vms()
    network.drop("a", "b", PopularityCounts, 1)
    await _counted(timers, a, "tide")
    await _counted(timers, a, "lap")
    assert b.rate("tide") == 0 < c.rate("tide")
    assert b.rate("lap") == pytest.approx(c.rate("lap"))


async def test_a_sender_that_restarts_is_heard_at_once():
    """A VM crashes and comes back; its messages are numbered from 1 again.

    Were numbers compared across its starts, nothing of it would count for as long
    as it had run before.
    """
    timers, network, (a, b, _) = await _vms()
    await _counted(timers, a)
    await timers.advance(60.0)
    before = b.rate("tide")
    await a.shares.stop()
    again = _Vm(network, timers, "a", incarnation="a-2")
    await _counted(timers, again)
    assert b.rate("tide") > before


async def test_rates_scale_up_by_vms_that_are_not_heard():
    timers, network, (a, b, c) = await _vms()
    assert a.counts.share == 1.0
    network.drop("c", "a", PopularityCounts, 1000)
    await timers.advance(10.0)
    assert a.counts.share == pytest.approx(2 / 3) and b.counts.share == 1.0


@pytest.mark.parametrize("receivers", [1, 8, 40, 100, 369, 1000])
def test_no_more_bytes_than_allowed(receivers):
    current = pace(receivers)
    waiting = PendingCounts()
    for number in range(3000):
        waiting.add(f"adapter-of-a-usual-length-{number}")
    message = PopularityCounts(2**40, waiting.pop_largest(current.message_bytes))
    at = HybridTime(2**44, 2**10)
    size = len(encode(Frame(0, 0, at, message), 1 << 20).unwrap())
    assert size <= max(MESSAGE_BYTES, 64)
    if receivers <= 369:
        assert message.counts
        assert size * receivers / current.interval_s <= SEND_BYTES_PER_S


def test_what_does_not_fit_is_told_later_and_the_memory_is_bounded():
    waiting = PendingCounts()
    for number in range(3 * MAX_WAITING):
        waiting.add("hot")
        waiting.add(f"one-off-{number}")
    assert len(waiting) <= MAX_WAITING
    assert waiting.pop_largest(100)[0] == ("hot", 3 * MAX_WAITING)
    assert waiting.pop_largest(100)[0].count == 1
