"""Resolves numeric IP addresses without a thread.

All addresses of the system are ``IP:PORT``. Tornado's resolver resolves even those in
a thread, which costs two thread switches for each new connection.
"""

import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver, Resolver, is_valid_ip


class NumberResolver(Resolver):
    """Resolves IP addresses directly, and host names by the event loop's resolver.

    ::

        client = TCPClient(resolver=NumberResolver())
    """

    def initialize(self) -> None:
        """Create the resolver for host names."""
        self._names = DefaultLoopResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address families and socket addresses of a host."""
        if not is_valid_ip(host):
            return await self._names.resolve(host, port, family)
        found = socket.getaddrinfo(
            host, port, family, socket.SOCK_STREAM, 0, socket.AI_NUMERICHOST
        )
        return [(info[0], info[4]) for info in found]
