"""Sending a message that has no reply, also to oneself.

A mesh casts only to other VMs, while the owner of a target may be the very VM that
holds its grant.
"""

import asyncio

_UNDER_WAY: set[asyncio.Task] = set()


def send(mesh, vm: str, message) -> None:
    """Cast ``message`` to ``vm``; handled in a task of its own if that is this VM.

    A message that is lost must cost no more than time.
    """
    if vm != mesh.vm:
        mesh.cast(vm, message)
        return
    loop = asyncio.get_running_loop()
    task = loop.create_task(mesh.answer(mesh.myself, message))
    # The event loop keeps only a weak reference to its tasks.
    _UNDER_WAY.add(task)
    task.add_done_callback(_UNDER_WAY.discard)
