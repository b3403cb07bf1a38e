"""Messages about requests that crash their target."""

from typing import NamedTuple

from .base import message


class UnansweredPrompt(NamedTuple):
    """A request that its target had not answered when it died.

    ``digest`` tells requests apart; ``parts`` are the shared parts of its prompt that
    the sender doesn't know to have been answered.
    """

    digest: bytes
    parts: tuple[str, ...]


@message("crash-suspects")
class CrashSuspects(NamedTuple):
    """Requests that ran on a target when it died, by fingerprint.

    ``prompts`` are those of requests that it had not answered, and the death was
    ``age_s`` ago. It had answered the requests in ``survived`` for a while. Parts of
    prompts that were ``answered`` didn't crash any target. The sender is about to try
    a request with each of the quarantined parts ``tried``.
    """

    target: str
    boot_id: str
    fingerprints: tuple[bytes, ...]
    prompts: tuple[UnansweredPrompt, ...] = ()
    age_s: float = 0.0
    answered: tuple[str, ...] = ()
    tried: tuple[str, ...] = ()
    survived: tuple[bytes, ...] = ()


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
