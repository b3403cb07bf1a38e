"""Collects the acknowledgements of all VMs before a staged bundle is accepted."""

import asyncio
from collections import defaultdict
from collections.abc import Collection
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..messages import StageBundle, StagedBundle
from ..ownership.lease_objects import Registration, process_of
from ..ownership.registered_vms import list_registered
from .bundle_pointers import Pointer, Stage

# A VM that has not acknowledged is asked again after this share of ACKNOWLEDGE_S.
RETRY_INTERVAL_SHARE = 0.08


class Acknowledgements(NamedTuple):
    """The VMs that acknowledged a stage, are proved gone, are waived or are silent.

    ``silent`` maps the name of a VM to the reason why it has not acknowledged.
    """

    acknowledged: tuple[str, ...]
    gone: tuple[str, ...]
    waived: tuple[str, ...]
    silent: dict[str, str]


class AcknowledgementCollector:
    """Requests acknowledgements of a stage from all VMs."""

    def __init__(self, *, settings, timers, store, mesh, members):
        self._acknowledge_s = settings["ACKNOWLEDGE_S"]
        self._retry_interval_s = RETRY_INTERVAL_SHARE * settings["ACKNOWLEDGE_S"]
        self._timers = timers
        self._store = store
        self._mesh = mesh
        self._members = members

    async def gather(
        self, pointer: Pointer, waivable: Collection[str]
    ) -> Result[Acknowledgements, Failure]:
        """Ask every registered VM that is not proved gone.

        ``waivable`` names VMs and data centres whose acknowledgement is not required.
        """
        # Guards against a VM that no roll waits for and that keeps serving the old
        # bundle after the acceptance (BUN-11, BUN-13). The list is read after the
        # stage is written: a VM that is not in it reads the pointer after it has
        # registered, so it sees the stage and is in doubt of it.
        listed = await list_registered(self._store)
        if listed.is_err():
            return listed
        entries: dict[str, list[Registration]] = defaultdict(list)
        for entry in listed.unwrap():
            entries[entry.vm].append(entry)
        waived, gone, required = [], [], []
        for vm in sorted(entries):
            if all(self._is_gone(entry) for entry in entries[vm]):
                gone.append(vm)
            else:
                required.append(vm)
        outcomes = await asyncio.gather(
            *(
                self._request_acknowledgement(vm, entries[vm], pointer)
                for vm in required
            )
        )
        acknowledged, silent = [], {}
        for vm, outcome in zip(required, outcomes, strict=True):
            names = {vm, *(entry.data_centre for entry in entries[vm])}
            if outcome.is_ok():
                (acknowledged if outcome.unwrap() else gone).append(vm)
            elif names & set(waivable):
                waived.append(vm)
            else:
                data_centre = entries[vm][0].data_centre
                silent[vm] = f"{vm} ({data_centre}): {outcome.unwrap_err().detail}"
        return Ok(
            Acknowledgements(tuple(acknowledged), tuple(gone), tuple(waived), silent)
        )

    def _is_gone(self, entry: Registration) -> bool:
        # A process that registered again after its lease lapsed has two names. Proof
        # must be of the process: if the end of one of its registrations counted, a
        # roll would be accepted without a VM that still serves behind a partition.
        process = process_of(entry.incarnation)
        return self._members.proof_gone(entry.vm, process) is not None

    async def _request_acknowledgement(
        self, vm: str, entries: list[Registration], pointer: Pointer
    ) -> Result[bool, Failure]:
        """Return True if a VM acknowledges, False if it is proved gone meanwhile."""
        stage = pointer.staged
        message = StageBundle(
            stage.seq,
            stage.digest,
            pointer.seq,
            pointer.digest,
            stage.vm,
            stage.incarnation,
        )
        until = self._timers.now() + self._acknowledge_s
        while True:
            left = until - self._timers.now()
            wait_s = min(left, self._acknowledge_s / 3)
            reply = await self._mesh.call(vm, message, timeout_s=wait_s)
            if reply.is_ok() and _is_acknowledgement(reply.unwrap(), vm, stage):
                return Ok(True)
            if all(self._is_gone(entry) for entry in entries):
                return Ok(False)
            if self._timers.now() + self._retry_interval_s >= until:
                break
            await self._timers.sleep(self._retry_interval_s)
        if reply.is_ok():
            return Err(Failure(ErrorKind.BAD_MESSAGE, "reply does not match the stage"))
        return reply


def _is_acknowledgement(reply, vm: str, stage: Stage) -> bool:
    if not isinstance(reply, StagedBundle):
        return False
    return (reply.vm, reply.seq, reply.digest) == (vm, stage.seq, stage.digest)
