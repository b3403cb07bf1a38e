"""Processes that stand still while they wait for others."""

import asyncio
import socket
import time

import pytest

from hawthornlead.connections import connection_pools
from hawthornlead.connections.connection_pools import ConnectionPool
from hawthornlead.timers import TimerService

CONNECT_S = 0.2
STANDSTILL_S = 0.5


@pytest.mark.parametrize("turns", [1, 2, 3, 4])
async def test_a_connection_established_during_a_standstill_is_no_failure(turns):
    """Guards against live targets found unreachable by a process that was suspended."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    pool = ConnectionPool(
        timers=TimerService(), connect_s=CONNECT_S, unacknowledged_s=1.0
    )
    opening = asyncio.create_task(pool.open(f"{host}:{port}"))
    for _ in range(turns):
        await asyncio.sleep(0)
    time.sleep(STANDSTILL_S)
    opened = await opening
    assert opened.is_ok(), opened.err_value
    opened.ok_value.stream.close()
    listener.close()


async def test_a_connection_that_isnt_established_in_time_is_tried_once():
    """Guards against a second wait for a target that drops all packets."""
    pool = ConnectionPool(
        timers=TimerService(), connect_s=CONNECT_S, unacknowledged_s=1.0
    )
    tries = []

    async def connect(host, port, timeout):
        tries.append(timeout)
        await asyncio.sleep(timeout)
        raise connection_pools.GaveUp

    pool._client.connect = connect
    opened = await pool.open("127.0.0.1:9")
    assert opened.is_err()
    assert tries == [CONNECT_S]
