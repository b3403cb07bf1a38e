"""Reservations that let only one suspect request run on a target at a time.

A suspect is a request that was on a target when it died. If two suspects of different
VMs ran on one target when it died again, the harmless one would be quarantined together
with the cause. So a suspect reserves the only slot for suspects at the target's owner,
and releases it when its attempt has ended::

    reserved = await reservations.reserve(view, request_id, hold_s=20.0)
    if reserved.is_ok():
        ...                                     # run the attempt
        reservations.release(view, request_id)

No safety depends on the reservation. If the owner changes or restarts, two suspects may
run together, which costs a harmless request some minutes at worst.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from ..decisions.views import TargetView
from ..errors import ErrorKind, Failure
from ..mesh.casts import send
from ..mesh.meshes import failed
from ..messages import Done, ReleaseSuspectSlot, ReserveSuspectSlot
from ..timers import TimerService

RETRY_AFTER_S = 0.2


class _Reservation(NamedTuple):
    """Which request holds a target's reservation, and until when at most."""

    request_id: str
    ends_at: float


class SuspectReservations:
    """Reserves slots for suspects at owners, and grants those of this VM's targets."""

    def __init__(self, *, timers: TimerService, mesh):
        self._timers = timers
        self._mesh = mesh
        self._held: dict[str, _Reservation] = {}
        self._owner_vms: dict[str, str] = {}
        mesh.on(ReserveSuspectSlot, self._on_reserve)
        mesh.on(ReleaseSuspectSlot, self._on_release)

    async def reserve(
        self, view: TargetView, request_id: str, hold_s: float
    ) -> Result[None, Failure]:
        """Reserve the suspect slot of a target for at most ``hold_s`` seconds.

        Fails with ``NO_GRANT`` while another suspect holds it or the target has no
        owner, and with ``PEER_UNAVAILABLE`` when the owner does not answer.
        """
        if not view.owner_vm:
            return Err(_refusal(view.target, "has no owner"))
        request = ReserveSuspectSlot(view.target, request_id, hold_s)
        reply = await self._mesh.call(view.owner_vm, request)
        if isinstance(reply, Ok):
            self._owner_vms[request_id] = view.owner_vm
        return reply.map(lambda _: None)

    def release(self, view: TargetView, request_id: str) -> None:
        """Release a held reservation; if the message is lost, it expires."""
        owner_vm = self._owner_vms.pop(request_id, None)
        if owner_vm is not None:
            send(self._mesh, owner_vm, ReleaseSuspectSlot(view.target, request_id))

    async def _on_reserve(self, sender, message: ReserveSuspectSlot):
        now = self._timers.now()
        reservation = self._held.get(message.target)
        held = reservation is not None and reservation.ends_at > now
        if held and reservation.request_id != message.request_id:
            return failed(_refusal(message.target, "runs another suspect"))
        self._held[message.target] = _Reservation(
            message.request_id, now + message.hold_s
        )
        return Done()

    async def _on_release(self, sender, message: ReleaseSuspectSlot):
        reservation = self._held.get(message.target)
        if reservation is not None and reservation.request_id == message.request_id:
            del self._held[message.target]
        return Done()


def _refusal(target: str, why: str) -> Failure:
    return Failure(ErrorKind.NO_GRANT, f"{target} {why}", RETRY_AFTER_S)
