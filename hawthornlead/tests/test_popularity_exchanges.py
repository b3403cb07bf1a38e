"""Tests of the exchange of popularity counts between VMs."""

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
    """One VM's counts and their exchange on a network."""

    def __init__(self, network, timers, name, incarnation=""):
        settings = default_settings(VM_NAME=name)
        self.timers = timers
        self.counts = POPULARITIES["decayed"](settings=settings)
        self.mesh = network.join(name, incarnation=incarnation)
        self.exchange = PopularityExchange(
            settings=settings,
            timers=timers,
            rng=random.Random(1),
            mesh=self.mesh,
            members=_Members(self.mesh),
            popularity=self.counts,
        )
        self.exchange.start()

    def rate(self, adapter):
        return self.counts.rate(adapter, self.timers.now())


async def _vms(names="abc"):
    timers = ManualTimerService()
    network = LocalNetwork(timers)
    vms = [_Vm(network, timers, name) for name in names]
    await timers.advance(5.0)
    return timers, network, vms


async def _count_requests(timers, vm, adapter="tide", count=30):
    for _ in range(count):
        vm.exchange.observe(adapter)
    await timers.advance(3.0)


async def test_all_know_what_one_has_counted():
    timers, _, (a, b, c) = await _vms()
    await _count_requests(timers, a)
    assert a.rate("tide") > 0
    for other in (b, c):
        assert other.rate("tide") == pytest.approx(a.rate("tide"), rel=0.2)
    await timers.advance(10.0)
    assert b.rate("tide") < a.rate("tide") * 1.2


async def test_a_duplicate_message_counts_once():
    timers, _, (a, b, c) = await _vms()
    before = b.rate("tide")
    message = PopularityCounts(10_000, (("tide", 30),))
    for _ in range(3):
        await b.exchange._on_counts(a.mesh.myself, message)
    once = b.rate("tide")
    await c.exchange._on_counts(a.mesh.myself, message)
    assert before == 0 and once == pytest.approx(c.rate("tide"))


async def test_lost_messages_cost_only_their_counts():
    timers, network, (a, b, c) = await _vms()
    network.drop("a", "b", PopularityCounts, 1)
    await _count_requests(timers, a, "tide")
    await _count_requests(timers, a, "lap")
    assert b.rate("tide") == 0 < c.rate("tide")
    assert b.rate("lap") == pytest.approx(c.rate("lap"))


async def test_counts_of_a_restarted_sender_are_accepted_at_once():
    """A VM crashes and restarts, and its messages are numbered from 1 again.

    If numbers were compared across incarnations, its counts would be ignored for as
    long as it had run before.
    """
    timers, network, (a, b, _) = await _vms()
    await _count_requests(timers, a)
    await timers.advance(60.0)
    before = b.rate("tide")
    await a.exchange.stop()
    again = _Vm(network, timers, "a", incarnation="a-2")
    await _count_requests(timers, again)
    assert b.rate("tide") > before


async def test_rates_scale_up_for_vms_that_are_not_seen():
    timers, network, (a, b, c) = await _vms()
    assert a.counts.share == 1.0
    network.drop("c", "a", PopularityCounts, 1000)
    await timers.advance(10.0)
    assert a.counts.share == pytest.approx(2 / 3) and b.counts.share == 1.0


@pytest.mark.parametrize("receivers", [1, 8, 40, 100, 369, 1000])
def test_no_more_bytes_than_allowed(receivers):
    current = pace(receivers)
    pending = PendingCounts()
    for number in range(3000):
        pending.add(f"adapter-of-a-usual-length-{number}")
    message = PopularityCounts(2**40, pending.pop_largest(current.message_bytes))
    at = HybridTime(2**44, 2**10)
    size = len(encode(Frame(0, 0, at, message), 1 << 20).unwrap())
    assert size <= max(MESSAGE_BYTES, 64)
    if receivers <= 369:
        assert message.counts
        assert size * receivers / current.interval_s <= SEND_BYTES_PER_S


def test_what_does_not_fit_is_sent_later_and_the_memory_is_bounded():
    pending = PendingCounts()
    for number in range(3 * MAX_WAITING):
        pending.add("hot")
        pending.add(f"one-off-{number}")
    assert len(pending) <= MAX_WAITING
    assert pending.pop_largest(100)[0] == ("hot", 3 * MAX_WAITING)
    assert pending.pop_largest(100)[0].count == 1
