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
import socket
import struct
from typing import NamedTuple

from .fleets import Fleet

PIECE = 65536
# For how long the end of a silenced connection is kept from its other end.
HUSHED_END_S = 20.0


class Swap(NamedTuple):
    """Bytes put in place of others; both are equally long."""

    near: bytes
    far: bytes


class Path:
    """The connections of one source through a link, and how they fare."""

    def __init__(self):
        self.out = asyncio.Event()
        self.back = asyncio.Event()
        self.hushed = asyncio.Event()
        self.delay_s = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.mend()

    def cut(self, out: bool = True, back: bool = True) -> None:
        """Pass nothing in the directions named, on open connections and new ones."""
        if out:
            self.out.clear()
        if back:
            self.back.clear()

    def mend(self) -> None:
        """Pass all again, also what waited."""
        self.out.set()
        self.back.set()

    def hush(self) -> None:
        """Let the connections that are open now be silent for good."""
        self.hushed.set()
        self.hushed = asyncio.Event()

    def reset(self) -> None:
        """Reset the connections that are open now."""
        for writer in tuple(self.writers):
            _reset(writer)


class Link:
    """One forwarder: what connects to ``address`` speaks with ``upstream``.

    With ``by_source`` each source address has a path of its own, and what goes on to
    ``upstream`` comes from the same address.
    """

    def __init__(
        self, upstream: str, swaps: tuple[Swap, ...] = (), by_source: bool = False
    ):
        self._swaps = swaps
        self._by_source = by_source
        self._paths: dict[str, Path] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.upstream = upstream
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._joined, host, int(port))
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def restart(self) -> None:
        """Listen again where the link listened before it was refused."""
        if self._server is None:
            await self.start(self.address)

    def refuse(self) -> None:
        """Refuse new connections, as a port does on which nobody listens."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def path(self, source: str = "") -> Path:
        """Return the path of one source, of all where they aren't told apart."""
        return self._paths.setdefault(source if self._by_source else "", Path())

    def cut(self) -> None:
        """Pass nothing, on open connections and on new ones."""
        for path in self._all():
            path.cut()

    def mend(self) -> None:
        """Pass all again, also what waited."""
        for path in self._all():
            path.mend()

    def hush(self) -> None:
        """Let the connections that are open now be silent for good."""
        for path in self._all():
            path.hush()

    def reset(self) -> None:
        """Reset the connections that are open now."""
        for path in self._all():
            path.reset()

    def stop(self) -> None:
        """Close everything."""
        self.refuse()
        for task in self._tasks:
            task.cancel()

    def _all(self) -> list[Path]:
        if not self._by_source:
            self.path()
        return list(self._paths.values())

    def _joined(self, reader, writer) -> None:
        task = asyncio.get_running_loop().create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer) -> None:
        peer = writer.get_extra_info("peername")
        if peer is None:
            return
        source = (peer[0], 0) if self._by_source else None
        path = self.path(peer[0])
        hushed = path.hushed
        host, _, port = self.upstream.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port), local_addr=source
            )
        except OSError:
            _reset(writer)
            return
        out = [(swap.near, swap.far) for swap in self._swaps]
        back = [(swap.far, swap.near) for swap in self._swaps]
        ends = {writer, far_writer}
        path.writers |= ends
        pumps = [
            asyncio.create_task(
                self._pump(path, path.out, reader, far_writer, out, hushed)
            ),
            asyncio.create_task(
                self._pump(path, path.back, far_reader, writer, back, hushed)
            ),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            path.writers -= ends
            for pump in pumps:
                pump.cancel()
            writer.close()
            far_writer.close()

    async def _pump(self, path, passing, reader, writer, changes, hushed) -> None:
        try:
            while data := await reader.read(PIECE):
                if path.delay_s:
                    await asyncio.sleep(path.delay_s)
                await passing.wait()
                if hushed.is_set():
                    continue
                for old, new in changes:
                    data = data.replace(old, new)
                writer.write(data)
                await writer.drain()
            await passing.wait()
            if hushed.is_set():
                # The end of a silent connection doesn't arrive either.
                await asyncio.sleep(HUSHED_END_S)
        except OSError:
            # A reset on one side is one on the other, never an orderly end.
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its other end sees a reset."""
    if not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )
    writer.transport.abort()


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
