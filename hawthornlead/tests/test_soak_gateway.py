"""Tests of the soak over the gateway: its judges on wrong records, and a short run."""

import pytest

from hawthornlead.tests import soak_gateway
from hawthornlead.tests.soak_gateway_faults import GATEWAY_DECK
from hawthornlead.tests.soak_gateway_judges import GATEWAY_JUDGES, Case
from hawthornlead.tests.soak_gateway_records import (
    CUT_FROM_TARGETS,
    ENDED_BY_ITSELF,
    STORE,
    Arrival,
    Away,
    Journal,
    OrderSeen,
    OwnEnd,
    Probe,
    Run,
    Sent,
    Stopped,
    Told,
    Trouble,
    Written,
)

MODEL = "tide/a1"
ENDED = OwnEnd("vm-1", 7, -1, 50.0)
# One that breaks a rule with some patience, once more than it allows.
TOO_OFTEN = 11


def sent(kind="unsafe", name="r1", **changes):
    """Return a whole answer as its caller saw it, sent at 100 s."""
    stream = kind in ("stream", "resume")
    fields = {"kind": kind, "request_id": name, "method": "POST", "path": f"/{kind}/x"}
    fields |= {"model": MODEL if stream else "", "tokens": "9,3" if stream else ""}
    fields |= {"content": "c", "vm": "vm-1", "process_id": 7, "sent_at": 100.0}
    fields |= {"deadline_s": 6.0, "head_at": 100.1, "ended_at": 100.2, "status": 200}
    fields |= {"outcome": "whole", "seal": f"s-{name}", "answered_id": name}
    fields |= {"events": (1, 2, 3)} if stream else {"body": b"all of it"}
    return Sent(**(fields | changes))


def run(of, **changes):
    """Return the run that answered a request."""
    service = {"stream": "llm", "resume": "llm"}.get(of.kind, "plain")
    fields = {"target": "i-1", "service": service, "started_ms": 1, "vm": "vm-1"}
    fields |= {"request_id": of.request_id, "seal": f"s-{of.request_id}"}
    fields |= {"asked": (of.method, of.path, of.model, of.tokens, of.content)}
    fields |= {"adapter": of.model.partition("/")[2], "version": 2}
    fields |= {"arrived_at": 100.0, "begun_at": 100.05}
    made = Run(**(fields | {k: v for k, v in changes.items() if k in fields}))
    made.ended_at, made.outcome, made.status = 100.15, "done", 200
    made.body = b"all of it"
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def order(at=50.0, vm="vm-1", fence=1, **changes):
    fields = {"started_ms": 1, "holder": vm, "order": "load a1", "named_count": 0}
    fields |= {"found_count": 0, "status": 202, "late": False, "target": "i-1"}
    return OrderSeen(at=at, vm=vm, fence=fence, **(fields | changes))


def refused(name="r9", status=503, **changes):
    fields = {"outcome": "refused", "status": status, "seal": "", "body": b""}
    return sent(name=name, **(fields | changes))


def left(name="r8", **changes):
    return sent("safe", name, outcome="left", status=0, seal="", **changes)


def written(name="config", version=1, at=1.0, **routes):
    return Written(name, version, at, routes)


def cut(name="r1", kind="unsafe", **changes):
    fields = {"outcome": "broken", "status": 0, "seal": "", "events": ()}
    return sent(kind, name, **(fields | changes))


def told(notice, amount=1.0, vm="vm-1"):
    """Return a target's word to a VM, of which it says each from 100 s on."""
    return Told(f"i-{notice}", vm, notice, amount, 100.0, 100.1)


def arrival(at, notice, vm="vm-1", name="r7"):
    return Arrival(f"i-{notice}", vm, name, at)


def arrived(*arrivals):
    """Return a journal in which a request of 103 s reached these targets."""
    made = more_sent(sent("safe", "r7", sent_at=103.0, ended_at=104.0))
    made.arrivals += arrivals
    return made


def behind_cut(name, vm, **changes):
    """Return a request that was sent while vm-1 had no paths to targets."""
    return sent("safe", name, vm=vm, sent_at=303.5, ended_at=303.6, **changes)


