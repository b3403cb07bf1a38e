"""Questions to other VMs that wait for a place, and what ends their wait early.

A frozen VM keeps its connections, so only an unanswered short question shows that it
hangs. Those that wait there for places then end too::

    reply = await questions.call("edge-3", message, timeout_s=0.9, waits=True)
"""

import asyncio
from collections import defaultdict
from typing import Any

from result import Result

from ..errors import ErrorKind
from ..mesh.calls import unavailable


class WaitingQuestions:
    """The questions of this VM, by the VM that was asked."""

    def __init__(self, mesh):
        self._mesh = mesh
        self._waiting: dict[str, set[asyncio.Task]] = defaultdict(set)

    async def call(
        self, vm: str, message: Any, timeout_s: float, waits: bool
    ) -> Result[Any, Any]:
        """Ask a VM; ``waits`` if it may answer only when a place is free."""
        if waits:
            return await self._wait(vm, message, timeout_s)
        reply = await self._mesh.call(vm, message, timeout_s)
        if is_silent(reply):
            for call in self._waiting.pop(vm, ()):
                call.cancel()
        return reply

    async def _wait(self, vm: str, message: Any, timeout_s: float) -> Result[Any, Any]:
        call = asyncio.ensure_future(self._mesh.call(vm, message, timeout_s))
        self._waiting[vm].add(call)
        try:
            await asyncio.wait({call})
            if call.cancelled():
                return unavailable(f"{vm} answers no question")
            return call.result()
        finally:
            call.cancel()
            self._waiting[vm].discard(call)


def is_silent(reply: Result[Any, Any]) -> bool:
    """Whether a reply shows that the VM didn't answer."""
    return reply.is_err() and reply.err_value.kind is ErrorKind.PEER_UNAVAILABLE
