"""Cuts of the paths between one VM of a test and its targets.

Everything else of the VM goes on: its callers, the store and the other VMs::

    async with cut_paths(deployment.gateways[0], targets, Cut.SILENT):
        answer = await deployment.ask("/safe/x", "GET", vm=0)
"""

import asyncio
from collections import deque
from collections.abc import Iterable
from contextlib import asynccontextmanager
from enum import Enum

from tornado.util import TimeoutError as GaveUp

from hawthornlead.connections.connection_pools import Connection
from hawthornlead.gateway.gateways import Gateway

from .standins.platform_engine import PlatformEngine


class Cut(Enum):
    """What becomes of new and of open connections to the targets.

    Both hang, new ones are refused and open ones are reset, or open ones go on working
    while new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    NO_NEW = "no new"


@asynccontextmanager
async def cut_paths(gateway: Gateway, targets: Iterable[PlatformEngine], cut: Cut):
    """Cut a VM's paths to some targets."""
    addresses = {target.address for target in targets}
    pool = gateway._connections._pool
    client, connect = pool._client, pool._client.connect
    silent = await asyncio.start_server(_accept_and_wait, "127.0.0.1", 0)
    silent_port = silent.sockets[0].getsockname()[1]

    async def refuse(host: str, port: int, timeout: float):
        if f"{host}:{port}" not in addresses:
            return await connect(host, port, timeout=timeout)
        if cut is not Cut.SILENT:
            raise ConnectionRefusedError("cut")
        await asyncio.sleep(timeout)
        raise GaveUp

    client.connect = refuse
    for address in addresses:
        kept = len(pool._kept.get(address, ()))
        if cut is Cut.NO_NEW:
            continue
        pool.forget(address)
        if cut is Cut.SILENT:
            streams = [
                await connect("127.0.0.1", silent_port, timeout=1.0)
                for _ in range(kept)
            ]
            pool._kept[address] = deque()
            for stream in streams:
                pool.keep(address, Connection(stream, 0), 60.0)
    try:
        yield
    finally:
        client.connect = connect
        silent.close()


async def _accept_and_wait(reader, writer) -> None:
    """Accept a connection, and answer nothing on it."""
    try:
        while await reader.read(65536):
            pass
    finally:
        writer.close()