def behind_cuts(count, **changes):
    """Return requests to a VM without paths, beside one that another VM served."""
    asked = [behind_cut(f"b{n}", "vm-1", **changes) for n in range(count)]
    return more_sent(behind_cut("b-other", "vm-2"), *asked)


def journal(**changes):
    """Return the journal of a run in which every rule was kept and tested."""
    resumed = sent("resume", "r3")
    moved = sent("moved", "r4")
    asked = [sent(), sent("stream", "r2"), resumed, moved, refused(), left()]
    made = Journal()
    made.sent = asked
    made.runs = [run(each) for each in (*asked[:2], moved, asked[5])]
    first = run(resumed, seal="s-0", outcome="cut", ended_at=100.06)
    made.runs += [first, run(resumed, target="i-2", begun_at=100.1)]
    made.orders = [order(), order(70.0, "vm-2", 2)]
    made.loads, made.log_lines = 3, 9
    made.written = [written(moved="other"), written(version=3, at=9.0, moved="plain")]
    made.written.append(written("a1", 2, 20.0))
    made.away = [Away("i-3", 99.0, 105.0)]
    made.told = [told("limit", 2.0), told("leaving"), told("rest", 3.0)]
    made.told.append(Told("i-limit", "vm-1", "limit", 2.0, 100.0, 105.0))
    made.arrivals = [arrival(103.5, "limit")]
    made.stopped = [Stopped("vm-1", 7, 100.1, 104.0, 0)]
    made.probes = [Probe("vm-1", "safe", True, "")]
    made.troubles = [Trouble(CUT_FROM_TARGETS, "vm-1>targets", 300.0, 306.0)]
    made.sent.append(behind_cut("r10", "vm-1"))
    made.runs.append(run(made.sent[-1]))
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def more_sent(*added, runs=()):
    """Return a journal with further requests and their runs."""
    made = journal()
    made.sent += added
    made.runs += runs
    return made


def troubled(made, *troubles):
    made.troubles = [Trouble(*each) for each in troubles]
    return made


def turns(*orders):
    return journal(orders=list(orders))


def away_run(**changes):
    """Return a run by a target 3 s after its entry said that it leaves."""
    of = sent("safe", "r7", sent_at=102.0, ended_at=102.3)
    arrived = {"arrived_at": 102.1, "begun_at": 102.1, "ended_at": 102.2}
    return more_sent(of, runs=[run(of, target="i-3", **(arrived | changes))])


def cuts(count):
    """Return requests that were cut at a sound target, with their runs."""
    asked = [cut(f"k{n}", process_id=8) for n in range(count)]
    return more_sent(*asked, runs=[run(each, ended_at=None) for each in asked])


def working_on(count):
    asked = [left(f"w{n}") for n in range(count)]
    return more_sent(*asked, runs=[run(each, ended_at=104.0) for each in asked])


def denied(count):
    return more_sent(*(refused(f"d{n}", 404, kind="safe") for n in range(count)))


def of_kind(kind="unsafe", run_changes=None, **changes):
    """Return a journal with one more request of a kind, and its run."""
    asked = sent(kind, "r7", **changes)
    return more_sent(asked, runs=[run(asked, **(run_changes or {}))])


