"""Tests of the soak's parts: deck, links, engines, and the logs that it reads."""

import asyncio
from collections import Counter
from functools import partial
from random import Random

import pytest

from hawthornlead.tests.soak_decks import Deck
from hawthornlead.tests.soak_gateway_fleet import GatewayFleet
from hawthornlead.tests.soak_gateway_records import Journal
from hawthornlead.tests.soak_links import Link
from hawthornlead.tests.standins.incarnations import MODEL_LOAD_S, Incarnation


class Hurt:
    """The least that a deck deals faults to."""

    def __init__(self):
        self.rng = Random(1)
        self.injected = Counter()


async def test_a_fault_that_found_nothing_to_hurt_comes_again():
    deck, hurt, tries = Deck(), Hurt(), []

    @deck.fault("shy")
    async def shy(world):
        tries.append(1)
        world.injected["shy"] += len(tries) > 2

    loop = asyncio.get_running_loop()
    await deck.play(hurt, loop.time() + 0.2, at_once=1, pause_s=0.01)
    assert hurt.injected["shy"] > 0


async def test_a_fault_that_raises_ends_the_run():
    """A fault raised within a run, its VM stayed down, and the run blamed the VM."""
    deck = Deck()

    @deck.fault("faulty")
    async def faulty(world):
        raise LookupError

    until = asyncio.get_running_loop().time() + 0.2
    with pytest.raises(LookupError):
        await deck.play(Hurt(), until, at_once=1, pause_s=0.01)


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def _linked():
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    link = Link(f"127.0.0.1:{port}", by_source=True)
    await link.start()
    host, _, port = link.address.rpartition(":")
    open_from = partial(asyncio.open_connection, host, int(port))
    return server, link, open_from


async def _said(connection, data: bytes) -> bytes:
    reader, writer = connection
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(100), 0.3)
    except TimeoutError:
        return b"(nothing)"


async def test_a_link_cuts_one_source_and_one_way():
    server, link, open_from = await _linked()
    one = await open_from(local_addr=("127.77.1.1", 0))
    two = await open_from(local_addr=("127.77.2.1", 0))
    link.path("127.77.1.1").cut(out=False)
    assert await _said(one, b"a") == b"(nothing)"
    assert await _said(two, b"b") == b"b"
    link.path("127.77.1.1").mend()
    assert await one[0].read(100) == b"a"
    link.stop()
    server.close()


async def test_a_hushed_link_is_silent_for_good_and_new_connections_work():
    server, link, open_from = await _linked()
    one = await open_from()
    assert await _said(one, b"a") == b"a"
    link.hush()
    assert await _said(one, b"b") == b"(nothing)"
    assert await _said(await open_from(), b"c") == b"c"
    link.stop()
    server.close()


async def test_a_link_that_refuses_is_no_open_port():
    server, link, open_from = await _linked()
    one = await open_from()
    assert await _said(one, b"a") == b"a"
    link.refuse()
    link.reset()
    with pytest.raises(ConnectionResetError):
        await one[0].read(100)
    with pytest.raises(ConnectionRefusedError):
        await open_from()
    await link.restart()
    assert await _said(await open_from(), b"c") == b"c"
    link.stop()
    server.close()


def test_errors_in_logs_are_those_that_nothing_has_foreseen(tmp_path):
    lines = [
        '{"level": "INFO", "event": null, "message": "all is well"}',
        '{"level": "ERROR", "event": 313, "message": "313 RECORD_UNUSABLE i-5"}',
        '{"level": "ERROR", "event": null, "message": "a request failed"}',
        '{"level": "ERROR", "event": nu',
        "Traceback (most recent call last):",
    ]
    (tmp_path / "vm-1.log").write_text("\n".join(lines))
    fleet = GatewayFleet(tmp_path, Journal(), Random(1), 1)
    errors, count = fleet.read_errors()
    assert count == 5
    assert errors == [
        "vm-1: a request failed: None",
        "vm-1: Traceback (most recent call last):",
    ]


async def test_a_late_order_meets_the_next_start_of_its_engine():
    """A load is left unanswered, its engine restarts under its id, then it arrives.

    Both starts have accepted no order before, so that the count it names holds again.
    """
    own = [
        Incarnation("i-1", start, "tide", 4, Journal(), Random(1)) for start in (1, 2)
    ]
    order = {"op": "load", "model": "tide", "holder": "vm-1", "fence": 1}
    assert own[1].carry_out({**order, "precondition": 1}, {}) == 409
    assert own[1].carry_out({**order, "precondition": 0}, {}) == 202
    await asyncio.sleep(MODEL_LOAD_S + 0.05)
    assert own[1].models == {"tide": 1}
    assert own[0].models == {}


async def test_an_engine_ordered_beyond_its_room_is_told():
    journal = Journal()
    own = Incarnation("i-1", 1, "tide", 4, journal, Random(1))
    own.models = {"tide": 1}
    for count, adapter in enumerate(("a1", "a2", "a3", "a4")):
        order = {"op": "load", "model": "tide", "adapter": adapter, "holder": "vm-1"}
        own.carry_out({**order, "fence": 1, "precondition": count}, {})
    assert len(journal.overloaded) == 1
    assert own.overloaded.is_set()


async def test_an_unload_waits_for_the_runs_of_its_adapter():
    own = Incarnation("i-1", 1, "tide", 4, Journal(), Random(1))
    own.models, own.adapters = {"tide": 1}, {"a1": 1}
    own.used["a1"] = 1
    order = {"op": "unload", "model": "tide", "adapter": "a1", "holder": "vm-1"}
    assert own.carry_out({**order, "fence": 1, "precondition": 0}, {}) == 202
    assert own.unable("tide", "a1") == 503
    own.unload_now("a1")
    assert own.unable("tide", "a1") == 421
