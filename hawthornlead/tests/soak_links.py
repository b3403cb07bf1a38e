"""The network of the long run: small forwarders that can be cut or go silent.

Each VM has a link of its own to the store and one to each other VM. A cut link
passes nothing until it is mended, then all that waited, as TCP does; a hushed one
never passes anything more on the connections open then, while new ones work.

VMs learn one another's addresses from the store. So a VM's link to the store puts,
in what it reads, the address of its own link in place of each other VM's address,
and the other way round in what it writes. Both are equally long, so that no length
in the HTTP between has to change.
"""

import asyncio
from typing import NamedTuple

from .fleets import Fleet

PIECE = 65536


class Swap(NamedTuple):
    """Bytes put in place of others; both are equally long."""

    near: bytes
    far: bytes


class Link:
    """One forwarder: what connects to ``address`` speaks with ``upstream``."""

    def __init__(self, upstream: str, swaps: tuple[Swap, ...] = ()):
        self._upstream = upstream
        self._swaps = swaps
        self._passing = asyncio.Event()
        self._passing.set()
        self._hush = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._joined, host, int(port))
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def cut(self) -> None:
        """Pass nothing, on open connections and on new ones."""
        self._passing.clear()

    def mend(self) -> None:
        """Pass all again, also what waited."""
        self._passing.set()

    def hush(self) -> None:
        """Let the connections that are open now be silent for good."""
        self._hush.set()
        self._hush = asyncio.Event()

    def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def _joined(self, reader, writer) -> None:
        task = asyncio.get_running_loop().create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer) -> None:
        hushed = self._hush
        host, _, port = self._upstream.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        out = [(swap.near, swap.far) for swap in self._swaps]
        back = [(swap.far, swap.near) for swap in self._swaps]
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, out, hushed)),
            asyncio.create_task(self._pump(far_reader, writer, back, hushed)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            writer.close()
            far_writer.close()

    async def _pump(self, reader, writer, changes, hushed: asyncio.Event) -> None:
        try:
            while data := await reader.read(PIECE):
                await self._passing.wait()
                if hushed.is_set():
                    continue
                for old, new in changes:
                    data = data.replace(old, new)
                writer.write(data)
                await writer.drain()
            await self._passing.wait()
        except OSError:
            return


class Network:
    """All links of a fleet. Its VMs must be started after it."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self.stores: dict[str, Link] = {}
        self.peers: dict[tuple[str, str], Link] = {}

    async def start(self) -> None:
        """Put a link between every VM and the store, and between every two VMs."""
        names = sorted(self._fleet.peer_addresses)
        for place, vm in enumerate(names):
            swaps = []
            for other in names:
                if other == vm:
                    continue
                real = self._fleet.peer_addresses[other]
                near = real.replace(".1:", f".{place + 2}:")
                link = self.peers[vm, other] = Link(real)
                await link.start(near)
                swaps.append(Swap(near.encode(), real.encode()))
            store = Link(self._fleet.addresses["store"], tuple(swaps))
            await store.start()
            self.stores[vm] = store
            self._fleet.store_addresses[vm] = store.address

    def between(self, vm: str, other: str) -> list[Link]:
        """Return both links between two VMs."""
        return [self.peers[vm, other], self.peers[other, vm]]

    def around(self, vm: str) -> list[Link]:
        """Return all links between a VM and the other VMs."""
        return [link for pair, link in self.peers.items() if vm in pair]

    def stop(self) -> None:
        """Close all links."""
        for link in (*self.stores.values(), *self.peers.values()):
            link.stop()
