"""Tests of the rules on runs: each kept, and broken by the least amount."""

import pytest

from conformance.tests.histories import Writer, broken, exchange, states


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_request_that_was_refused_does_not_run(status):
    """Guards against a promise that the run of the request breaks."""
    writer = Writer()
    writer.send()
    writer.arrive()
    writer.receive(status=status, seal="")
    assert states(writer)["REFUSED"] == "held"
    writer.run()
    assert broken(writer) == {"REFUSED"}


@pytest.mark.parametrize("status", [0, 502, 504])
def test_a_failure_that_promises_nothing_may_have_run(status):
    """Guards against a judge that reads a promise into every failure."""
    writer = exchange(sent=0)
    writer.receive(status=status, seal="")
    assert not broken(writer)


@pytest.mark.parametrize(
    ("path", "service"), [("/unsafe/1", "other"), ("/recap/1", "scribe")]
)
def test_a_request_that_may_not_be_repeated_runs_once(path, service):
    """Guards against a second run, which a refusal at another target is not."""
    writer = exchange(path, service, sent=50)
    writer.arrive(2, path=path, service=service, target="t2")
    assert states(writer)["TWICE"] == "held"
    writer.run(2)
    assert broken(writer) == {"TWICE"}


@pytest.mark.parametrize(
    ("path", "service"), [("/safe/1", "plain"), ("/ruling/1", "scribe")]
)
def test_a_request_that_may_be_repeated_runs_twice(path, service):
    """Guards against a judge that takes a right second run for a wrong one."""
    writer = exchange(path, service, sent=50)
    writer.arrive(2, path=path, service=service, target="t2")
    writer.run(2)
    assert not broken(writer)


@pytest.mark.parametrize(
    "changed",
    [
        {"request": "r2"},
        {"method": "GET"},
        {"path": "/safe/1?"},
        {"body": "0" * 32},
        {"headers": ["daka/a1", "100,40", ""]},
        {"headers": ["daka/a1", "100,41", "5c1e:60"]},
        {"headers": ["daka/a2", "100,40", "5c1e:60"]},
    ],
)
def test_a_request_reaches_its_target_as_it_was_sent(changed):
    """Guards against a request that no caller sent, or not in this form."""
    writer = Writer()
    writer.send()
    writer.arrive()
    assert states(writer)["UNASKED"] == "held"
    writer.arrive(2, **changed)
    assert broken(writer) == {"UNASKED"}


def test_a_request_runs_at_a_service_of_its_route():
    """Guards against the service of a shorter prefix."""
    writer = Writer()
    writer.send(path="/safe/deep/1")
    writer.arrive(path="/safe/deep/1", service="other")
    writer.run()
    assert states(writer)["ROUTE"] == "held"
    writer.arrive(2, path="/safe/deep/1", service="plain")
    assert states(writer)["ROUTE"] == "held"
    writer.run(2)
    assert broken(writer) == {"ROUTE"}


def test_a_request_that_only_one_route_fits_is_no_test_of_routes():
    """Guards against a route that is held where nothing could go wrong."""
    writer = Writer()
    writer.send()
    writer.arrive()
    writer.run()
    assert states(writer)["ROUTE"] == "not tested"


def drained(late_s, trouble_at=None, kind="vm"):
    """Return a history in which a request comes so late after its target left."""
    writer = Writer()
    writer.at = 10.0
    writer.send("r1")
    writer.arrive(1, "r1")
    writer.leave()
    left = writer.at
    if trouble_at is not None:
        writer.at = left + trouble_at
        writer.trouble(kind)
    writer.at = left + late_s - 0.02
    writer.send("r2")
    writer.arrive(2, "r2")
    return writer


def test_a_request_reaches_a_target_that_has_left_for_long():
    """Guards against requests to a target that is known to leave."""
    assert not broken(drained(2.05))
    assert broken(drained(2.2)) == {"DRAIN"}


def test_a_request_to_another_target_puts_the_drain_to_the_test():
    """Guards against a drain that is held although nobody asked for the service."""
    writer = drained(1.0)
    assert states(writer)["DRAIN"] == "not tested"
    writer.at += 2.0
    writer.send("r3")
    writer.arrive(3, "r3", target="t2")
    assert states(writer)["DRAIN"] == "held"


@pytest.mark.parametrize("kind", ["vm", "store"])
def test_a_vm_out_of_touch_may_not_know_that_a_target_leaves(kind):
    """Guards against a judge that asks for news that couldn't come."""
    assert not broken(drained(2.2, trouble_at=1.0, kind=kind))
    assert not broken(drained(2.2, trouble_at=-2.9, kind=kind))
    assert broken(drained(2.2, trouble_at=-3.1, kind=kind)) == {"DRAIN"}


def test_a_disturbed_target_excuses_no_drain():
    """Guards against an excuse by what disturbs no VM."""
    assert broken(drained(2.2, trouble_at=1.0, kind="target")) == {"DRAIN"}
