"""Resolving of addresses that are IP numbers, without a thread.

All addresses of the system are ``IP:PORT``. Tornado's resolver hands even those to a
thread, which costs a new connection two changes of thread.
"""

import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver, Resolver, is_valid_ip


class NumberResolver(Resolver):
    """Answers for IP numbers at once; names go to the loop's resolver.

    ::

        client = TCPClient(resolver=NumberResolver())
    """

    def initialize(self) -> None:
        """Make the resolver for names."""
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
