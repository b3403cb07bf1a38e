"""Tests of the loop that plays time."""

import asyncio
import contextlib

import pytest

from .fakes_clocks import run_played


@pytest.mark.parametrize("left_s", [1e-6, 5e-10, 1e-12, 1e-15])
def test_a_wait_for_what_is_left_of_a_time_ends(left_s):
    """Guards against a play that stands still less than 1 ns before a time."""

    async def wait() -> int:
        loop = asyncio.get_running_loop()
        until = loop.time() + left_s
        waits = 0
        while loop.time() < until and waits < 10:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.Event().wait(), until - loop.time())
            waits += 1
        return waits

    assert run_played(wait()) == 1
