"""Calls to other VMs that wait for their replies."""

import asyncio
import itertools
from typing import Any, NamedTuple

from result import Err

from ..errors import ErrorKind, Failure
from .meshes import outcome_of

# When a caller may retry a request that required a VM that didn't answer: by then the
# VM has been reconnected, or its roles are being taken over.
PEER_RETRY_S = 1.0


class _Call(NamedTuple):
    vm: str
    outcome: asyncio.Future


class PendingCalls:
    """The calls of one VM that await a reply, by message id."""

    def __init__(self):
        self._ids = itertools.count(1)
        self._calls: dict[int, _Call] = {}

    def new_id(self) -> int:
        """Return an unused message id."""
        return next(self._ids)

    async def wait(self, message_id: int, vm: str, wait_s: float) -> Any:
        """Wait for the outcome of a call that was sent, ``wait_s`` seconds at most."""
        outcome = asyncio.get_running_loop().create_future()
        self._calls[message_id] = _Call(vm, outcome)
        try:
            async with asyncio.timeout(wait_s):
                return await outcome
        except TimeoutError:
            return unavailable(f"{vm} did not reply")
        finally:
            self._calls.pop(message_id, None)

    def settle(self, vm: str, message_id: int, reply: Any) -> None:
        """Settle a call; a reply that is late or from another VM is ignored."""
        call = self._calls.get(message_id)
        if call is not None and call.vm == vm:
            _settle(call, outcome_of(reply))

    def fail_all(self, vm: str) -> None:
        """Fail all calls to a VM that is no longer connected."""
        for call in tuple(self._calls.values()):
            if call.vm == vm:
                _settle(call, unavailable(f"{vm} was lost"))


def unavailable(detail: str) -> Err[Failure]:
    """Return the outcome of a call that a VM did not answer."""
    return Err(Failure(ErrorKind.PEER_UNAVAILABLE, detail, PEER_RETRY_S))


def _settle(call: _Call, outcome: Any) -> None:
    if not call.outcome.done():
        call.outcome.set_result(outcome)
