"""Turns in which bodies are read, so that a crowd of them doesn't hold up the rest.

A body in small chunks takes far more time to parse than to send. Each part of it waits
for its turn, and there is one turn in each pass of the event loop::

    turns = ReadingTurns()
    await turns.take()
"""

import asyncio
from collections import deque


class ReadingTurns:
    """Grants one turn in each pass of the event loop, in the order of asking."""

    def __init__(self):
        self._waiting: deque[asyncio.Future] = deque()
        self._granting = False

    def take(self) -> asyncio.Future:
        """Return a future that is done when it is the asker's turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._granting:
            self._granting = True
            loop.call_soon(self._grant, loop)
        return turn

    def _grant(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if turn.done():
                continue
            turn.set_result(None)
            loop.call_soon(self._grant, loop)
            return
        self._granting = False
