"""Judges of rules with a bound in time; see ``soak_gateway_judges``."""

from collections import defaultdict

from .soak_gateway_judges import BROKE_OFF, SLACK_S, Case, judge
from .soak_gateway_records import (
    CONTACT_S,
    CUT_FROM_TARGETS,
    STORE,
    Away,
    Run,
    Sent,
    Stopped,
    Written,
)
from .soak_judges import Verdict

VERSION_S = 5.0
DRAIN_S = 2.0
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
LOST_AT_MOST = 3
LEFT_S = 0.5
# VMs without paths to targets serve this share of what the others serve, or fail no
# more requests than these and this share of all.
SERVED_SHARE = 2 / 3
FAILED_AT_MOST, FAILED_SHARE = 10, 1 / 50
# Streams are left out: under the soak's load most are refused for want of slots at all
# VMs, and one of the VMs without paths is sent more of them than the others.
SERVED_KINDS = frozenset(("safe", "unsafe"))


@judge("configuration-in-force")
def configuration_in_force(case: Case) -> Verdict:
    """CONFIG: requests go by a configuration that may be in force."""
    exercised, broken = 0, []
    for sent in case.journal.sent:
        if sent.kind not in ("moved", "added") or not sent.vm or not sent.status:
            continue
        if not case.in_touch(sent.vm, sent.sent_at, sent.sent_at):
            continue
        configs = case.in_force(sent.sent_at, sent.ended_at)
        if not configs:
            continue
        exercised += 1
        versions = [config.version for config in configs]
        services = {config.routes.get(sent.kind, "") for config in configs}
        denied = sent.status == 404 and not sent.seal
        if denied and "" not in services:
            broken.append(f"{sent.vm}: {sent.request_id} has no route under {versions}")
        for run in case.runs[sent.request_id]:
            if run.service not in services:
                broken.append(
                    f"{sent.vm}: {sent.request_id} ran at {run.target} of "
                    f"{run.service}, {services} under {versions}"
                )
    return Verdict(exercised, tuple(broken))


@judge("newest-version")
def newest_version(case: Case) -> Verdict:
    """VERSION: after its time, no run begins on an older version of its adapter."""
    exercised, broken = 0, []
    named: dict[str, list[Written]] = defaultdict(list)
    for written in case.journal.written:
        named[written.name].append(written)
    for run in case.journal.runs:
        begins = run.begun_at - VERSION_S
        due = [each.version for each in named[run.adapter] if each.at < begins]
        calm = not case.troubled(run.vm, begins, run.begun_at)
        if not due or not calm or not case.all_calm(begins, run.begun_at):
            continue
        exercised += 1
        if run.version < max(due):
            broken.append(
                f"{run.seal}: {run.request_id} began on {run.adapter}@{run.version} "
                f"by {run.vm}, {max(due)} was named"
            )
    return Verdict(exercised, tuple(broken))


@judge("leaving-targets-left")
def leaving_targets_left(case: Case) -> Verdict:
    """DRAIN: nothing reaches a target long after its entry said that it leaves."""
    exercised, broken = 0, []
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in case.journal.runs:
        runs[run.target].append(run)
    for away in case.journal.away:
        due = away.begun_at + DRAIN_S
        if away.ended_at <= due or _was_lost(case, away):
            continue
        exercised += not case.troubled(STORE, away.begun_at - CONTACT_S, due)
        for run in runs[away.target]:
            sent = case.sent.get(run.request_id)
            if not due < run.arrived_at < away.ended_at - SLACK_S or sent is None:
                continue
            if case.in_touch(run.vm, sent.sent_at, run.arrived_at):
                late_s = run.arrived_at - away.begun_at
                broken.append(f"{run.seal}: by {run.vm}, {late_s:.2f} s after its word")
    return Verdict(exercised, tuple(broken))


def _was_lost(case: Case, away: Away) -> bool:
    """Whether the store lost a target's word, so that no VM could read it there."""
    return any(
        lost.begun_at <= away.begun_at <= lost.ended_at
        for lost in case.journal.lost_writes
    )


@judge("stops-cut-nothing")
def stops_cut_nothing(case: Case) -> Verdict:
    """LOST: nothing is lost by a SIGTERM alone, which ends within its grace."""
    exercised, broken = 0, []
    for stop in case.journal.stopped:
        whole_s = stop.ended_at - stop.asked_at
        calm = not case.troubled(
            stop.vm, stop.asked_at - CONTACT_S, stop.ended_at, False
        )
        if calm and (stop.exit_code or whole_s > GRACE_S + SLACK_S):
            broken.append(f"{stop.vm}: exit code {stop.exit_code} in {whole_s:.1f} s")
        for sent in case.journal.sent:
            if sent.process_id != stop.process_id or sent.ended_at < stop.asked_at:
                continue
            exercised += 1
            if sent.outcome == "broken" and _lost(case, sent, stop):
                broken.append(
                    f"{stop.vm}: {sent.request_id} ({sent.kind}) was cut, sent "
                    f"{sent.sent_at - stop.asked_at:.2f} s after SIGTERM, cut at "
                    f"{sent.ended_at - stop.asked_at:.2f} s"
                )
    return Verdict(exercised, tuple(broken))


