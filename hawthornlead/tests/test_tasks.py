"""Tests of ``TaskSet``."""

import asyncio

from hawthornlead.tasks import TaskSet


async def test_a_named_task_is_not_started_again_while_it_runs():
    tasks, released, runs = TaskSet(), asyncio.Event(), []

    async def run():
        runs.append(1)
        await released.wait()

    tasks.spawn_once("store", run)
    tasks.spawn_once("store", run)
    tasks.spawn_once("other", run)
    await asyncio.sleep(0)
    assert len(runs) == 2
    released.set()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    tasks.spawn_once("store", run)
    await asyncio.sleep(0)
    assert len(runs) == 3


async def test_stop_waits_until_all_tasks_have_ended():
    tasks, ended = TaskSet(), []

    async def run():
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0)
            ended.append(1)

    tasks.spawn(run())
    tasks.spawn_once("named", run)
    await asyncio.sleep(0)
    await tasks.stop()
    assert len(ended) == 2
