"""Tests of the soak over the gateway: its judges on wrong records, and a short run."""

import pytest

from hawthornlead.tests import soak_gateway
from hawthornlead.tests.soak_gateway_cases import (
    ENDED,
    TOO_OFTEN,
    after_crashes,
    arrival,
    arrived,
    at_two_engines,
    away_run,
    behind_cuts,
    behind_two_cuts,
    cut,
    cuts,
    denied,
    journal,
    losing_writes,
    more_sent,
    of_kind,
    order,
    quarantined,
    refused,
    refused_resumes,
    resumed_at_last,
    resuming,
    run,
    sent,
    troubled,
    turns,
    with_trouble,
    working_on,
)
from hawthornlead.tests.soak_gateway_faults import GATEWAY_DECK
from hawthornlead.tests.soak_gateway_judges import GATEWAY_JUDGES, Case
from hawthornlead.tests.soak_gateway_records import (
    CUT_FROM_TARGETS,
    ENDED_BY_ITSELF,
    STORE,
    Journal,
    PlaceCounts,
    Probe,
    Stopped,
)
from hawthornlead.tests.soak_gateway_remedies import (
    JUDGED_AT_END,
    REMEDIES,
    untested,
)

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
    (
        "one-engine-at-a-time",
        with_trouble(at_two_engines(), (CUT_FROM_TARGETS, "vm-2>i-3", 99.0, 105.0)),
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
    (
        "waiting-ends",
        journal(place_counts=[PlaceCounts("vm-1", 1, {"engine granted": 1})]),
    ),
    ("recovers", journal(probes=[Probe("vm-1", "safe", False, "refused 503")])),
    ("configuration-in-force", of_kind("moved", {"service": "other"})),
    (
        "configuration-in-force",
        of_kind("moved", outcome="refused", status=404, seal=""),
    ),
    ("newest-version", of_kind("stream", {"version": 1})),
    ("leaving-targets-left", away_run()),
    ("leaving-targets-left", losing_writes(away_run(), (95.0, 98.9), (99.1, 99.5))),
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
    (
        "kept-to-the-end",
        with_trouble(cuts(4), (CUT_FROM_TARGETS, "vm-1>i-9", 100.0, 101.5)),
    ),
    ("left-is-left", working_on(1)),
    ("limits-kept", arrived(*[arrival(104.0, "limit")] * 18)),
    ("leaving-answers-heeded", arrived(arrival(103.1, "leaving"))),
    ("rest-given", arrived(*[arrival(101.0, "rest")] * 3)),
    ("served-behind-cuts", behind_cuts(20, outcome="refused", status=503)),
    ("served-behind-cuts", behind_cuts(20, outcome="unconnected", status=0)),
    ("served-behind-cuts", behind_cuts(20, outcome="left", status=0)),
    ("served-behind-cuts", behind_two_cuts(6)),
    (
        "served-behind-cuts",
        with_trouble(
            behind_cuts(20, outcome="refused", status=503),
            ("store-down", STORE, 298.0, 300.4),
        ),
    ),
    (
        "served-behind-cuts",
        with_trouble(
            behind_cuts(20, outcome="refused", status=503),
            ("vm-killed", "vm-1", 299.0, 300.4),
        ),
    ),
    (
        "one-software-a-stream",
        more_sent(
            resuming("r7"),
            runs=[run(resuming("r7"), software="v2", last_event=2, begun_at=101.06)],
        ),
    ),
    (
        "one-software-a-stream",
        more_sent(
            sent("resume", "r7"),
            runs=[
                run(sent("resume", "r7"), begun_at=100.01),
                run(sent("resume", "r7"), last_event=1, software="v2"),
            ],
        ),
    ),
    ("resumed-streams-go-on", refused_resumes(20)),
    ("resumed-streams-go-on", refused_resumes(11, tries=2)),
    ("resumed-streams-go-on", refused_resumes(20, outcome="unconnected", status=0)),
    ("crashing-parts-stopped", after_crashes(4)),
    ("sound-prompts-served", quarantined()),
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
    (
        "one-engine-at-a-time",
        with_trouble(at_two_engines(), (CUT_FROM_TARGETS, "vm-1>i-3", 99.0, 105.0)),
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
    ("leaving-targets-left", losing_writes(away_run(), (98.0, 99.2))),
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
    (
        "kept-to-the-end",
        with_trouble(cuts(4), (CUT_FROM_TARGETS, "vm-1>i-1", 100.0, 101.5)),
    ),
    ("limits-kept", arrived(*[arrival(104.0, "limit", "vm-2")] * 18)),
    ("limits-kept", arrived(*[arrival(100.5, "limit")] * 18)),
    ("leaving-answers-heeded", arrived(arrival(103.1, "leaving", "vm-2"))),
    ("leaving-answers-heeded", arrived(arrival(103.1, "leaving", name="r1"))),
    ("rest-given", arrived(*[arrival(101.0, "rest")] * 2)),
    ("rest-given", arrived(*[arrival(100.5, "rest")] * 3)),
    ("served-behind-cuts", behind_cuts(10, outcome="refused", status=503)),
    ("served-behind-cuts", behind_two_cuts(5)),
    (
        "served-behind-cuts",
        behind_cuts(20, outcome="refused", status=503, earlier=1),
    ),
    (
        "served-behind-cuts",
        with_trouble(
            behind_cuts(20, outcome="refused", status=503),
            ("store-down", STORE, 302.4, 306.4),
        ),
    ),
    (
        "served-behind-cuts",
        with_trouble(
            behind_cuts(20, outcome="refused", status=503),
            ("vm-killed", "vm-1", 299.0, 301.0),
        ),
    ),
    (
        "one-software-a-stream",
        more_sent(
            sent("resume", "r7"),
            runs=[
                run(sent("resume", "r7"), begun_at=100.01),
                run(sent("resume", "r7"), software="v2"),
            ],
        ),
    ),
    ("crashing-parts-stopped", after_crashes(3)),
    (
        "crashing-parts-stopped",
        troubled(after_crashes(9), ("vm-killed", "vm-1", 121.0, 122.0)),
    ),
    ("sound-prompts-served", quarantined(part="bad1")),
    ("sound-prompts-served", quarantined(sent_at=102.0)),
    (
        "sound-prompts-served",
        troubled(quarantined(), ("vm-killed", "vm-1", 101.0, 102.0)),
    ),
    ("resumed-streams-go-on", refused_resumes(10)),
    ("resumed-streams-go-on", refused_resumes(10, tries=3)),
    ("resumed-streams-go-on", resumed_at_last(20)),
    ("resumed-streams-go-on", refused_resumes(20, resumes="unknown")),
    (
        "resumed-streams-go-on",
        troubled(refused_resumes(20), ("vm-killed", "vm-1", 99.0, 99.5)),
    ),
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


async def test_only_rules_that_nothing_put_to_the_test_get_a_remedy():
    """Guards against remedies that are played for no need, or for no rule."""
    assert await untested(journal()) == set()
    assert await untested(Journal()) == set(GATEWAY_JUDGES) - JUDGED_AT_END
    assert set(REMEDIES) <= set(GATEWAY_JUDGES) - JUDGED_AT_END


def test_the_faults_that_the_users_list_are_in_the_schedule():
    wanted = {"vm-killed", "vm-frozen", "vm-terminated", "vms-reload", "vm-cut-off"}
    wanted |= {"vm-cut-from-store-one-way", "connections-silent", "paths-delayed"}
    wanted |= {"connections-reset", "store-down", "store-slow", "store-silent"}
    wanted |= {"store-loses-answers", "store-writes-late", "store-forgets"}
    wanted |= {"engine-restarts-after-order", "target-dark", "target-hangs"}
    wanted |= {"answers-lost", "orders-late", "target-drains", "entry-lapses"}
    wanted |= {"target-names-limit", "target-says-it-leaves", "target-asks-for-rest"}
    wanted |= {CUT_FROM_TARGETS, "prompts-crash-engines"}
    wanted |= {"entry-unreadable", "address-reused", "versions-named"}
    assert wanted <= set(GATEWAY_DECK.faults)


async def test_a_short_run_over_real_processes_keeps_all_rules(tmp_path):
    """Six gateways under every fault for some twenty seconds, by a fixed seed."""
    soak = soak_gateway.GatewaySoak(seed=11, minutes=0.2, vms=6)
    assert await soak.run(tmp_path)