# For each judge, journals that differ in one thing from the one that it passes.
WRONG = [
    ("one-owner", turns(order(50, "vm-1", 2), order(60, "vm-2", 1))),
    ("one-owner", turns(order(50, "vm-1", 2), order(60, "vm-1", 1))),
    ("one-owner", turns(order(50, "vm-1", 2), order(60, "vm-2", 2))),
    ("one-owner", turns(order(50), order(51, "vm-2", 2), order(52, "vm-1", 3))),
    (
        "one-owner",
        turns(order(50, fence=2), order(60, fence=1, started_ms=2)),
    ),
    ("fits", journal(overloaded=["a1 does not fit"])),
    ("at-most-once", of_kind("unsafe", {"request_id": "r1"})),
    ("at-most-once", of_kind("stream", {"request_id": "r2", "started_ms": 2})),
    (
        "one-engine-at-a-time",
        more_sent(runs=[run(sent("resume", "r3"), target="i-3", ended_at=101.0)]),
    ),
    ("refused-never-runs", more_sent(runs=[run(refused())])),
    ("refused-never-runs", more_sent(runs=[run(refused(), begun_at=130.0)])),
    ("own-answers", of_kind(body=b"a part")),
    ("own-answers", of_kind(seal="")),
    ("own-answers", of_kind(seal="s-r1")),
    ("own-answers", of_kind(seal="none")),
    ("own-answers", of_kind(answered_id="r1")),
    ("own-answers", of_kind(outcome="malformed")),
    ("own-answers", of_kind(run_changes={"status": 500})),
    ("own-answers", of_kind(outcome="refused", status=500)),
    ("streams-in-order", of_kind("stream", events=(1, 3))),
    ("streams-in-order", of_kind("stream", events=(1, 2, 2))),
    ("streams-in-order", of_kind("stream", events=(1, 2))),
    ("streams-in-order", of_kind("stream", body=b"id: 4")),
    ("streams-in-order", of_kind("stream", foreign_events=1)),
    ("streams-in-order", of_kind("resume", last_event=1, events=(1, 2, 3))),
    ("asked-for", of_kind(run_changes={"request_id": "of nobody"})),
    ("asked-for", of_kind(run_changes={"asked": ("POST", "/other", "", "", "c")})),
    ("own-service", of_kind(run_changes={"service": "other"})),
    ("not-denied", denied(TOO_OFTEN)),
    ("processes-live", journal(own_ends=[ENDED])),
    (
        "processes-live",
        troubled(journal(own_ends=[ENDED]), ("vms-reload", "vm-1", 49.9, 50.1, True)),
    ),
    (
        "processes-live",
        troubled(journal(own_ends=[ENDED]), ("vm-killed", "vm-1", 48.0, 48.9)),
    ),
    (
        "processes-live",
        troubled(journal(own_ends=[ENDED]), (ENDED_BY_ITSELF, "vm-1", 49.0, 49.5)),
    ),
    ("no-errors-of-its-own", journal(errors=["vm-1: a request failed"])),
    ("every-request-answered", more_sent(cut("r7", process_id=8))),
    ("recovers", journal(probes=[Probe("vm-1", "safe", False, "refused 503")])),
    ("configuration-in-force", of_kind("moved", {"service": "other"})),
    (
        "configuration-in-force",
        of_kind("moved", outcome="refused", status=404, seal=""),
    ),
    ("newest-version", of_kind("stream", {"version": 1})),
    ("leaving-targets-left", away_run()),
    ("stops-cut-nothing", of_kind(outcome="broken", status=0, ended_at=101.0)),
    ("stops-cut-nothing", more_sent(cut("r7", sent_at=100.2, ended_at=100.9))),
    (
        "stops-cut-nothing",
        troubled(
            of_kind("unsafe", {"vm": "vm-2"}, outcome="broken", status=0, ended_at=101),
            ("vm-terminated", "vm-2", 100.5, 100.9, True),
        ),
    ),
    ("stops-cut-nothing", journal(stopped=[Stopped("vm-1", 7, 100.1, 104.0, 1)])),
    ("stops-cut-nothing", journal(stopped=[Stopped("vm-1", 7, 100.1, 109.0, 0)])),
    ("kept-to-the-end", cuts(4)),
    ("left-is-left", working_on(1)),
    ("limits-kept", arrived(*[arrival(104.0, "limit")] * 18)),
    ("leaving-answers-heeded", arrived(arrival(103.1, "leaving"))),
    ("rest-given", arrived(*[arrival(101.0, "rest")] * 3)),
    ("served-behind-cuts", behind_cuts(20, outcome="refused", status=503)),
]

