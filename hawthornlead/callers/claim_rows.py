"""Rows of claims, and how claims and outcomes change them.

A claim of (caller, idempotency key) is one row, which is kept until its retention has
expired. The head object of a range holds the newest rows. Older ones are in sealed
segments, which never change: for the same key a row in the head, or in a later
segment, takes precedence over an earlier one.
"""

import base64
import hashlib
import json
from collections.abc import Callable, Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..messages import Claim, Claimed, RecordOutcome

RUNNING = "running"
DONE = "done"
UNKNOWN = "unknown"
FREE = "free"
NOT_RUN = "not_run"
NEW = "new"
REUSED = "reused"

IsGone = Callable[[str, str], bool]
Segments = Mapping[str, dict[str, "ClaimRow"]]


class ClaimRow(NamedTuple):
    """One claim as stored.

    ``state`` is running, done, unknown, or free (its request did not run, so the
    key may be claimed again). ``body`` is in base64.
    """

    state: str
    fingerprint: str
    attempt_id: str
    vm: str
    incarnation: str
    status: int = 0
    content_type: str = ""
    body: str = ""


def row_id(caller: str, key: str) -> str:
    """Return the name of a claim's row: a hash of caller and key."""
    text = json.dumps([caller, key]).encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def read_rows(rows: dict[str, list]) -> dict[str, ClaimRow]:
    """Parse the rows in the JSON of a head or a segment."""
    return {name: ClaimRow(*fields) for name, fields in rows.items()}


class ClaimBook:
    """The rows of one range: a head that is being changed, and sealed segments."""

    def __init__(self, value: dict | None, segments: Segments):
        value = value or {}
        self.serial: int = value.get("serial", 0)
        self.sealed_at_serial: int = value.get("sealed_at_serial", 0)
        self.segment_names: list[str] = list(value.get("segments", []))
        self.rows = read_rows(value.get("claims", {}))
        self.changed = False
        self._segments = segments

    @property
    def missing(self) -> list[str]:
        """The segments not read yet; no claim may be decided before they are."""
        return [name for name in self.segment_names if name not in self._segments]

    def value(self) -> dict:
        """Return the head in the form in which it is stored."""
        rows = {name: list(row) for name, row in self.rows.items()}
        return {
            "serial": self.serial + 1,
            "sealed_at_serial": self.sealed_at_serial,
            "segments": self.segment_names,
            "claims": rows,
        }

    def get_row(self, name: str) -> ClaimRow | None:
        """Return the newest row of a name."""
        if name in self.rows:
            return self.rows[name]
        for segment in reversed(self.segment_names):
            if name in self._segments[segment]:
                return self._segments[segment][name]
        return None

    def set_row(self, name: str, row: ClaimRow) -> None:
        """Set the newest row of a name."""
        self.rows[name] = row
        self.changed = True

    def remove_segment(self, name: str) -> None:
        """Remove a segment whose retention has expired."""
        self.segment_names.remove(name)
        self.changed = True

    def claim(self, claim: Claim, is_gone: IsGone) -> Claimed:
        """Claim a key, or return the state of its existing claim.

        A key is new only if it has no row, or its row says that nothing ran.
        """
        name = row_id(claim.caller, claim.key)
        row = self.get_row(name)
        if row is None or (row.state == FREE and row.attempt_id != claim.attempt_id):
            fingerprint = claim.fingerprint.hex()
            owner = (claim.attempt_id, claim.vm, claim.incarnation)
            self.set_row(name, ClaimRow(RUNNING, fingerprint, *owner))
            return Claimed(NEW, claim.attempt_id)
        if row.state == FREE:
            # This claim message was delayed until after its request had been refused.
            # It must not take the key again, since nothing would free it.
            return Claimed(UNKNOWN, row.attempt_id)
        if row.attempt_id == claim.attempt_id and row.state == RUNNING:
            # The same claim arrived twice: through the committer, whose reply was
            # lost, and directly. It is valid, and its single requester may run.
            return Claimed(NEW, claim.attempt_id)
        if row.fingerprint not in ("", claim.fingerprint.hex()):
            return Claimed(REUSED, row.attempt_id)
        if row.state == RUNNING and is_gone(row.vm, row.incarnation):
            # The VM that claimed the key is gone without recording an outcome: the
            # request may have run and must not run again.
            return Claimed(UNKNOWN, row.attempt_id)
        body = base64.b64decode(row.body)
        return Claimed(row.state, row.attempt_id, row.status, row.content_type, body)

    def record(self, outcome: RecordOutcome, fingerprint: str = "") -> Result:
        """Record an outcome on the claim of the same attempt.

        Even if there is no row, ``not_run`` writes one: this changes the head's
        version, so a claim whose write may still be in transit can't take effect.
        """
        name = row_id(outcome.caller, outcome.key)
        row = self.get_row(name)
        if row is None:
            row = ClaimRow(RUNNING, fingerprint, outcome.attempt_id, "", "")
        if row.attempt_id != outcome.attempt_id:
            # "not run" is recorded only on the claim of the try that reports it. An
            # older try that is refused would otherwise free the key while a later
            # one runs, and the request would run a third time (CLM-9).
            detail = "another attempt holds the claim"
            return Err(Failure(ErrorKind.VERSION_CONFLICT, detail))
        if row.state not in (RUNNING, UNKNOWN):
            return Ok(None)
        if outcome.state == NOT_RUN and row.state == UNKNOWN:
            return Ok(None)
        state = FREE if outcome.state == NOT_RUN else outcome.state
        self.set_row(
            name,
            row._replace(
                state=state,
                status=outcome.status,
                content_type=outcome.content_type,
                body=base64.b64encode(outcome.body).decode(),
            ),
        )
        return Ok(None)
