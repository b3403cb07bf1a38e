"""Sending a message without a reply to any VM, including this one.

A mesh casts only to other VMs, while the owner of a target may be the VM that holds its
grant.
"""

from ..tasks import TaskSet

_LOCAL_TASKS = TaskSet()


def send(mesh, vm: str, message) -> None:
    """Cast ``message`` to ``vm``; handled in a task of its own if that is this VM.

    Messages may be lost: callers must tolerate that with no more than a delay.
    """
    if vm != mesh.vm:
        mesh.cast(vm, message)
        return
    _LOCAL_TASKS.spawn(mesh.answer(mesh.myself, message))
