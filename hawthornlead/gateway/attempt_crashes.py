"""What the attempts of one request show about crashes of their targets."""

from .crash_watches import BrokenRequest
from .gateway_parts import GatewayParts
from .records import Incarnation, TargetEntry
from .request_signatures import RequestSignature
from .target_liveness import LossSubscriber

# What another VM knows of the parts of a prompt arrives within this time.
ANSWERS_KNOWN_S = 0.1


class AttemptCrashes:
    """Records whether targets survive a request, and whether it may be repeated."""

    def __init__(self, parts: GatewayParts, signature: RequestSignature):
        self._parts = parts
        self._signature = signature
        # The target that the last attempt may have crashed.
        self._suspect_at: Incarnation | None = None

    def acquire(self) -> bool:
        """Whether the request may be sent now: it isn't known to crash targets."""
        self._suspect_at = None
        if self._parts.suspects.check(self._signature.fingerprint).is_err():
            return False
        return self._parts.quarantines.acquire(self._signature.parts).is_ok()

    def record_answered(self) -> None:
        """Record that what the request holds doesn't crash targets."""
        self._parts.quarantines.record_answered(self._signature.parts)

    def on_broken(self, entry: TargetEntry, answered: bool) -> None:
        """Have it found out whether the target crashed under the request.

        ``answered`` means that it had answered the request before, and lived on.
        """
        if not answered:
            self._suspect_at = entry.incarnation
        request = BrokenRequest(self._signature, answered)
        self._parts.crash_watch.on_connection_broken(entry, request)

    def on_lost(self, subscriber: LossSubscriber, answered: bool) -> None:
        """Record that the target of an attempt is lost."""
        if subscriber.may_have_crashed:
            self.on_broken(subscriber.liveness.entry, answered)

    async def may_repeat(self) -> bool:
        """Whether the request may be sent to a further target.

        A request whose prompt has an unanswered part may have crashed the last one. It
        waits until it is known whether that one crashed and who answered the part.
        """
        quarantines, parts = self._parts.quarantines, self._signature.parts
        if self._suspect_at is None or not quarantines.unanswered(parts):
            return True
        await self._parts.crash_watch.wait_checked(self._suspect_at)
        if quarantines.is_suspect(parts):
            await self._parts.timers.sleep(ANSWERS_KNOWN_S)
        return not quarantines.is_suspect(parts)
