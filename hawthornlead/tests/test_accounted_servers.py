"""Tests of servers whose connections are held in an account, over real connections."""

import asyncio
import errno
import socket
import time

import pytest
from tornado import httputil
from tornado.netutil import bind_sockets

from hawthornlead.gateway.caller_calls import LINGER_S, CallerCall, CallerDispatcher
from hawthornlead.gateway.entry_servers import QueryServer
from hawthornlead.resources.accounts import (
    CONNECTION_BYTES,
    SOCKET_BUFFER_BYTES,
    Account,
    Limits,
)
from hawthornlead.resources.reading_turns import ReadingTurns
from hawthornlead.resources.servers import AccountedServer, _Listener

from .gateways import free_ports

MIB = 1 << 20
MAX_BODY_BYTES = 1000
# What an ordinary request is allowed to wait for, in passes of the event loop.
MANY_PASSES = 400


class Served:
    """A server whose handler answers once ``may_answer`` is set."""

    def __init__(self, held_bytes: int = 8 * MIB):
        self.skew_s = 0.0
        self.account = Account(Limits(held_bytes, 100, 60.0), self._now)
        self.may_answer = asyncio.Event()
        self.calls: list[CallerCall] = []
        self.max_body_bytes = MAX_BODY_BYTES
        self.dispatcher = CallerDispatcher(
            self._handle, self._now, lambda: self.max_body_bytes
        )
        self.server = AccountedServer(
            self.dispatcher, account=self.account, idle_connection_timeout=30.0
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    def _now(self) -> float:
        return time.monotonic() + self.skew_s

    async def _handle(self, call: CallerCall) -> None:
        self.calls.append(call)
        await self.may_answer.wait()
        call.answer(200, "OK", httputil.HTTPHeaders(), b"here")

    async def ask(self, data: bytes):
        """Open a connection and send ``data``."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        return reader, writer


async def until(condition) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def served():
    served = Served()
    yield served
    served.server.stop()
    await served.server.close_all_connections()


GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"


async def test_the_system_keeps_little_for_each_connection(served):
    """Guards against receive buffers that grow to megabytes for each client."""
    _, writer = await served.ask(GET)
    await until(lambda: served.calls)
    accepted = served.calls[0]._connection.stream.socket
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        # Linux doubles what is set.
        size = accepted.getsockopt(socket.SOL_SOCKET, option)
        assert size <= 2 * SOCKET_BUFFER_BYTES
    writer.close()


async def test_what_a_client_sends_behind_its_request_is_held(served):
    """Guards against bytes in buffers that no account knows of."""
    _, writer = await served.ask(GET)
    await until(lambda: served.calls)
    before = served.account.used_bytes
    writer.write(b"x" * MIB)
    await until(lambda: served.account.used_bytes >= before + SOCKET_BUFFER_BYTES)
    served.may_answer.set()


async def test_nothing_is_held_after_a_connection_has_ended(served):
    """Guards against an account that fills up with ordinary requests."""
    served.may_answer.set()
    for data in (GET, GET + GET, GET[:-2], LARGE + b"x", b"bytes\r\n\r\n", b""):
        _, writer = await served.ask(data)
        await asyncio.sleep(0.05)
        writer.close()
    await until(lambda: not served.account.connections)
    await until(lambda: not served.account.used_bytes)


async def test_an_idle_connection_holds_no_request(served):
    """Guards against requests that are held for as long as a connection is kept."""
    served.may_answer.set()
    reader, writer = await served.ask(GET)
    await reader.readuntil(b"here")
    await until(lambda: served.account.used_bytes == CONNECTION_BYTES)
    writer.write(GET)
    await reader.readuntil(b"here")
    await until(lambda: served.account.used_bytes == CONNECTION_BYTES)


async def test_a_refused_client_that_sends_on_is_closed(served):
    """Guards against refused clients that are read on for ever."""
    reader, writer = await served.ask(LARGE)
    answer = await reader.readuntil(b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413")
    assert served.account.connections == 1
    served.account.sweep()
    assert served.account.connections == 1
    served.skew_s = LINGER_S
    served.account.sweep()
    assert served.account.connections == 0
    writer.close()


async def test_a_refused_client_is_not_asked_for_its_body(served):
    """Guards against bodies that are sent only to be dropped."""
    asking = LARGE[:-2] + b"Expect: 100-continue\r\n\r\n"
    reader, writer = await served.ask(asking)
    answer = await reader.readuntil(b"\r\n\r\n")
    assert b"Connection: close" in answer
    served.skew_s = LINGER_S
    served.account.sweep()
    answer += await reader.read()
    writer.close()
    assert b"100 (Continue)" not in answer


class CountedTurns(ReadingTurns):
    """Turns, and how many were taken."""

    def __init__(self):
        super().__init__()
        self.taken = 0

    def take(self) -> asyncio.Future:
        """Take a turn."""
        self.taken += 1
        return super().take()


async def test_a_body_in_chunks_is_read_in_turns(served):
    """Guards against a crowd of small chunks that holds up heartbeats and leases."""
    served.max_body_bytes = MIB
    turns = served.dispatcher._turns = CountedTurns()
    chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    _, writer = await served.ask(head + 16 * chunk + b"0\r\n\r\n")
    await until(lambda: served.calls)
    assert len(served.calls[0].body) == 16 * 0x1000
    assert turns.taken >= 15
    writer.close()


async def test_a_query_with_a_large_body_is_refused():
    """Guards against bodies that nobody reads, at the addresses for queries."""
    account = Account(Limits(64 * MIB, 100, 60.0), time.monotonic)
    (port,) = free_ports(1)
    server = QueryServer(f"127.0.0.1:{port}", {}, account, time.monotonic)
    server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")
    answer = await asyncio.wait_for(reader.readline(), 20)
    assert answer.startswith(b"HTTP/1.1 413")
    writer.close()
    server.stop()


class NoDescriptors:
    """A listening socket before a process that has no descriptors left."""

    def __init__(self, listening: socket.socket):
        self._listening = listening
        self.asked = 0
        self.spent = True

    def fileno(self) -> int:
        """Return the descriptor of the socket behind it."""
        return self._listening.fileno()

    def accept(self):
        """Fail as the system does, as long as descriptors are spent."""
        self.asked += 1
        if self.spent:
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listening.accept()

    def close(self) -> None:
        """Close the socket."""
        self._listening.close()


async def test_a_listener_without_descriptors_pauses_and_goes_on():
    """Guards against an event loop that spins on a connection it can't accept."""
    accepted = []
    sockets = bind_sockets(0, "127.0.0.1")
    listening = NoDescriptors(sockets[0])
    listener = _Listener(listening, lambda connection, _: accepted.append(connection))
    client = socket.create_connection(sockets[0].getsockname())
    await until(lambda: listening.asked)
    for _ in range(MANY_PASSES):
        await asyncio.sleep(0)
    assert listening.asked < MANY_PASSES / 4
    listening.spent = False
    await until(lambda: accepted)
    listener.close()
    for each in (client, *accepted):
        each.close()


async def test_one_body_is_read_on_in_each_pass_of_the_event_loop():
    """Guards against a crowd of bodies that holds up heartbeats and leases."""
    turns, granted = ReadingTurns(), []

    async def read(number: int) -> None:
        for _ in range(3):
            await turns.take()
            granted.append(number)

    tasks = [asyncio.create_task(read(number)) for number in range(20)]
    most = before = 0
    while not all(task.done() for task in tasks):
        await asyncio.sleep(0)
        most, before = max(most, len(granted) - before), len(granted)
    assert len(granted) == 60
    assert most <= 2
