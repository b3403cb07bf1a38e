"""A server of raw connections, developed from ``review/standins.py``."""

import asyncio
import contextlib
import itertools
import socket
import struct


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that its end can't be taken for that of a response."""
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Accepts connections and hands each to ``serve``."""

    def __init__(self):
        self.address = ""
        self._servers: list[asyncio.Server] = []
        self._connections: set[asyncio.Task] = set()
        self._numbers = itertools.count(1)

    async def listen(self, host: str, label: str = "", port: int = 0) -> str:
        """Listen on a port that the system chooses, and return the address.

        ``label`` tells ``serve`` by which address a connection came.
        """

        async def accept(reader, writer) -> None:
            await self._accept(reader, writer, label)

        server = await asyncio.start_server(accept, host, port, backlog=512)
        self._servers.append(server)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        for server in self._servers:
            server.close()
        self._servers.clear()
        for task in tuple(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(self, reader, writer, label: str) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self.serve(reader, writer, label)
        except asyncio.CancelledError:
            reset(writer)
        finally:
            self._connections.discard(task)
            writer.close()

    async def serve(self, reader, writer, label: str) -> None:
        """Serve one connection."""
        raise NotImplementedError
