"""Judges of what targets say of themselves in answers; see ``soak_gateway_judges``."""

from collections import defaultdict

from .soak_gateway_judges import SLACK_S, Case, judge
from .soak_gateway_records import CONTACT_S, Arrival, Told
from .soak_judges import Verdict

LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE, LIMIT_SLACK = 1.5, 5
PASSED_ON_S = 0.5
DRAIN_S = 2.0
REST_AT_MOST = 2


def _arrivals(case: Case) -> dict[str, list[Arrival]]:
    """Return what reached each target, in the order of its coming."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(case.journal.arrivals, key=lambda each: each.at):
        arrivals[arrival.target].append(arrival)
    return arrivals


def _first_told(case: Case, notice: str) -> dict[tuple[str, float], dict[str, Told]]:
    """Return by target, and by when it began to say it, who was told first and when."""
    told: dict[tuple[str, float], dict[str, Told]] = defaultdict(dict)
    for each in case.journal.told:
        if each.notice == notice:
            told[each.target, each.since].setdefault(each.vm, each)
    return told


@judge("limits-kept")
def limits_kept(case: Case) -> Verdict:
    """LIMIT: all VMs that were told keep a target's limit together."""
    exercised, broken = 0, []
    arrivals = _arrivals(case)
    for (target, since), firsts in _first_told(case, "limit").items():
        limit = next(iter(firsts.values())).amount
        last = max(told.at for told in case.journal.told if told.since == since)
        allowed = LIMIT_OVERAGE * limit * LIMIT_WINDOW_S + LIMIT_SLACK
        window: list[Arrival] = []
        for arrival in arrivals[target]:
            told = firsts.get(arrival.vm)
            if told is None or not told.at + PASSED_ON_S <= arrival.at <= last:
                continue
            if case.troubled(arrival.vm, told.at, arrival.at):
                continue
            window.append(arrival)
            window = [one for one in window if one.at > arrival.at - LIMIT_WINDOW_S]
            if arrival.at < since + CONTACT_S:
                continue
            exercised += 1
            if len(window) > allowed:
                broken.append(
                    f"{target}: {len(window)} requests for a limit of {limit:g} a "
                    f"second, {arrival.at - since:.2f} s after it was named"
                )
    return Verdict(exercised, tuple(broken))


@judge("leaving-answers-heeded")
def leaving_answers_heeded(case: Case) -> Verdict:
    """DRAIN: a VM that a target told that it leaves sends nothing more there."""
    exercised, broken = 0, []
    arrivals = _arrivals(case)
    for (target, _), firsts in _first_told(case, "leaving").items():
        exercised += len(firsts)
        for arrival in arrivals[target]:
            told, sent = firsts.get(arrival.vm), case.sent.get(arrival.request_id)
            if told is None or sent is None:
                continue
            if sent.sent_at <= told.at + DRAIN_S + SLACK_S:
                continue
            ends = (arrival.vm, target)
            hurt = [case.troubled(each, told.at, arrival.at) for each in ends]
            if not any(hurt):
                late_s = sent.sent_at - told.at
                broken.append(f"{target}: by {arrival.vm}, sent {late_s:.2f} s late")
    return Verdict(exercised, tuple(broken))


@judge("rest-given")
def rest_given(case: Case) -> Verdict:
    """BUDGET: a VM that a target asked for rest sends nothing more there until then."""
    exercised, broken = 0, []
    arrivals = _arrivals(case)
    for told in case.journal.told:
        if told.notice != "rest":
            continue
        until = told.at + told.amount
        late = [
            each
            for each in arrivals[told.target]
            if each.vm == told.vm and told.at + PASSED_ON_S < each.at < until
        ]
        if any(case.troubled(each, told.at, until) for each in (told.vm, told.target)):
            continue
        exercised += 1
        if len(late) > REST_AT_MOST:
            broken.append(
                f"{told.target}: {len(late)} requests by {told.vm} "
                f"in {told.amount:g} s of rest"
            )
    return Verdict(exercised, tuple(broken))
