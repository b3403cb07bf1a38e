"""Reconstruct the history of a request from the log lines of several VMs.

``hawthornlead explain REQUEST-ID vm-1.log vm-2.log`` prints in order the decisions
made for the request and the events of its targets and adapter at that time. Lines are
sorted by their hybrid logical time, so that a clock that was set back or forward does
not change their order.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple

from ..events import EventKind

# Events of the targets and the adapter of a request are included from this long before
# its first line until this long after its last.
CONTEXT_BEFORE_MS = 3000
CONTEXT_AFTER_MS = 500
FINAL_EVENTS = frozenset(
    (
        EventKind.REQUEST_SERVED.number,
        EventKind.REQUEST_TURNED_DOWN.number,
        EventKind.ANSWER_CUT.number,
        EventKind.CALLER_GONE.number,
    )
)
# Events of a target that can explain the outcome of a request sent to it.
TARGET_EVENTS = frozenset(
    (
        EventKind.TARGET_DIED.number,
        EventKind.TARGET_GONE.number,
        EventKind.TARGET_CAME.number,
        EventKind.OWNERSHIP_TAKEN.number,
        EventKind.OWNERSHIP_LOST.number,
        EventKind.OWNERSHIP_RELEASED.number,
        EventKind.REPORT_MISSING.number,
    )
)
ADAPTER_EVENTS = frozenset(
    (
        EventKind.ORDER_GIVEN.number,
        EventKind.ADAPTER_READY.number,
        EventKind.ADAPTER_NOT_READY.number,
        EventKind.LOAD_TURNED_DOWN.number,
        EventKind.VERSION_IN_FORCE.number,
    )
)


class LogLine(NamedTuple):
    """One event from a log; ``at`` is its hybrid logical time."""

    at: tuple[int, int]
    vm: str
    event: int
    subject: str
    message: str
    fields: dict


class RequestHistory(NamedTuple):
    """The log lines that concern a request.

    ``ended`` is False if no line shows how the request ended. ``lines_dropped`` is True
    if the log budget dropped lines in between.
    """

    lines: tuple[LogLine, ...]
    ended: bool
    lines_dropped: bool


def read_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the events in JSON log lines and skip all other lines.

    A line may have a prefix before its JSON, such as the name of its VM.
    """
    found = []
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            body = json.loads(line[start:])
        except ValueError:
            # The last line of a process that was killed may be cut off.
            continue
        if body.get("event") is None or not body.get("at"):
            continue
        found.append(
            LogLine(
                tuple(body["at"]),
                body.get("vm") or "",
                body["event"],
                body["subject"],
                body["message"],
                body.get("fields") or {},
            )
        )
    return found


def history_of(request_id: str, lines: list[LogLine]) -> RequestHistory:
    """Return the lines of a request and those that explain them, in order."""
    own = [line for line in lines if line.subject == request_id]
    if not own:
        return RequestHistory((), False, False)
    targets = {line.fields["target"] for line in own if line.fields.get("target")}
    adapters = {line.fields["adapter"] for line in own if line.fields.get("adapter")}
    first = min(line.at for line in own)[0] - CONTEXT_BEFORE_MS
    last = max(line.at for line in own)[0] + CONTEXT_AFTER_MS
    selected = list(own)
    for line in lines:
        if not first <= line.at[0] <= last:
            continue
        if line.event in TARGET_EVENTS and line.subject in targets:
            selected.append(line)
            continue
        of_adapter = line.fields.get("adapter", line.subject) in adapters
        if line.event in ADAPTER_EVENTS and of_adapter:
            selected.append(line)
    selected.sort(key=lambda line: line.at)
    ended = any(line.event in FINAL_EVENTS for line in own)
    lines_dropped = any("left out" in line.message for line in selected)
    return RequestHistory(tuple(selected), ended, lines_dropped)


def format_history(request_id: str, history: RequestHistory) -> str:
    """Return a history as text, each line with the milliseconds since the first."""
    if not history.lines:
        return f"no line mentions {request_id}; it may have been dropped or sampled out"
    started = history.lines[0].at[0]
    texts = []
    for line in history.lines:
        mark = ">" if line.subject == request_id else " "
        texts.append(f"{mark} {line.at[0] - started:6} ms  {line.vm:24} {line.message}")
    if not history.ended:
        texts.append("no line shows how it ended: its VM may have been stopped")
    if history.lines_dropped:
        texts.append(
            "lines were dropped in between because the log budget was exhausted"
        )
    return "\n".join(texts)
