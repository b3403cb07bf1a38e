"""What the kernel's time-out for unacknowledged bytes ends, on real sockets."""

import asyncio
import socket

import pytest

from hawthornlead.connections.connection_pools import ConnectionPool
from hawthornlead.errors import ErrorKind
from hawthornlead.gateway.target_connections import (
    UNACKNOWLEDGED_TIMEOUT_S,
    TargetConnections,
)
from hawthornlead.gateway.target_liveness import LONG_SILENCE_PROBES, PROBE_AFTER_S
from hawthornlead.gateway.target_probes import PROBE_TIMEOUT_S
from hawthornlead.timers import TimerService

# More than the buffers of both ends hold, so that bytes wait for the reader.
BODY_BYTES = 16 << 20
# Longer than a sound target pauses.
PAUSE_S = 1.5


def option(stream, level: int, name: int) -> int:
    """Return a socket option of a stream."""
    return stream.socket.getsockopt(level, name)


async def test_no_idle_connection_to_a_target_or_vm_ends_by_keep_alive_probes():
    """Guards against kept connections that end by the time-out for sent bytes.

    With keep-alive probes the kernel would end an idle connection by it too.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connections = TargetConnections(timers=TimerService())
    exchange = (await connections.open(address)).ok_value
    timeout_ms = option(exchange._stream, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout_ms == UNACKNOWLEDGED_TIMEOUT_S * 1000
    assert not option(exchange._stream, socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    exchange.close()
    listener.close()


def test_the_time_out_comes_after_the_proofs_that_end_requests():
    """Guards against a pause that resets connections before a target counts as lost."""
    long_silence_s = PROBE_AFTER_S + LONG_SILENCE_PROBES * PROBE_TIMEOUT_S
    assert PAUSE_S < long_silence_s < UNACKNOWLEDGED_TIMEOUT_S


@pytest.mark.parametrize(
    ("unacknowledged_s", "whole"), [(UNACKNOWLEDGED_TIMEOUT_S, True), (0.5, False)]
)
async def test_a_peer_that_reads_nothing_over_a_pause_still_gets_all(
    unacknowledged_s, whole
):
    """The time-out also ends a connection whose peer leaves no room for more bytes."""
    read = asyncio.get_running_loop().create_future()

    async def pause_and_read(reader, writer):
        await asyncio.sleep(PAUSE_S)
        try:
            read.set_result(len(await reader.read(-1)))
        except OSError:
            read.set_result(0)
        writer.close()

    server = await asyncio.start_server(pause_and_read, "127.0.0.1", 0, limit=1 << 16)
    host, port = server.sockets[0].getsockname()
    pool = ConnectionPool(
        timers=TimerService(), connect_s=0.5, unacknowledged_s=unacknowledged_s
    )
    stream = (await pool.open(f"{host}:{port}")).ok_value.stream
    written = asyncio.ensure_future(stream.write(bytes(BODY_BYTES)))
    await asyncio.wait([written], timeout=PAUSE_S + 5.0)
    assert (written.exception() is None) == whole
    stream.close()
    assert (await read == BODY_BYTES) == whole
    server.close()


async def test_a_connection_that_its_peer_resets_at_once_counts_as_not_opened():
    """Guards against an unanswered caller whose target's link resets a connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    pool = ConnectionPool(timers=TimerService(), connect_s=1.0, unacknowledged_s=1.0)
    connect = pool._client.connect

    async def connect_and_lose(*args, **options):
        stream = await connect(*args, **options)
        stream.close()
        return stream

    pool._client.connect = connect_and_lose
    opened = await pool.open(address)
    listener.close()
    assert opened.err_value.kind is ErrorKind.TARGET_UNREACHABLE
    assert not opened.err_value.refused
