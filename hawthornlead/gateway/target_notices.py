"""What targets say of themselves in their answers, applied to this VM's state."""

from .gateway_parts import GatewayParts
from .records import TargetEntry
from .target_connections import Head
from .target_probes import MISDIRECTED_STATUS

# A target that has no room for a request answers with this status.
UNAVAILABLE_STATUS = 503


def apply_notices(
    parts: GatewayParts, entry: TargetEntry, head: Head, sent_at: float
) -> None:
    """Apply the notices that a target sends with each answer.

    ``sent_at`` is when the request was sent. A target that doesn't answer under the
    requested id is another one.
    """
    if head.status == MISDIRECTED_STATUS or not parts.targets.is_current(entry):
        return
    if head.signs.backoff_s:
        parts.backoffs.record(entry.target, head.signs.backoff_s)
    if head.signs.leaving:
        parts.leaving_notices.handle(entry.incarnation)
    parts.limits.record_answer(entry.incarnation, head.signs.limit_per_s, sent_at)
    parts.brittle.record_answer(entry, head.signs.refusals_per_s, sent_at)
    if head.signs.not_run and head.status == UNAVAILABLE_STATUS:
        parts.brittle.record_refusal(entry)
