"""Draining a VM: it leaves the entry answers, finishes its requests, then stops.

Callers cache an entry answer and keep connecting to the addresses in it. New requests
are therefore served until the cached answers have expired, and only then refused with
the addresses of other VMs. Requests in flight are completed.
"""

from ..core_parts import CoreParts
from ..decisions.limits import Admissions
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..ownership.members import Members

POLL_S = 0.05
RETRY_AFTER_S = 0.1


class Drain:
    """Drains this VM's process."""

    def __init__(
        self,
        *,
        core: CoreParts,
        members: Members,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._members = members
        self._invariants = core.invariants
        self._refusing = False

    def refusal(self) -> Failure | None:
        """Return the refusal of a new request, None while requests are accepted."""
        if not self._refusing:
            return None
        own = self._settings["CALLER_ADDRESS"]
        answer = self._members.entry_answer(self._settings["DATA_CENTRE"])
        others = tuple(address for address in answer.addresses if address != own)
        detail = "this VM shuts down"
        return Failure(ErrorKind.DRAINING, detail, RETRY_AFTER_S, others)

    async def run(self, admissions: Admissions) -> None:
        """Drain: return when nothing is in flight, or after ``DRAIN_S`` seconds."""
        self._members.start_draining()
        self._events.emit(EventKind.PROCESS_DRAINING, self._settings["VM_NAME"])
        # Callers may cache an answer given just before a little longer than
        # ENTRY_KEEP_S, which is jittered. A caller refused then gets other addresses.
        await self._timers.sleep(self._settings["ENTRY_KEEP_S"])
        self._refusing = True
        until = self._timers.now() + self._settings["DRAIN_S"]
        while admissions.open and self._timers.now() < until:
            await self._timers.sleep(POLL_S)
        detail = f"{admissions.open} requests open"
        self._invariants.check("drain-cuts-nothing", admissions.open == 0, detail)
