"""Waiting until a VM that is being dialled is connected."""

import asyncio
from collections import defaultdict


class Arrivals:
    """The tasks that wait for connections with VMs.

    ::

        if not await arrivals.wait("gijon-7", 0.1):
            return unavailable("gijon-7 is not connected")
    """

    def __init__(self):
        self._waiting: dict[str, set[asyncio.Future]] = defaultdict(set)

    def on_connected(self, vm: str) -> None:
        """Wake the tasks that wait for a VM that has been connected."""
        for waiting in self._waiting.pop(vm, ()):
            if not waiting.done():
                waiting.set_result(True)

    async def wait(self, vm: str, wait_s: float) -> bool:
        """Wait until a VM is connected; return False after ``wait_s`` seconds."""
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[vm].add(waiting)
        try:
            async with asyncio.timeout(wait_s):
                return await waiting
        except TimeoutError:
            return False
        finally:
            self._waiting[vm].discard(waiting)
            if not self._waiting[vm]:
                del self._waiting[vm]
