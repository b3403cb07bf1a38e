"""Tests of the timer services."""

import asyncio
import time

import pytest

from hawthornlead.timers import ManualTimerService, TimerService


@pytest.fixture
async def timers():
    """A real timer service, stopped after the test."""
    service = TimerService()
    yield service
    service.stop()


async def test_every_calls_again_after_a_failure(timers):
    # A subscriber with a bug raises once. If the error ended the timer, leases would no
    # longer be renewed, a few seconds later and far from the cause.
    calls = []
    second = asyncio.Event()

    def renew():
        calls.append(1)
        if len(calls) == 1:
            raise RuntimeError("bug")
        second.set()

    timers.every(0.001, renew, name="renew")
    await second.wait()
    assert len(calls) == 2


async def test_every_never_runs_two_at_once(timers):
    running, most, done = [], [], asyncio.Event()

    async def slow():
        running.append(1)
        most.append(len(running))
        await asyncio.sleep(0.005)
        running.pop()
        if len(most) == 3:
            done.set()

    timers.every(0.001, slow, name="slow")
    await done.wait()
    assert most == [1, 1, 1]


async def test_cancel_ends_the_waiting_task(timers):
    # Each request has a deadline timer of 300 s, which is cancelled when it is done. If
    # cancelled timers kept sleeping, memory would grow with the requests of the last
    # five minutes.
    before = len(asyncio.all_tasks())
    subscriptions = [
        timers.after(300, lambda: None, name="deadline") for _ in range(50)
    ]
    await asyncio.sleep(0)
    assert len(asyncio.all_tasks()) == before + 50
    for subscription in subscriptions:
        subscription.cancel()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(asyncio.all_tasks()) == before


async def test_cancel_before_the_task_began(timers):
    calls = []
    timers.after(0, lambda: calls.append(1), name="early").cancel()
    await asyncio.sleep(0.01)
    assert calls == []


async def test_call_that_cancels_itself_runs_to_its_end(timers):
    ended = asyncio.Event()

    async def callback():
        subscription.cancel()
        await asyncio.sleep(0)
        ended.set()

    subscription = timers.every(0.001, callback, name="self")
    await ended.wait()
    assert subscription.cancelled


async def test_stop_ends_all_timers():
    service, calls = TimerService(), []
    service.every(0.001, lambda: calls.append(1), name="a")
    service.stop()
    await asyncio.sleep(0.01)
    assert calls == []


async def test_manual_calls_in_order_at_their_times():
    timers, calls = ManualTimerService(start=0), []
    timers.after(3, lambda: calls.append(("after", timers.now())), name="after")
    timers.every(2, lambda: calls.append(("every", timers.now())), name="every")
    await timers.advance(1.9)
    assert calls == []
    await timers.advance(2.2)
    assert calls == [("every", 2), ("after", 3), ("every", 4)]
    assert timers.now() == timers.wall() == pytest.approx(4.1)


async def test_manual_equal_times_keep_their_order():
    timers, calls = ManualTimerService(), []
    for name in "abc":
        timers.after(1, lambda name=name: calls.append(name), name=name)
    await timers.advance(1)
    assert calls == ["a", "b", "c"]


async def test_manual_cancelled_is_not_called():
    timers, calls = ManualTimerService(), []
    subscription = timers.every(1, lambda: calls.append(1), name="x")
    await timers.advance(1)
    subscription.cancel()
    await timers.advance(5)
    assert calls == [1]


async def test_manual_sleep_wakes_after_advance():
    timers = ManualTimerService()
    task = asyncio.create_task(timers.sleep(2))
    await timers.advance(0)
    await timers.advance(1.9)
    assert not task.done()
    await timers.advance(0.1)
    assert task.done()


async def test_manual_callback_may_subscribe_again():
    timers, calls = ManualTimerService(start=0), []

    def again():
        calls.append(timers.now())
        timers.after(1, again, name="again")

    timers.after(1, again, name="again")
    await timers.advance(3)
    assert calls == [1, 2, 3]


def test_time_counts_a_suspension_of_the_machine(monkeypatch):
    """Two VMs must not both order an engine after a suspension.

    The machine of the first is suspended for longer than its lease. The usual monotonic
    clock does not advance meanwhile, so the lease would still look valid to it.
    """
    read = []

    def clock(which):
        read.append(which)
        return 12.0

    monkeypatch.setattr("time.clock_gettime", clock)
    assert TimerService().now() == 12.0
    assert read == [time.CLOCK_BOOTTIME]
