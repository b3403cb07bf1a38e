"""The response fuzzer with fixed seeds, and its judge on small records."""

from collections import Counter

import pytest

from .fuzz_judge import Got, Sent, judge
from .fuzz_responses import Result, run_seed

SEEDS = (1, 11)
REQUESTS = 150

EVENTS = [b"id: %d\ndata: run-1 of r\n\n" % number for number in range(1, 7)]
LATER = [b"id: %d\ndata: run-2 of r\n\n" % number for number in range(1, 7)]
OWN = Sent("r", 1, 200, "seal-1", b"run-1 of r", True)
FAILED = OWN._replace(status=500)
UNRUN = OWN._replace(status=503, ran=False)
STREAM = OWN._replace(body=b"".join(EVENTS))
RESUMED = STREAM._replace(run=2, seal="seal-2", body=b"".join(LATER[3:]))
CUT = STREAM._replace(complete=False)
GOT = Got("r", "unsafe", 200, "seal-1", b"run-1 of r", True, "r")
REFUSED = Got("r", "unsafe", 503)
BROKEN = Got("r", "unsafe", 502)


def stream(*events: bytes, whole: bool = True, kind: str = "stream") -> Got:
    """Return what a caller got of a stream."""
    return GOT._replace(kind=kind, body=b"".join(events), whole=whole)


async def test_callers_get_their_own_responses_whatever_targets_send():
    """Guards against responses that are mixed, truncated, repeated or waited for."""
    result = Result([], Counter(), Counter())
    for seed in SEEDS:
        ran = await run_seed(seed, REQUESTS)
        assert not ran.faults, f"seed {seed}"
        result = Result([], result.drawn + ran.drawn, result.got + ran.got)
    assert not result.missing, result.drawn


@pytest.mark.parametrize(
    "got, sent",
    [
        (GOT, [OWN]),
        (GOT._replace(status=500), [FAILED]),
        (GOT, [UNRUN._replace(run=2, seal="seal-2"), OWN]),
        (GOT._replace(body=b"run-"), [OWN._replace(body=b"run-")]),
        (GOT._replace(body=b"run-1", whole=False), [OWN._replace(complete=False)]),
        (REFUSED, []),
        (REFUSED, [UNRUN]),
        (BROKEN, [OWN._replace(complete=False)]),
        (BROKEN._replace(status=0, whole=False), [OWN]),
        (BROKEN._replace(status=504), [OWN._replace(known=False)]),
        (stream(*EVENTS), [STREAM]),
        (stream(*EVENTS[:2], whole=False), [CUT]),
        (stream(*EVENTS[:2]), [STREAM._replace(body=b"".join(EVENTS[:2]))]),
        (stream(*EVENTS[:3], *LATER[3:], kind="resume"), [CUT, RESUMED]),
        (stream(*EVENTS), [CUT, RESUMED._replace(body=b"", ran=False)]),
        (Got("r", "order", 200), [OWN._replace(seal="")]),
        (Got("r", "order", 0), [OWN._replace(seal="")]),
        (Got("r", "report", 0, number=1), [OWN]),
    ],
)
def test_the_judge_takes_what_is_right(got, sent):
    assert judge([got], sent) == []


@pytest.mark.parametrize(
    "rule, got, sent",
    [
        ("1", GOT._replace(seal=""), [OWN]),
        ("1, 3", GOT, [FAILED]),
        ("1", GOT._replace(body=b"run-1 of"), [OWN]),
        ("1", GOT._replace(body=b"run-1 x", whole=False), [OWN]),
        ("1", stream(*EVENTS)._replace(seal=""), [STREAM]),
        ("1", Got("r", "order", 200), [OWN._replace(status=409)]),
        ("2", GOT._replace(named="r2"), [OWN]),
        ("2", GOT._replace(seal="seal-2"), [OWN]),
        ("2", GOT._replace(body=b"run-2 of r2"), [OWN]),
        ("2", Got("r", "report", 0, number=2), [OWN]),
        ("1, 3", GOT._replace(status=502), [FAILED]),
        ("4", GOT, [OWN._replace(complete=False)]),
        ("4", stream(*EVENTS, b"id: 7"), [STREAM]),
        ("5", stream(*EVENTS), [CUT]),
        ("5", stream(*EVENTS[:5]), [STREAM]),
        ("5", stream(*EVENTS[1:]), [STREAM]),
        ("5", stream(*EVENTS[:2], EVENTS[1], whole=False), [STREAM]),
        ("5", stream(EVENTS[1], EVENTS[0], whole=False), [STREAM]),
        ("5", stream(b"id: 1\ndata: run-1 of~\n\n", whole=False), [STREAM]),
        ("5", stream(EVENTS[0], b"HTTP/1.1 200", whole=False), [STREAM]),
        ("5", stream(*EVENTS[:3], *LATER[4:], kind="resume"), [CUT, RESUMED]),
        ("6", GOT, [OWN, OWN._replace(run=2, seal="seal-2")]),
        ("6", REFUSED, [OWN]),
        ("6", REFUSED._replace(status=429), [UNRUN, OWN]),
        ("6", REFUSED._replace(kind="safe"), [OWN]),
        ("7", BROKEN._replace(status=504), [OWN]),
        ("7", Got("r", "order", 0, late=True), [OWN]),
    ],
)
def test_the_judge_finds_the_smallest_fault(rule, got, sent):
    """Guards against a fuzz that finds nothing because its judge sees nothing."""
    faults = judge([got], sent)
    assert any(f": {rule}: " in fault for fault in faults), faults


def test_a_draw_that_never_came_is_named():
    """Guards against a fuzz that no longer draws what it is meant to draw."""
    assert "kind late" in Result([], Counter(), Counter()).missing
