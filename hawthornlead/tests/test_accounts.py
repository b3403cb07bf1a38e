"""Tests of the account: who gets room, and whose connection is closed for it."""

import random

import pytest

from hawthornlead.resources import process_limits as process_limits_module
from hawthornlead.resources.accounts import (
    CONNECTION_BYTES,
    LARGE_SHARE,
    SMALL_BYTES,
    Account,
    Limits,
)
from hawthornlead.resources.process_limits import OWN_FILES, process_limits
from hawthornlead.settings import default_settings

MIB = 1 << 20
SILENT_S = 60.0


class Client:
    """A client's connection, which ends as soon as it has to give way."""

    def __init__(self, name: str, account: Account):
        self.name = name
        self.open = True
        self.holding = account.open(self.close)
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve memory for the request."""
        if not self.holding.reserve(size):
            return False
        self.reserved += size
        return True

    def close(self) -> None:
        """Close the connection and drop the request."""
        if not self.open:
            return
        self.open = False
        self.holding.close()
        self.holding.release(self.reserved)
        self.reserved = 0
        self.holding.end()


class World:
    """An account whose time is played."""

    def __init__(self, held_bytes: int = 8 * MIB, connections: int = 100):
        self.now = 0.0
        limits = Limits(held_bytes, connections, SILENT_S)
        self.account = Account(limits, lambda: self.now)

    def client(self, name: str = "") -> Client:
        """Return a client that has just connected and begun a request."""
        client = Client(name, self.account)
        if client.holding is not None:
            client.holding.begin_request()
        return client


def test_an_unfinished_body_gives_way_to_an_ordinary_request():
    """Guards against a crowd that keeps all memory for as long as it likes."""
    world = World()
    crowd = [world.client() for _ in range(20)]
    world.now = 1.0
    for each in crowd:
        each.reserve(MIB)
    world.now = 5.0
    ordinary = world.client()
    assert ordinary.reserve(SMALL_BYTES // 2)
    assert ordinary.open
    assert world.account.used_bytes <= 8 * MIB


def test_a_request_at_work_gives_way_to_none():
    """Guards against requests that are cut off while a target has them."""
    world = World()
    working = world.client()
    assert working.reserve(5 * MIB)
    working.holding.begin_work()
    world.now = 100.0
    later = world.client()
    assert not later.reserve(2 * MIB)
    assert working.open


def test_large_requests_at_work_leave_room_for_small_ones():
    """Guards against refusals of ordinary requests behind large ones."""
    world = World()
    crowd = [world.client() for _ in range(50)]
    for each in crowd:
        if each.reserve(MIB // 2):
            each.holding.begin_work()
    assert world.account.used_bytes <= LARGE_SHARE * 8 * MIB
    ordinary = world.client()
    assert ordinary.reserve(SMALL_BYTES // 2)


def test_the_most_memory_for_the_longest_time_gives_way_first():
    """Guards against a slow but honest caller that pays for a crowd."""
    world = World()
    greedy = world.client()
    greedy.reserve(5 * MIB)
    world.now = 4.0
    honest = world.client()
    honest.reserve(MIB)
    world.now = 6.0
    assert world.client().reserve(MIB)
    assert not greedy.open
    assert honest.open


def test_bytes_that_a_client_does_not_take_give_way_while_its_request_runs():
    """Guards against streams whose callers never read them."""
    world = World()
    reader = world.client()
    reader.holding.begin_work()
    assert reader.holding.set_buffered(5 * MIB)
    world.now = 3.0
    assert world.client().reserve(MIB)
    assert not reader.open


def test_the_longest_silent_connection_gives_way_to_a_new_one():
    """Guards against silent connections that use up all descriptors."""
    world = World(connections=32)
    silent = []
    for _ in range(32):
        silent.append(world.client())
        world.now += 0.1
    assert world.client().holding is not None
    assert not silent[0].open
    assert silent[-1].open
    assert world.account.connections <= 32


def test_no_connection_is_accepted_while_all_are_at_work():
    """Guards against more descriptors than the process may have."""
    world = World(connections=4)
    for _ in range(4):
        world.client().holding.begin_work()
    assert world.client().holding is None
    assert world.account.connections == 4


def test_what_is_closed_but_not_freed_is_held_on():
    """Guards against heads that are parsed at once in place of those just closed.

    Their memory is free only after the event loop has ended their requests.
    """
    world = World(held_bytes=MIB)
    closed = []
    for _ in range(20):
        holding = world.account.open(lambda: None)
        holding.give_way = holding.close
        closed.append((holding, holding.hold_head(MIB // 4)))
        world.now += 1.0
    assert sum(held for _, held in closed) <= 4
    assert world.account.used_bytes <= MIB
    for holding, _ in closed:
        holding.close()
        holding.end()
    assert world.account.used_bytes == 0


def test_a_client_that_is_silent_within_a_request_is_closed():
    """Guards against connections that nothing ever ends."""
    world = World()
    silent, answered = world.client(), world.client()
    answered.holding.begin_work()
    world.now = SILENT_S + 1
    world.account.sweep()
    assert not silent.open
    assert answered.open


def test_nothing_is_held_after_any_course_of_events():
    """Guards against bytes that are never released, or released twice."""
    for seed in range(50):
        rng = random.Random(seed)
        world = World(held_bytes=4 * MIB, connections=16)
        clients = []
        for _ in range(400):
            world.now += rng.random()
            clients = [each for each in clients if each.open]
            step = rng.randrange(6)
            if step == 0 or not clients:
                client = world.client()
                clients += [client] if client.holding is not None else []
                continue
            client = rng.choice(clients)
            if step == 1:
                client.reserve(rng.randrange(MIB))
            elif step == 2:
                client.holding.set_buffered(rng.randrange(MIB))
            elif step == 3:
                client.holding.hold_head(rng.randrange(SMALL_BYTES))
            elif step == 4:
                client.holding.hold_unread()
            else:
                client.close()
            assert 0 <= world.account.used_bytes <= 4 * MIB
            assert world.account.connections <= 16
        for client in clients:
            client.close()
        assert world.account.used_bytes == 0
        assert world.account.connections == 0


@pytest.mark.parametrize("files", [64, 256, 4096])
def test_clients_get_at_most_half_of_the_descriptors(monkeypatch, files):
    """Guards against a process that can't connect to its targets."""
    read = process_limits_module.resource
    monkeypatch.setattr(read, "getrlimit", lambda kind: (files, files))
    limits = process_limits(default_settings())
    assert 2 * limits.connections + OWN_FILES <= files


def test_the_default_memory_is_for_more_than_the_largest_request_and_answer():
    """Guards against a default that a client within its limits meets in calm."""
    limits = process_limits(default_settings())
    assert limits.held_bytes * LARGE_SHARE >= 2 * (16 * MIB) + CONNECTION_BYTES