def _lost(case: Case, sent: Sent, stop: Stopped) -> bool:
    begin, end = sent.sent_at - CONTACT_S, sent.ended_at
    if case.troubled(sent.vm, begin, end, planned=False):
        return False
    runs = case.runs[sent.request_id]
    if not runs and end - sent.sent_at <= LOSS_SLACK_S:
        return False
    if end >= sent.sent_at + sent.deadline_s - SLACK_S:
        return False
    for run in runs:
        if run.outcome in BROKE_OFF or case.troubled(run.target, begin, end):
            return False
        if case.troubled(run.vm, begin, end, planned=False):
            # It came there by another VM, which didn't live to pass the answer back.
            return False
    in_last_sixth = end > stop.asked_at + GRACE_S * 5 / 6
    return not (runs and in_last_sixth and sent.sent_at < stop.asked_at + 3.0)


@judge("kept-to-the-end")
def kept_to_the_end(case: Case) -> Verdict:
    """LOST: what a sound target has, its VM doesn't cut."""
    exercised, cut = 0, []
    for sent in case.journal.sent:
        runs = case.runs[sent.request_id]
        begin, end = sent.sent_at, sent.ended_at
        if not runs or not sent.vm or not case.in_touch(sent.vm, begin, end):
            continue
        exercised += 1
        if sent.outcome != "broken":
            continue
        sound = not any(
            run.outcome in BROKE_OFF
            or case.troubled(run.target, begin - CONTACT_S, end)
            or case.troubled(run.vm, begin - CONTACT_S, end, planned=False)
            or case.troubled(f"{run.vm}>{run.target}", begin - CONTACT_S, end)
            for run in runs
        )
        if sound:
            cut.append(f"{sent.vm}: {sent.request_id} ({sent.kind}): {sent.detail}")
    return Verdict(exercised, tuple(cut) if len(cut) > LOST_AT_MOST else ())


@judge("left-is-left")
def left_is_left(case: Case) -> Verdict:
    """GONE: targets don't work on for callers that have left."""
    exercised, broken = 0, []
    for sent in case.journal.sent:
        begin, end = sent.sent_at, sent.ended_at
        if sent.outcome != "left" or not case.in_touch(sent.vm, begin, end + LEFT_S):
            continue
        for run in case.runs[sent.request_id]:
            if case.troubled(run.target, begin - CONTACT_S, end + LEFT_S):
                continue
            exercised += 1
            if (run.ended_at or float("inf")) > end + LEFT_S + SLACK_S:
                broken.append(f"{sent.vm}: {run.seal} works on for {sent.request_id}")
    return Verdict(exercised, tuple(broken) if 4 * len(broken) > exercised else ())


@judge("served-behind-cuts")
def served_behind_cuts(case: Case) -> Verdict:
    """RECOVER: VMs that reach no target serve their callers as the others do.

    First tries at VMs in touch count, from ``CONTACT_S`` after the cut began. One
    that was not connected, or had no answer by its deadline, failed.
    """
    exercised, broken = 0, []
    for cut, vms in _cuts_from_targets(case).items():
        tries = [each for each in case.journal.sent if _is_judged(case, each, cut)]
        behind = [each for each in tries if each.vm in vms]
        others = [each for each in tries if _has_paths(case, each)]
        exercised += bool(behind)
        served = _served(behind)
        fails = len(behind) - served > FAILED_AT_MOST + FAILED_SHARE * len(tries)
        share = SERVED_SHARE * _served(others) / max(1, len(others))
        if fails and served < share * len(behind):
            broken.append(
                f"{sorted(vms)}: served {served} of {len(behind)} without paths to "
                f"targets, the others {_served(others)} of {len(others)}"
            )
    return Verdict(exercised, tuple(broken))


def _cuts_from_targets(case: Case) -> dict[tuple[float, float], set[str]]:
    """Return by begin and end which VMs were cut from all targets at once."""
    ends: dict[float, float] = {}
    vms: dict[float, set[str]] = defaultdict(set)
    for each in case.journal.troubles:
        vm, _, path = each.subject.partition(">")
        if each.fault == CUT_FROM_TARGETS and path == "targets":
            at = each.begun_at
            ends[at] = min(each.ended_at, ends.get(at, each.ended_at))
            vms[at].add(vm)
    return {(at, ends[at]): vms[at] for at in ends}


def _is_judged(case: Case, sent: Sent, cut: tuple[float, float]) -> bool:
    """Whether an attempt is a first try at a VM in touch, late enough in a cut."""
    if sent.kind not in SERVED_KINDS or sent.earlier or not sent.vm:
        return False
    in_cut = cut[0] + CONTACT_S <= sent.sent_at and sent.ended_at <= cut[1]
    return in_cut and case.in_touch(sent.vm, sent.sent_at, sent.ended_at)


def _has_paths(case: Case, sent: Sent) -> bool:
    """Whether the VM of an attempt was not cut from all targets."""
    subject = f"{sent.vm}>targets"
    return not case.troubled(subject, sent.sent_at - CONTACT_S, sent.ended_at)


def _served(sent: list[Sent]) -> int:
    return sum(each.outcome == "whole" and each.status == 200 for each in sent)
