"""Messages about requests that crash their target."""

from typing import NamedTuple

from .base import message


@message("crash-suspects")
class CrashSuspects(NamedTuple):
    """Requests that were on a target when it died, by fingerprint."""

    target: str
    boot_id: str
    fingerprints: tuple[bytes, ...]


@message("take-suspect-place")
class ReserveSuspectSlot(NamedTuple):
    """Ask a target's owner for its only place for a suspect request."""

    target: str
    request_id: str
    hold_s: float


@message("give-suspect-place")
class ReleaseSuspectSlot(NamedTuple):
    """Give the place back: the suspect's attempt has ended."""

    target: str
    request_id: str
