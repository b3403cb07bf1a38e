"""Tests of the owner of one engine, with a fake engine and without a network."""

import asyncio

import pytest
from result import Err

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.engine_slots import AdapterKey, SlotState
from hawthornlead.gateway.load_checks import MAX_ARRIVING
from hawthornlead.gateway.records import OrderKind, OrderOutcome
from hawthornlead.gateway.slot_queues import SlotRequest
from hawthornlead.messages.gateways import ReservePrompt

from .fakes_owned_engines import SLOTS, Bed, shorten_waits


@pytest.fixture
async def bed(monkeypatch):
    """An owner that has read its engine's report, with shortened waits."""
    shorten_waits(monkeypatch)
    made = Bed()
    await made.start()
    yield made
    made.owner.stop()


async def test_one_load_serves_all_who_wait_for_it(bed):
    loaded = await asyncio.gather(*[bed.load("a1") for _ in range(6)])
    assert all(each.is_ok() for each in loaded)
    assert len(bed.engine.orders) == 1
    assert bed.engine.orders[0].fence == 4


async def test_a_request_waiting_for_its_load_is_not_refused_for_others(bed):
    """A request is refused for "too many loads" although its adapter is arriving.

    Four fetches were in progress, including its own, which is the engine's maximum.
    """
    names = [f"a{number}" for number in range(MAX_ARRIVING)]
    first = [asyncio.create_task(bed.load(name)) for name in names]
    while bed.owner.slots.arriving < MAX_ARRIVING:
        await asyncio.sleep(0.002)
    joined = await bed.load("a1", wait_s=0.2)
    assert joined.is_ok()
    assert all(loaded.is_ok() for loaded in await asyncio.gather(*first))


async def test_what_cannot_be_fetched_in_time_is_refused_with_a_retry_time(bed):
    names = [f"a{number}" for number in range(MAX_ARRIVING)]
    first = [asyncio.create_task(bed.load(name)) for name in names]
    while bed.owner.slots.arriving < MAX_ARRIVING:
        await asyncio.sleep(0.002)
    refused = await bed.load("b1", wait_s=0.1)
    assert isinstance(refused, Err)
    assert refused.err_value.kind is ErrorKind.NO_SLOT
    assert refused.err_value.retry_after_s > 0
    await asyncio.gather(*first)


async def test_no_engine_is_ordered_to_hold_more_than_its_slots(bed):
    for number in range(3 * SLOTS):
        loaded = await bed.load(f"a{number}")
        while loaded.is_err():
            await asyncio.sleep(loaded.err_value.retry_after_s)
            loaded = await bed.load(f"a{number}")
    assert bed.engine.most <= SLOTS


async def test_an_order_carried_out_late_is_harmless(bed):
    """A load beyond the slots crashes an engine, seconds after it was ordered.

    The order got no answer and was carried out after newer orders had filled the slots.
    """
    bed.engine.late = 1
    assert (await bed.load("a1")).is_ok()
    for number in range(SLOTS):
        await bed.load(f"b{number}")
    assert set(bed.engine.carry_out_kept()) == {OrderOutcome.CONFLICT}
    assert bed.engine.most <= SLOTS


async def test_an_order_taken_without_an_answer_is_detected(bed):
    bed.engine.mute = 1
    assert (await bed.load("a1")).is_ok()
    assert list(bed.engine.held) == ["a1"]


async def test_an_adapter_whose_runs_go_on_keeps_its_slot(bed):
    for number in range(SLOTS):
        assert (await bed.load(f"a{number}")).is_ok()
    bed.engine.running = {f"a{number}" for number in range(SLOTS)}
    await asyncio.sleep(0.4)
    await bed.load("b1", wait_s=0.2)
    assert bed.engine.most <= SLOTS
    assert len(bed.engine.held) == SLOTS
    states = [slot.state for slot in bed.owner.slots.slots.values()]
    assert SlotState.LEAVING in states


async def test_no_order_follows_while_an_adapter_in_use_leaves(bed):
    """All loads of an engine stop for seconds.

    An adapter was unloaded that a request had just started to use. The engine removes
    it when the run ends, and refuses every order until then. Its owner continued to
    give orders, all refused, and read a report after each.
    """
    for number in range(SLOTS):
        assert (await bed.load(f"a{number}")).is_ok()
    bed.engine.running = {f"a{number}" for number in range(SLOTS)}
    await asyncio.sleep(0.3)
    await bed.load("b1", wait_s=0.2)
    given = len(bed.engine.orders)
    refused = await bed.load("b2", wait_s=0.2)
    assert refused.err_value.kind is ErrorKind.NO_SLOT
    assert len(bed.engine.orders) == given


async def test_an_adapter_that_others_use_is_not_unloaded(bed):
    for number in range(SLOTS):
        assert (await bed.load(f"a{number}")).is_ok()
    await asyncio.sleep(0.3)
    used = range(1, SLOTS)
    bed.in_use.adapters = {AdapterKey("tide", f"a{number}"): 1 for number in used}
    assert (await bed.load("b1")).is_ok()
    assert [o.adapter for o in bed.engine.orders if o.kind is OrderKind.UNLOAD] == [
        "a0"
    ]


async def test_without_ownership_no_order_is_given(bed):
    bed.owned.fence = 0
    assert (await bed.load("a1", wait_s=0.2)).is_err()
    assert not bed.engine.orders


