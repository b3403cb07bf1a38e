"""Tests of questions for places at engines that fail or that have no good answer.

The load is that of ``test_engine_places``.
"""

import asyncio

from .fakes_admission import simulate
from .test_engine_places import (
    BATCH,
    ENGINE,
    KEY,
    STREAM,
    EngineSite,
    fill,
    gate,
    question,
)


def test_no_request_waits_for_a_place_at_an_owner_that_just_gave_no_answer():
    """The owner hangs and its engine seemed full: a request waited there for 1.6 s."""

    async def play():
        site = EngineSite(engines=1)
        for _ in range(BATCH):
            site.loads["vm-7"].on_request_started("e0", KEY)
        site.silent.add("vm-0")
        began = site.timers.now()
        assert (await site.place("vm-7")).is_ok()
        assert site.timers.now() - began < 0.75

    simulate(play())


def test_who_waits_at_an_engine_whose_owner_stops_is_sent_directly():
    """The ends of requests go to the next owner, so the former one frees no place."""

    async def play():
        site = EngineSite(engines=1)
        await fill(site)
        waiting = asyncio.ensure_future(site.place("vm-7"))
        await asyncio.sleep(0.2)
        assert gate(site).waiting == 1
        site.owned["e0"].finished = True
        assert (await asyncio.wait_for(waiting, 0.15)).is_ok()
        assert site.report.counts["direct"] == 1

    simulate(play())


def test_who_waits_at_an_engine_that_is_gone_waits_no_longer():
    async def play():
        site = EngineSite(engines=1)
        await fill(site)
        waiting = asyncio.ensure_future(site.place("vm-7"))
        await asyncio.sleep(0.2)
        site.engine_places["vm-0"].discard("e0")
        await asyncio.wait_for(waiting, 0.05)

    simulate(play())


def test_a_request_beyond_the_memory_of_one_engine_goes_to_another():
    """One request fills the memory of an engine, while another engine runs six.

    The first engine looked less busy, so it was asked six times, and the request then
    waited there until it was refused.
    """

    async def play():
        site = EngineSite(engines=2)
        tokens = ENGINE.kv_tokens - 1000
        assert (await question(site, tokens=tokens)).unwrap().reserved
        for _ in range(6):
            site.loads["vm-7"].on_request_started("e1", KEY)
        request = STREAM._replace(prompt_tokens=2000)
        began = site.timers.now()
        placed = await site.place("vm-7", request=request)
        assert placed.unwrap().entry.target == "e1"
        assert site.timers.now() - began < 0.1

    simulate(play())
