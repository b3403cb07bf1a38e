"""Judges of streams that callers resume; see ``soak_gateway_judges``."""

from collections import defaultdict

from .soak_gateway_judges import Case, judge
from .soak_gateway_records import CONTACT_S, Run, Sent
from .soak_judges import Verdict

# So few streams say nothing of the share that goes on.
FEW_STREAMS = 12
GOES_ON_SHARE = 0.5
SERVING_ENGINES = 2


@judge("one-software-a-stream")
def one_software_a_stream(case: Case) -> Verdict:
    """ORDER: the events of a stream are of one software version, over all requests."""
    exercised, broken = 0, []
    for origin, attempts in _streams(case).items():
        written = _runs_with_events(case, attempts)
        exercised += len(written) > 1
        if len({run.software for run in written}) > 1:
            where = [f"{run.target}@{run.software} by {run.vm}" for run in written]
            broken.append(f"{origin}: {where}")
    return Verdict(exercised, tuple(broken))


def _streams(case: Case) -> dict[str, list[Sent]]:
    """Return all requests of each resumable stream, in their order."""
    streams: dict[str, list[Sent]] = defaultdict(list)
    for sent in sorted(case.journal.sent, key=lambda each: each.sent_at):
        if sent.kind == "resume":
            streams[sent.resumes or sent.request_id].append(sent)
    return streams


def _runs_with_events(case: Case, attempts: list[Sent]) -> list[Run]:
    """Return the runs of a stream from which its caller has events.

    A run has brought events if the next one goes on later in the stream than it did.
    """
    runs = [run for sent in attempts for run in case.runs[sent.request_id]]
    runs.sort(key=lambda run: run.begun_at)
    if not runs:
        return []
    last = max([0, *[event for sent in attempts for event in sent.events]])
    goes_on_at = [*[run.last_event for run in runs[1:]], last]
    return [
        run
        for run, until in zip(runs, goes_on_at, strict=True)
        if until > run.last_event
    ]


@judge("resumed-streams-go-on")
def resumed_streams_go_on(case: Case) -> Verdict:
    """LOST: resumed streams go on at least half as often as new ones begin.

    A stream that its caller takes up again, or begins, counts once, however many tries
    that takes at VMs in touch.
    """
    resumed: dict[tuple[str, int], bool] = {}
    new: dict[str, bool] = {}
    for sent in case.journal.sent:
        if sent.kind != "resume" or not sent.vm or sent.outcome == "left":
            continue
        if not case.in_touch(sent.vm, sent.sent_at, sent.ended_at):
            continue
        if not sent.resumes:
            new[sent.content] = new.get(sent.content, False) or bool(sent.events)
        elif _engines_serving(case, sent) >= SERVING_ENGINES:
            stream = sent.resumes, sent.last_event
            went_on = bool(sent.events) or sent.outcome == "whole"
            resumed[stream] = resumed.get(stream, False) or went_on
    share = sum(resumed.values()) / max(1, len(resumed))
    begins = sum(new.values()) / max(1, len(new))
    broken = ()
    if len(resumed) >= FEW_STREAMS and share < GOES_ON_SHARE * begins:
        broken = (
            f"{sum(resumed.values())} of {len(resumed)} go on, "
            f"{sum(new.values())} of {len(new)} begin",
        )
    return Verdict(len(resumed), broken)


def _engines_serving(case: Case, sent: Sent) -> int:
    """Return how many engines of the version of a resumed stream serve meanwhile."""
    origin = case.sent.get(sent.resumes)
    if origin is None:
        return 0
    written = _runs_with_events(case, [origin])
    if not written:
        return 0
    serving = 0
    for target, software in _software_at(case, sent.sent_at).items():
        away = any(
            each.target == target
            and each.begun_at <= sent.ended_at
            and sent.sent_at <= each.ended_at
            for each in case.journal.away
        )
        hurt = case.troubled(target, sent.sent_at - CONTACT_S, sent.ended_at)
        serving += software == written[0].software and not away and not hurt
    return serving


def _software_at(case: Case, at: float) -> dict[str, str]:
    """Return the software version that each engine runs at a moment."""
    return {
        start.target: start.software
        for start in case.journal.software
        if start.service == "llm" and start.at <= at
    }