async def test_an_old_version_in_use_is_not_waited_for(bed):
    """Requests for an adapter wait for 20 s while its old version is in use."""
    assert (await bed.load("a1")).is_ok()
    bed.in_use.adapters = {AdapterKey("tide", "a1"): 3}
    refused = await bed.load("a1", version=2)
    assert refused.is_err()
    bed.in_use.adapters = {}
    assert (await bed.load("a1", version=2)).ok_value == 2


async def test_an_engine_that_restarted_empty_gets_its_model(bed):
    bed.engine.models.clear()
    bed.engine.held.clear()
    bed.owner._orders.set_accepted(None)
    while not bed.engine.orders or "tide" not in bed.owner.slots.models:
        await asyncio.sleep(0.01)
    assert bed.engine.orders[-1].model == "tide"
    assert bed.engine.orders[-1].adapter == ""


async def test_a_refused_request_makes_the_owner_read_a_report(bed):
    assert (await bed.load("a1")).is_ok()
    bed.engine.held.pop("a1")
    bed.owner.on_adapter_missing(AdapterKey("tide", "a1"))
    while bed.owner.slots.ready(AdapterKey("tide", "a1"), 0):
        await asyncio.sleep(0.01)
    assert (await bed.load("a1")).is_ok()
    assert len(bed.engine.orders) == 2


async def test_an_adapter_predicted_too_early_delays_no_other_order(bed):
    """Requests for all adapters of an engine wait because one was a little late.

    A request was sent when its adapter was predicted to be ready, and was refused. The
    owner then read a report under its lock, 0.1 s or more, before any other order.
    """
    assert (await bed.load("a1")).is_ok()
    key = AdapterKey("tide", "a1")
    bed.engine.arriving["a1"] = bed.engine.held.pop("a1")
    bed.owner.on_adapter_missing(key)
    assert not bed.owner.slots.ready(key, 0)
    assert bed.owner.known
    assert (await bed.load("a2")).is_ok()
    bed.engine.held["a1"] = bed.engine.arriving.pop("a1")
    assert (await bed.load("a1")).is_ok()
    assert [order.adapter for order in bed.engine.orders] == ["a1", "a2"]


def prompt(tokens, most_s):
    """Return a request for a prompt's turn."""
    return ReservePrompt("e1", "tide", "a1", tokens, most_s)


async def test_a_turn_is_refused_where_the_adapter_is_not(bed):
    key = AdapterKey("tide", "a1")
    assert not bed.owner.reserve(key, "vm-1", prompt(500, 1.0)).held
    assert (await bed.load("a1")).is_ok()
    assert bed.owner.reserve(key, "vm-1", prompt(500, 1.0)).held


async def test_a_turn_that_is_too_late_is_reported_and_not_reserved(bed):
    key = AdapterKey("tide", "a1")
    assert (await bed.load("a1")).is_ok()
    for _ in range(4):
        bed.owner.reserve(key, "vm-1", prompt(4000, 60.0))
    late = bed.owner.reserve(key, "vm-1", prompt(4000, 0.1))
    assert not late.reserved
    again = bed.owner.reserve(key, "vm-1", prompt(4000, 0.1))
    assert late.wait_s >= again.wait_s > 0.1
    short = bed.owner.reserve(key, "vm-1", prompt(1, 0.1))
    assert not short.reserved
    assert bed.owner.holdings.turn_s == pytest.approx(short.wait_s, abs=0.05)


async def test_a_refused_load_is_not_retried_without_a_pause(bed, monkeypatch):
    """A VM stops answering, and its engines get no orders.

    An owner refused a load because the old version of its adapter was in use. The
    request could still wait for a slot, and retried in a busy loop.
    """
    asked = []

    def refusal(entry, key, version):
        asked.append(key)
        return Failure(ErrorKind.NO_SLOT, "the old version runs", 0.01)

    monkeypatch.setattr(bed.owner._checks, "refusal", refusal)
    now = bed.timers.now()
    request = SlotRequest(AdapterKey("tide", "a1"), 0, now + 0.3, now + 0.3)
    loaded = await bed.owner.load(request, 0, 1.0)
    assert loaded.unwrap_err().kind is ErrorKind.NO_SLOT
    assert len(asked) < 30


async def fill(bed):
    """Load an adapter into each slot, and have a request run with each."""
    names = [f"a{number}" for number in range(1, SLOTS + 1)]
    for name in names:
        assert (await bed.load(name)).is_ok()
        bed.in_use.adapters[AdapterKey("tide", name)] = 1
    return names


async def test_a_request_that_can_wait_gets_the_next_free_slot(bed):
    """Callers are refused at once, although ten slots a second become free.

    All slots of all engines were in use only at that moment.
    """
    await fill(bed)
    now = bed.timers.now()
    request = SlotRequest(AdapterKey("tide", "new"), 0, now + 2.0, now + 2.0)
    loading = asyncio.create_task(bed.owner.load(request, 0, 3.0))
    await asyncio.sleep(0.15)
    assert not loading.done()
    del bed.in_use.adapters[AdapterKey("tide", "a1")]
    bed.owner.end_turn(AdapterKey("tide", "a1"), "vm-1")
    assert (await loading).is_ok()
    assert not bed.owner.slots.ready(AdapterKey("tide", "a1"), 0)


async def test_a_request_that_cannot_wait_long_enough_gets_a_retry_time(bed):
    await fill(bed)
    refused = await bed.load("new")
    assert refused.unwrap_err().kind is ErrorKind.NO_SLOT
    assert refused.unwrap_err().retry_after_s > 0
    orders = len(bed.engine.orders)
    assert orders == SLOTS
