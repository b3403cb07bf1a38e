"""The rules on runs: what reaches targets, how often, where and until when."""

from .judge import Breach, Index, rule
from .records import Arrival, Leaving

# These promise that the request has not run and never will.
UNRUN_STATUSES = (408, 421, 429, 503)
# A VM that has been in touch for so long sends nothing to a target later than so many
# seconds after the store has accepted that the target leaves.
IN_TOUCH_S = 3.0
DRAIN_S = 2.0
# What the stand-ins' own process may be late by.
LAG_S = 0.1


def _may_repeat(index: Index, path: str) -> bool:
    route = index.route(path)
    return route is not None and (route.repeatable or route.resumable)


@rule("REFUSED", "408, 421, 429 and 503 promise that the request never runs")
def judge_refused(index: Index) -> tuple[int, list[Breach]]:
    """Judge each refusal against the runs of its request, also later ones."""
    cases, breaches = 0, []
    for received in index.received:
        if received.status not in UNRUN_STATUSES:
            continue
        cases += bool(index.arrived(received.request))
        ran = index.ran(received.request)
        if ran:
            at = ", ".join(each.target for each in ran)
            breaches.append(Breach(received.request, f"{received.status}, ran at {at}"))
    return cases, breaches


@rule("TWICE", "a request that isn't idempotent runs at most once")
def judge_twice(index: Index) -> tuple[int, list[Breach]]:
    """Judge the runs of each request that may not be repeated."""
    cases, breaches = 0, []
    for request, sent in index.sent.items():
        if _may_repeat(index, sent.path):
            continue
        ran = index.ran(request)
        cases += index.is_disturbed(request)
        if len(ran) > 1:
            at = ", ".join(each.target for each in ran)
            breaches.append(Breach(request, f"ran {len(ran)} times: {at}"))
    return cases, breaches


@rule("UNASKED", "a target gets only requests that callers sent, unchanged")
def judge_unasked(index: Index) -> tuple[int, list[Breach]]:
    """Judge each arrival against what its caller sent."""
    breaches = []
    for arrival in index.arrivals.values():
        sent = index.sent.get(arrival.request)
        if sent is None:
            breaches.append(Breach(arrival.request, "no caller sent it"))
            continue
        for field in ("method", "path", "headers", "body"):
            was, became = getattr(sent, field), getattr(arrival, field)
            if was != became:
                what = f"{field} {was!r} became {became!r}"
                breaches.append(Breach(arrival.request, what))
    return len(index.arrivals), breaches


@rule("ROUTE", "a request runs only at a service that its route names")
def judge_route(index: Index) -> tuple[int, list[Breach]]:
    """Judge where each request ran.

    A case is one whose path fits several routes, or that reached another service.
    """
    cases, breaches = 0, []
    for arrival in index.arrivals.values():
        route = index.route(arrival.path)
        wrong = route is None or arrival.service not in route.services
        cases += wrong or len(index.routes_of(arrival.path)) > 1
        if wrong and arrival.arrival in index.runs:
            what = f"{arrival.path} at service {arrival.service}"
            breaches.append(Breach(arrival.request, what))
    return cases, breaches


@rule("DRAIN", "nothing reaches a target 2 s after the store told that it leaves")
def judge_drain(index: Index) -> tuple[int, list[Breach]]:
    """Judge requests after each leave, while all VMs were in touch.

    A case is a request for the target's service in the time judged.
    """
    cases, breaches = 0, []
    for leaving in index.leaving:
        for arrival in index.arrivals.values():
            late_s = arrival.at - leaving.at
            if late_s <= DRAIN_S + LAG_S or not _in_touch(index, leaving, arrival):
                continue
            cases += _serves(index, leaving, arrival)
            if arrival.target == leaving.target:
                what = f"reaches {arrival.target} {late_s:.2f} s after it left"
                breaches.append(Breach(arrival.request, what))
    return cases, breaches


def _in_touch(index: Index, leaving: Leaving, arrival: Arrival) -> bool:
    """Whether no VM or store was disturbed from before the leave to the arrival."""
    return not any(
        trouble.kind in ("vm", "store")
        and trouble.at < arrival.at
        and trouble.until > leaving.at - IN_TOUCH_S
        for trouble in index.troubles
    )


def _serves(index: Index, leaving: Leaving, arrival: Arrival) -> bool:
    """Whether a request could have gone to the target that leaves, which served on."""
    gone = min(
        (
            trouble.at
            for trouble in index.troubles
            if trouble.subject == leaving.target and trouble.at >= leaving.at
        ),
        default=float("inf"),
    )
    services = {
        each.service
        for each in index.arrivals.values()
        if each.target == leaving.target
    }
    return arrival.at < gone and arrival.service in services
