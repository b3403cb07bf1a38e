"""The rules on responses: requirements 1 to 5 of ``docs/design/answers.md``."""

from .judge import Breach, Index, rule
from .records import Answer, Received


def _source(index: Index, received: Received) -> Answer | None:
    """Return the target's response whose seal a caller got, None without one."""
    return index.seals.get(received.seal)


def _is_stream(index: Index, received: Received) -> bool:
    sent = index.sent.get(received.request)
    route = index.route(sent.path) if sent is not None else None
    return route is not None and route.streaming


@rule("MIXED-1", "a success is its target's: sealed, a success there, the body whole")
def judge_success(index: Index) -> tuple[int, list[Breach]]:
    """Judge each success that looks complete."""
    cases, breaches = 0, []
    for received in index.received:
        if not received.succeeded:
            continue
        cases += index.is_disturbed(received.request)
        source = _source(index, received)
        what = ""
        if source is None:
            what = "a success without the seal of a target"
        elif not source.succeeded:
            what = f"a success where the target's status was {source.status}"
        elif (
            received.complete
            and not source.events
            and received.body != source.body
            and received.size >= source.size
        ):
            what = f"{received.size} other bytes than the {source.size} of the target"
        if what:
            breaches.append(Breach(received.request, what))
    return cases, breaches


@rule("MIXED-2", "no response reaches another caller, or one that waits for none")
def judge_owner(index: Index) -> tuple[int, list[Breach]]:
    """Judge whose response each caller got, and bytes on idle connections."""
    cases, breaches = 0, []
    for received in index.received:
        cases += bool(received.status) and index.had_extra(received.request)
        if received.names and received.names != received.request:
            what = f"the response names request {received.names}"
            breaches.append(Breach(received.request, what))
            continue
        source = _source(index, received)
        if source is not None and index.owner(source) != received.request:
            what = f"the seal is that of the response to {index.owner(source)}"
            breaches.append(Breach(received.request, what))
    for each in index.unsolicited:
        what = f"bytes on an idle connection: {each.start}"
        breaches.append(Breach(each.request, what))
    return cases, breaches


@rule("MIXED-3", "a failure with a seal has the status that the target gave")
def judge_failure(index: Index) -> tuple[int, list[Breach]]:
    """Judge each failure with a seal."""
    cases, breaches = 0, []
    for received in index.received:
        if received.succeeded or not received.status or not received.seal:
            continue
        cases += 1
        source = _source(index, received)
        given = source.status if source is not None else "unknown"
        if given != received.status:
            what = f"{received.status} where the target's status was {given}"
            breaches.append(Breach(received.request, what))
    return cases, breaches


@rule("MIXED-4", "a response that ends early does not look complete")
def judge_ends(index: Index) -> tuple[int, list[Breach]]:
    """Judge each response that looks complete against the whole one."""
    cases, breaches = 0, []
    for received in index.received:
        numbers = [each.arrival for each in index.arrived(received.request)]
        cases += any(index.is_cut(number) for number in numbers)
        source = _source(index, received)
        if not received.complete or source is None:
            continue
        what = ""
        if source.events:
            last = received.events[-1][0] if received.events else 0
            if last < source.last or received.tail:
                what = f"ends after event {last} of {source.last}"
        elif received.size < source.size:
            what = f"has {received.size} of {source.size} bytes"
        if what:
            what = f"looks complete ({received.framing}) and {what}"
            breaches.append(Breach(received.request, what))
    return cases, breaches


@rule("ORDER", "no piece of a stream is missing, repeated or joined from two runs")
def judge_order(index: Index) -> tuple[int, list[Breach]]:
    """Judge the events of each stream, over the requests that took it up."""
    cases, breaches = 0, []
    software: dict[str, set[str]] = {}
    for received in sorted(index.received):
        if not received.events or not _is_stream(index, received):
            continue
        sent = index.sent[received.request]
        cases += bool(sent.first) or index.is_disturbed(received.request)
        what, used = _judge_events(index, received, sent.after)
        resumable = index.route(sent.path).resumable
        if not what and len(used) > 1 and not resumable:
            what = f"holds events of {len(used)} runs"
        first = sent.first or sent.request
        versions = software.setdefault(first, set())
        versions |= {index.arrivals[number].software for number in used}
        if not what and len(versions) > 1:
            what = f"the stream holds events of {', '.join(sorted(versions))}"
        if what:
            breaches.append(Breach(received.request, what))
    return cases, breaches


def _judge_events(
    index: Index, received: Received, after: int
) -> tuple[str, dict[int, None]]:
    """Return what is wrong with the events, and the arrivals that wrote them."""
    written: dict[tuple, int] = {}
    for arrival in index.arrived(received.request):
        answer = index.answers.get(arrival.arrival)
        if answer is None:
            continue
        for place, event in enumerate(answer.events):
            written[answer.number + place, event] = arrival.arrival
    used: dict[int, None] = {}
    expected = after + 1
    for number, event in received.events:
        if number != expected:
            return f"event {number} where {expected} was due", used
        writer = written.get((number, event))
        if writer is None:
            return f"event {number} is none that a target wrote for it", used
        used[writer] = None
        expected += 1
    last = max((index.answers[number].last for number in used), default=0)
    if received.complete and expected <= last:
        return f"ends as complete before event {expected}", used
    return "", used
