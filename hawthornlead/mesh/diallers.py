"""Dialling of other VMs: one task for each redials it while it is not connected.

The task of a VM pauses while any connection with it is open, whichever end dialled it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Container
from typing import Any, NamedTuple

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from ..settings import Settings
from ..tasks import TaskSet
from ..timers import TimerService


class _Dialled(NamedTuple):
    address: str
    task: asyncio.Task


class Dialler:
    """Keeps this VM connected with those named to ``set_peers``.

    ``run`` serves one connection to its end, given the socket and the VM's name;
    ``options`` are those of the websockets library.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        timers: TimerService,
        rng: random.Random,
        run: Callable[[Any, str], Awaitable[None]],
        options: dict[str, Any],
    ):
        self._vm = settings["VM_NAME"]
        self._heartbeat_s = settings["HEARTBEAT_S"]
        self._timers = timers
        self._rng = rng
        self._run = run
        self._options = options
        self._dialled: dict[str, _Dialled] = {}
        self._disconnected: dict[str, asyncio.Event] = {}
        self._tasks = TaskSet()

    def set_peers(
        self, peers: dict[str, str], eager: Container[str] = frozenset()
    ) -> None:
        """Dial these VMs, by name and address (IP:PORT), and no others.

        Those that are ``eager`` are dialled at once, whichever name is the lesser.
        """
        for vm, dialled in tuple(self._dialled.items()):
            if peers.get(vm) != dialled.address:
                dialled.task.cancel()
                del self._dialled[vm]
        for vm, address in peers.items():
            if vm == self._vm or vm in self._dialled:
                continue
            at_once = vm in eager or self._vm < vm
            task = self._tasks.spawn(self._keep_dialled(vm, address, at_once))
            self._dialled[vm] = _Dialled(address, task)

    def stop(self) -> None:
        """Stop dialling; connections that this end dialled are closed."""
        self._tasks.cancel()
        self._dialled.clear()

    def on_connected(self, vm: str) -> None:
        """Stop dialling a VM that has been connected."""
        self._disconnected_event(vm).clear()

    def on_lost(self, vm: str) -> None:
        """Dial a VM again that has lost its last connection."""
        self._disconnected_event(vm).set()

    async def _keep_dialled(self, vm: str, address: str, at_once: bool) -> None:
        # The lesser name dials first, so that most pairs never have two.
        pause_s = 0.0 if at_once else self._heartbeat_s
        while True:
            await self._timers.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            await self._disconnected_event(vm).wait()
            try:
                ws = await connect(f"ws://{address}/", proxy=None, **self._options)
            except (OSError, EOFError, ValueError, WebSocketException):
                # ValueError: the address is invalid. It comes from outside and may be
                # corrected there, so dialling continues.
                pause_s = min(
                    max(2 * pause_s, self._heartbeat_s / 4), 4 * self._heartbeat_s
                )
                continue
            await self._run(ws, vm)
            pause_s = self._heartbeat_s / 4

    def _disconnected_event(self, vm: str) -> asyncio.Event:
        if vm not in self._disconnected:
            self._disconnected[vm] = asyncio.Event()
            self._disconnected[vm].set()
        return self._disconnected[vm]
