"""Background tasks that are kept until done and stopped with their owner.

The event loop keeps only weak references to its tasks, so a task without any other
reference may be garbage collected before it is done. ``TaskSet`` references them::

    tasks = TaskSet()
    tasks.spawn(connection.write())
    tasks.spawn_once("store", self._read_store)
    await tasks.stop()
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class TaskSet:
    """The running background tasks of one component."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()
        self._names: set[str] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine in a new task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def spawn_once(
        self, name: str, function: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        """Run ``function`` in a new task, unless a task of this name is running."""
        if name in self._names:
            return
        self._names.add(name)
        task = self.spawn(function())
        task.add_done_callback(lambda _: self._names.discard(name))

    def cancel(self) -> None:
        """Cancel all tasks; they end when the event loop runs again."""
        for task in tuple(self._tasks):
            task.cancel()

    async def settle(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` until all tasks have ended by themselves."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=timeout_s)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        self.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