# What the pages allow, though it looks like one of the above.
ALLOWED = [
    (
        "one-owner",
        troubled(
            turns(order(50, "vm-1", 2), order(60, "vm-2", 1)),
            ("vm-frozen", "vm-2", 55.0, 59.9),
        ),
    ),
    ("refused-never-runs", of_kind("safe", outcome="refused", status=503)),
    ("not-denied", denied(10)),
    (
        "processes-live",
        troubled(journal(own_ends=[ENDED]), ("vm-killed", "vm-1", 49.5, 49.9)),
    ),
    ("configuration-in-force", of_kind("moved", {"service": "other"}, sent_at=10.0)),
    (
        "newest-version",
        troubled(of_kind("stream", {"version": 1}), ("down", STORE, 97.0, 98.0)),
    ),
    (
        "leaving-targets-left",
        troubled(away_run(), ("store-down", STORE, 98.0, 99.5)),
    ),
    (
        "stops-cut-nothing",
        of_kind(
            "unsafe", {"outcome": "cut"}, outcome="broken", status=0, ended_at=101.0
        ),
    ),
    (
        "stops-cut-nothing",
        more_sent(cut("r7", sent_at=100.2, ended_at=100.3)),
    ),
    (
        "stops-cut-nothing",
        troubled(
            of_kind("unsafe", {"vm": "vm-2"}, outcome="broken", status=0, ended_at=101),
            ("all-vms-killed", "vm-2", 100.5, 100.9),
        ),
    ),
    ("kept-to-the-end", cuts(3)),
    ("limits-kept", arrived(*[arrival(104.0, "limit", "vm-2")] * 18)),
    ("limits-kept", arrived(*[arrival(100.5, "limit")] * 18)),
    ("leaving-answers-heeded", arrived(arrival(103.1, "leaving", "vm-2"))),
    ("leaving-answers-heeded", arrived(arrival(103.1, "leaving", name="r1"))),
    ("rest-given", arrived(*[arrival(101.0, "rest")] * 2)),
    ("rest-given", arrived(*[arrival(100.5, "rest")] * 3)),
    ("served-behind-cuts", behind_cuts(10, outcome="refused", status=503)),
    ("served-behind-cuts", behind_cuts(20, outcome="left", status=0)),
]


@pytest.mark.parametrize("name", GATEWAY_JUDGES)
def test_right_records_pass_and_test_every_rule(name):
    verdict = GATEWAY_JUDGES[name](Case(journal()))
    assert verdict.exercised > 0
    assert verdict.broken == ()


@pytest.mark.parametrize("name, made", WRONG)
def test_wrong_records_are_found(name, made):
    assert GATEWAY_JUDGES[name](Case(made)).broken


@pytest.mark.parametrize("name, made", ALLOWED)
def test_what_the_pages_allow_is_no_fault(name, made):
    assert GATEWAY_JUDGES[name](Case(made)).broken == ()


def test_every_judge_can_fail():
    assert {name for name, _ in WRONG} == set(GATEWAY_JUDGES)


def test_a_rule_that_nothing_put_to_the_test_is_told():
    empty = Case(Journal())
    assert all(judge(empty).exercised == 0 for judge in GATEWAY_JUDGES.values())


def test_the_faults_that_the_users_list_are_in_the_schedule():
    wanted = {"vm-killed", "vm-frozen", "vm-terminated", "vms-reload", "vm-cut-off"}
    wanted |= {"vm-cut-from-store-one-way", "connections-silent", "paths-delayed"}
    wanted |= {"connections-reset", "store-down", "store-slow", "store-silent"}
    wanted |= {"store-loses-answers", "store-writes-late", "store-forgets"}
    wanted |= {"engine-restarts-after-order", "target-dark", "target-hangs"}
    wanted |= {"answers-lost", "orders-late", "target-drains", "entry-lapses"}
    wanted |= {"target-names-limit", "target-says-it-leaves", "target-asks-for-rest"}
    wanted |= {CUT_FROM_TARGETS}
    wanted |= {"entry-unreadable", "address-reused", "versions-named"}
    assert wanted <= set(GATEWAY_DECK.faults)


async def test_a_short_run_over_real_processes_keeps_all_rules(tmp_path):
    """Six gateways under every fault for some twenty seconds, by a fixed seed."""
    soak = soak_gateway.GatewaySoak(seed=11, minutes=0.2, vms=6)
    assert await soak.run(tmp_path)
