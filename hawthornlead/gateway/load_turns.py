"""Turns of prompts whose adapters are arriving at one engine.

The turn is reserved for the time at which the adapter is expected, so that the prompts
of several requests for one adapter follow one another from there on.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Ok, Result

from ..errors import Failure
from ..messages.gateways import AdapterLoaded, LoadAdapter
from ..timers import TimerService
from .engine_slots import AdapterKey, EngineSlots
from .prompt_pacers import PromptPacer, PromptTurn
from .slot_queues import SlotRequest


class Prompt(NamedTuple):
    """A prompt of a VM's request, beside streams that tolerate ``gap_ms``."""

    vm: str
    tokens: int
    gap_ms: float

    @classmethod
    def of(cls, vm: str, message: LoadAdapter) -> "Prompt | None":
        """Return the prompt that a VM's request names, None if it names none."""
        if message.tokens is None:
            return None
        return cls(vm, max(0, message.tokens), message.gap_ms)


class LoadTurns:
    """Loads adapters of one engine and reserves turns for the prompts that follow.

    ``load`` is that of ``AdapterRequests``. ``expected_at`` returns when an arriving
    adapter is expected, None if unknown. Unless ``enabled``, no turns are reserved.
    """

    def __init__(
        self,
        *,
        pacer: PromptPacer,
        slots: EngineSlots,
        timers: TimerService,
        load: Callable[..., Awaitable[Result[int, Failure]]],
        expected_at: Callable[[AdapterKey], float | None],
        enabled: bool,
    ):
        self._pacer = pacer
        self._slots = slots
        self._timers = timers
        self._load = load
        self._expected_at = expected_at
        self._enabled = enabled

    async def load(
        self, request: SlotRequest, version: int, wait_s: float, prompt: Prompt | None
    ) -> Result[AdapterLoaded, Failure]:
        """Make an adapter ready, and return the prompt's turn beside its version."""
        if prompt is None or not self._enabled:
            loaded = await self._load(request, version, wait_s)
            return loaded.map(AdapterLoaded)
        turn: PromptTurn | None = None

        def reserve() -> None:
            nonlocal turn
            expected_at = self._expected_at(request.key)
            if turn is None and expected_at is not None:
                turn = self._pacer.reserve_from(
                    prompt.tokens, prompt.gap_ms, expected_at
                )

        loaded = None
        try:
            loaded = await self._load(request, version, wait_s, reserve)
        finally:
            # The load fails, or its VM is gone and the call is cancelled.
            if turn is not None and (loaded is None or loaded.is_err()):
                self._pacer.cancel(turn)
        if loaded.is_err():
            return loaded
        now = self._timers.now()
        if turn is None:
            turn_s = self._pacer.reserve(prompt.tokens, prompt.gap_ms, now)
        else:
            turn_s = self._pacer.claim(turn, now)
        self._slots.record_turn(request.key, prompt.vm, now + turn_s)
        return Ok(AdapterLoaded(loaded.ok_value, turn_s))
