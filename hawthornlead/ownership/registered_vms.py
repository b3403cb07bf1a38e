"""The VMs that a roll needs an answer from, read from the store."""

from result import Result

from ..errors import Failure
from .lease_objects import KIND, Registration, registrations


async def list_registered(store) -> Result[tuple[Registration, ...], Failure]:
    """Read from the store all registrations that are not proved to have stopped.

    They include those that ended because their lease expired: such a VM may still
    serve callers behind a network partition.
    """
    listed = await store.list(KIND)
    return listed.map(_not_stopped)


def _not_stopped(listed) -> tuple[Registration, ...]:
    not_stopped = []
    for item in listed.items:
        for registration in registrations(item.value):
            if not registration.stopped:
                not_stopped.append(registration)
    return tuple(not_stopped)
