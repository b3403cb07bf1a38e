"""Messages about requests that crash their target."""

from typing import NamedTuple

from .base import message


@message("crash-suspects")
class CrashSuspects(NamedTuple):
    """Requests that ran on a target when it died, by fingerprint."""

    target: str
    boot_id: str
    fingerprints: tuple[bytes, ...]


@message("take-suspect-place")
class ReserveSuspectSlot(NamedTuple):
    """Request a target's only slot for a suspect request from its owner."""

    target: str
    request_id: str
    hold_s: float


@message("give-suspect-place")
class ReleaseSuspectSlot(NamedTuple):
    """Release the slot: the attempt of the suspect request has ended."""

    target: str
    request_id: str
