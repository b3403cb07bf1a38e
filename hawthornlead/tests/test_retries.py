"""Tests of the retry budget and the backoff."""

import asyncio
import random

import pytest

from hawthornlead.decisions.retries import MAX_BACKOFF_S, MIN_RETRIES, WINDOW_S, Retries
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def retries(timers):
    return Retries(
        settings=default_settings(RETRY_SHARE=0.1), timers=timers, rng=random.Random(1)
    )


async def test_a_failing_target_does_not_multiply_load(retries, timers):
    """Every request fails for half a minute under load.

    Without a budget each would be sent three times, and the remaining targets would
    fail too. With the budget, attempts exceed requests by at most a tenth.
    """
    sent = 0
    for _ in range(30 * 50):
        await timers.advance(0.02)
        retries.record_first_attempt()
        sent += 1
        while retries.acquire():
            sent += 1
    windows = 30 / WINDOW_S
    assert 1500 * 1.09 <= sent <= 1500 * 1.1 + MIN_RETRIES * (windows + 1)


async def test_a_quiet_vm_may_retry_and_the_window_slides(retries, timers):
    assert [retries.acquire() for _ in range(MIN_RETRIES + 1)] == [
        True
    ] * MIN_RETRIES + [False]
    await timers.advance(WINDOW_S + 1)
    assert retries.left == MIN_RETRIES


def test_backoff_has_full_jitter_under_a_growing_limit(retries):
    for number, limit in ((1, 0.025), (2, 0.05), (3, 0.1), (20, MAX_BACKOFF_S)):
        waits = [retries.backoff(number) for _ in range(500)]
        assert min(waits) < limit * 0.05
        assert limit * 0.9 < max(waits) <= limit


async def test_no_retry_is_planned_past_the_deadline(retries, timers):
    assert retries.next_wait(1, timers.now()) is None
    assert retries.left == MIN_RETRIES
    assert retries.next_wait(1, timers.now() + 1) <= 0.025
    assert retries.left == MIN_RETRIES - 1


async def test_no_retry_follows_the_last_attempt(retries, timers):
    most = default_settings()["MAX_ATTEMPTS"]
    assert not await retries.wait(most, timers.now() + 10)
    assert retries.left == MIN_RETRIES
    waiting = asyncio.ensure_future(retries.wait(most - 1, timers.now() + 10))
    await asyncio.sleep(0)
    await timers.advance(MAX_BACKOFF_S)
    assert await waiting
    assert retries.left == MIN_RETRIES - 1
