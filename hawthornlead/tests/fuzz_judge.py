"""The judge of the response fuzzer: what callers may have got for what was sent.

It knows only what targets sent for each request and what its caller got::

    for fault in judge([Got("r1", "unsafe", 200, "seal-7", b"run-7")], sent):
        print(fault)
"""

import re
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

PROMISES = frozenset((408, 421, 429, 503))
STREAMS = frozenset(("stream", "resume"))
CONTROLS = frozenset(("report", "order"))
RUN = re.compile(rb"run-(\d+) of ")
EVENT_ID = re.compile(rb"id: (\d+)\n")
EVENT_END = b"\n\n"
LAST_EVENT = 6
LATE = 504


class Sent(NamedTuple):
    """What a target sent for one request of a caller, or for one control call.

    ``body`` is what can be read of it, and ``complete`` tells whether a response with
    that body was sent to its end. ``known`` is whether its reader can know at once
    what becomes of it. ``due`` was sent ahead of it, and ``plan`` is for reports only.
    """

    request: str
    run: int
    status: int
    seal: str
    body: bytes
    complete: bool
    ran: bool = True
    known: bool = True
    plan: str = ""
    due: bytes = b""


class Got(NamedTuple):
    """What a caller got; ``status`` 0 for none, ``whole`` if it looks complete.

    For a control call ``status`` is that which its outcome shows, 0 if none, and
    ``number`` the report's. ``late`` is a call that took all of a long time-out.
    """

    request: str
    kind: str
    status: int
    seal: str = ""
    body: bytes = b""
    whole: bool = True
    named: str = ""
    number: int = 0
    late: bool = False


def judge(got: Iterable[Got], sent: Iterable[Sent]) -> list[str]:
    """Return the cases in which a requirement didn't hold."""
    by_request: dict[str, list[Sent]] = defaultdict(list)
    for each in sent:
        by_request[each.request].append(each)
    broken = []
    for each in got:
        own = by_request[each.request]
        for fault in _faults(each, own):
            broken.append(f"{each.request} ({each.kind}): {fault}: {each} of {own}")
    return broken


def _faults(got: Got, own: list[Sent]) -> list[str]:
    if got.kind in CONTROLS:
        found = [_control_fault(got, own)]
    elif got.kind in STREAMS and 200 <= got.status < 300:
        found = [_owner_fault(got, own), _stream_fault(got, own)]
    else:
        found = [_owner_fault(got, own), _whole_fault(got, own)]
    return [each for each in (*found, _promise_fault(got, own)) if each]


def _control_fault(got: Got, own: list[Sent]) -> str:
    if got.status and not any(each.status == got.status for each in own):
        return "1: status of another response"
    if got.number and not any(each.run == got.number for each in own):
        return "2: another report"
    if got.late and own and all(each.known for each in own):
        return "7: waited until the deadline"
    return ""


def _owner_fault(got: Got, own: list[Sent]) -> str:
    runs = {each.run for each in own}
    if got.named not in ("", got.request):
        return "2: it names another request"
    if got.seal and got.seal not in {each.seal for each in own}:
        return "2: the seal of another response"
    if any(int(run) not in runs for run in RUN.findall(got.body)):
        return "2: the body of another response"
    return ""


def _whole_fault(got: Got, own: list[Sent]) -> str:
    if not got.status:
        return ""
    if not got.seal:
        return "1: success without a seal" if 200 <= got.status < 300 else ""
    (run,) = [each for each in own if each.seal == got.seal] or [None]
    if run is None:
        return ""
    if run.status != got.status:
        return "1, 3: not the status that the target gave"
    if got.whole and not run.complete:
        return "4: a truncated response looks complete"
    if got.body != run.body if got.whole else not run.body.startswith(got.body):
        return "1: not the body that the target sent"
    return ""


def _stream_fault(got: Got, own: list[Sent]) -> str:
    if not got.seal:
        return "1: success without a seal"
    *events, rest = got.body.split(EVENT_END)
    known = [set(each.body.split(EVENT_END)) for each in own if each.status == 200]
    for number, event in enumerate(events, 1):
        found = EVENT_ID.match(event)
        if found is None or int(found[1]) != number:
            return "5: an event is missing, doubled or not in order"
        if not any(event in run for run in known):
            return "5: an event that no run sent"
    if not got.whole:
        partial = (each.startswith(rest) for run in known for each in run)
        return "" if any(partial) else "5: part of no event"
    if rest:
        return "4: it ends inside an event and looks complete"
    if not any(_ends(run, got.body, len(events)) for run in own):
        return "5: complete before its last event"
    return ""


def _ends(run: Sent, body: bytes, events: int) -> bool:
    """Whether a run's response is complete and ends what its caller got."""
    if not run.complete or run.status != 200:
        return False
    return body.endswith(run.body) if run.body else events == LAST_EVENT


def _promise_fault(got: Got, own: list[Sent]) -> str:
    runs = sum(each.ran for each in own)
    if got.kind in ("unsafe", "stream") and runs > 1:
        return "6: it ran twice"
    if got.kind not in CONTROLS and got.status in PROMISES and runs:
        return "6: a promise for a request that ran"
    if got.status == LATE and own and all(each.known for each in own):
        return "7: waited until the deadline"
    return ""
