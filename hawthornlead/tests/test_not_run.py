"""Each row of docs/not-run.md through whole daemons; the targets' record judges.

A refusal that says "not run" must be true by the record, whatever failed: a caller
takes it as leave to send again. "may have run" may err, but where a row names it the
record shows why it has to be said.
"""

import asyncio

import pytest

from hawthornlead.callers.attempts import _refused
from hawthornlead.errors import ErrorKind

from .whole_fleets import until, whole_fleet

KEYED = {"Idempotency-Key": "k1"}


def runs_of(fleet, reply) -> list[dict]:
    """Return what all engines ran of the request that a reply answers."""
    request_id = reply.headers["Hawthornlead-Request-Id"]
    found = []
    for engine in ("engine-1", "engine-2"):
        for run in fleet.runs(engine):
            if run["id"].split(".")[0] == request_id:
                found.append(run)
    return found


def judged(fleet, reply) -> tuple[int, str, str]:
    """Return what a reply tells, after the record was asked whether it is true."""
    if reply.json["ran"] == "not run":
        assert runs_of(fleet, reply) == []
    return reply.error


@pytest.fixture
async def fleet():
    async with whole_fleet(
        engines={"engine-1": {"slots": 2}, "engine-2": {"slots": 2}},
        services=("bulletins-1", "bulletins-2"),
        STREAM_SILENT_S=0.4,
        DEFAULT_DEADLINE_S=3.0,
    ) as running:
        assert (await running.complete("entry-1")).status == 200
        yield running


def set_engines(fleet, **faults) -> None:
    """Set the same faults on both engines."""
    for engine in ("engine-1", "engine-2"):
        fleet.standin(engine).set_faults(**faults)


async def test_a_refused_connection_is_not_run(fleet):
    """Both engines' processes are gone; the grants that the VM holds still stand."""
    for engine in ("engine-1", "engine-2"):
        fleet.standin(engine).vanish()
    reply = await fleet.complete("entry-1", headers=KEYED)
    status, kind, ran = judged(fleet, reply)
    assert (status, ran) == (502, "not run") and kind == "target-unreachable"


async def test_one_target_gone_costs_a_repeatable_request_nothing(fleet):
    """The engine that holds the adapter dies; a retry loads it on the other."""
    holder = next(e for e in ("engine-1", "engine-2") if fleet.runs(e))
    fleet.standin(holder).vanish()
    assert (await fleet.complete("entry-1")).status == 200


async def test_a_promised_refusal_is_not_run(fleet):
    """Engines are full and say "ran: false". Only their own word proves that."""
    set_engines(fleet, overload=-1)
    reply = await fleet.complete("entry-1", headers=KEYED)
    assert judged(fleet, reply) == (503, "target-refused", "not run")
    assert fleet.standin("engine-1").counts["refused"] > 0
    set_engines(fleet, overload=0)
    # The claim was recorded as not run, so that the same key may try again.
    assert (await fleet.complete("entry-1", headers=KEYED)).status == 200


MAY_HAVE_RUN = {
    "silence after the send": ({"late_s": 3.0}, (502, "target-lost")),
    "reset before the first token": ({"crash_marker": "tide"}, (502, "target-lost")),
    "reset in the middle": (
        {"crash_marker": "tide", "crash_after_tokens": 3},
        (502, "target-lost"),
    ),
    "cut short": ({"truncate": -1}, (502, "target-lost")),
    "another version": ({"wrong_version": -1}, (502, "wrong-answer")),
    "doubled": ({"double": -1}, (502, "wrong-answer")),
    "tokens doubled": ({"double_tokens": -1}, (502, "wrong-answer")),
}


@pytest.mark.parametrize("row", list(MAY_HAVE_RUN))
async def test_what_was_sent_once_may_have_run(fleet, row):
    """A request that may not be repeated is sent, and its answer goes wrong.

    It ran at its target, in part or whole. Told "not run" its caller would send it
    again; retried by the layer it would run twice.
    """
    faults, (status, kind) = MAY_HAVE_RUN[row]
    set_engines(fleet, **faults)
    reply = await fleet.complete("entry-1", headers=KEYED)
    assert judged(fleet, reply) == (status, kind, "may have run")
    assert len(runs_of(fleet, reply)) == 1
    again = await fleet.complete("entry-1", headers=KEYED)
    assert again.error == (409, "duplicate-unknown", "may have run")
    assert runs_of(fleet, again) == []


def test_a_status_without_a_promise_may_have_run():
    """A proxy before the target answers 502: its word proves nothing of the run."""
    assert _refused(502, b"bad gateway").kind is ErrorKind.TARGET_LOST
    assert _refused(503, b'{"error": "full"}').kind is ErrorKind.TARGET_LOST
    assert _refused(503, b'{"ran": 0}').kind is ErrorKind.TARGET_LOST
    assert _refused(503, b'{"ran": false}').kind is ErrorKind.TARGET_REFUSED


async def test_a_deadline_after_the_send_may_have_run(fleet):
    set_engines(fleet, token_s=0.1)
    headers = {**KEYED, "Hawthornlead-Deadline-Ms": "350"}
    reply = await fleet.complete("entry-1", headers=headers)
    assert judged(fleet, reply) == (504, "deadline-passed", "may have run")
    assert len(runs_of(fleet, reply)) == 1
    await until(lambda: runs_of(fleet, reply)[0]["outcome"])
    assert runs_of(fleet, reply)[0]["cancelled"]


async def test_a_deadline_before_the_send_is_not_run(fleet):
    headers = {"Hawthornlead-Deadline-Ms": "20"}
    reply = await fleet.complete("entry-1", headers=headers)
    assert judged(fleet, reply) == (504, "too-late-to-start", "not run")


async def test_no_target_no_slot_and_a_failed_load_are_not_run(fleet):
    """All slots are taken by adapters whose answers run on, or loads fail."""
    set_engines(fleet, fail_loads=-1)
    reply = await fleet.complete("entry-1", "brief-2", headers=KEYED)
    status, kind, ran = judged(fleet, reply)
    assert (status, ran) == (503, "not run")
    assert kind == "load-failed"
    set_engines(fleet, fail_loads=0)
    for engine in ("engine-1", "engine-2"):
        fleet.set_listed(engine, state="leaving")
    views = fleet.daemons["entry-1"]._views
    await until(lambda: all(view.leaving for view in views.views()))
    reply = await fleet.complete("entry-1", "brief-2", headers=KEYED)
    assert judged(fleet, reply) == (503, "no-target", "not run")
    assert float(reply.headers["Retry-After"]) >= 1


async def test_slots_full_of_running_answers_refuse_the_rest(fleet):
    """Four slots run four adapters' long answers, and a fifth adapter is asked for.

    Nothing may be evicted below a running answer; the request is refused by its
    deadline, nothing of it ran, and the four end whole.
    """
    set_engines(fleet, token_s=0.05)
    long = []
    for number in range(1, 5):
        asked = fleet.complete("entry-1", f"brief-{number}", max_tokens=40, stream=True)
        long.append(asyncio.ensure_future(asked))
        await until(lambda: _running(fleet) == len(long))
    headers = {"Hawthornlead-Deadline-Ms": "500"}
    reply = await fleet.complete("entry-1", "brief-5", headers=headers)
    status, kind, ran = judged(fleet, reply)
    assert ran == "not run" and status in (503, 504)
    for answer in await asyncio.gather(*long):
        assert answer.events[-1] == {"done": True, "count": 40}
    assert all(fleet.standin(e).violations == [] for e in ("engine-1", "engine-2"))


def _running(fleet) -> int:
    return sum(
        run["outcome"] == "" and run["started"] is not None
        for engine in ("engine-1", "engine-2")
        for run in fleet.runs(engine)
    )


# Service calls


async def post(fleet, key="s1", **headers):
    """File a bulletin, which may not be repeated."""
    return await fleet.call(
        "entry-1", "POST", "/file", b"bulletin", Idempotency_Key=key, **headers
    )


def set_services(fleet, **faults) -> None:
    """Set the same faults on both services."""
    for service in ("bulletins-1", "bulletins-2"):
        fleet.standin(service).set_faults(**faults)


def ran(fleet, key="s1") -> int:
    """Return how often both services ran a key."""
    return sum(fleet.standin(s).ran(key) for s in ("bulletins-1", "bulletins-2"))


SERVICE_ROWS = {
    "promised refusal": ({"refuse": -1}, (503, "target-refused", "not run"), 0),
    "reset before it ran": (
        {"crash_before": -1},
        (502, "target-lost", "may have run"),
        0,
    ),
    "reset after it ran": (
        {"crash_after": -1},
        (502, "target-lost", "may have run"),
        1,
    ),
    "failed in the middle": ({"fail": -1}, (502, "target-lost", "may have run"), 1),
    "silence after the send": (
        {"delay_s": 3.0},
        (502, "target-lost", "may have run"),
        1,
    ),
}


@pytest.mark.parametrize("row", list(SERVICE_ROWS))
async def test_a_service_call_is_told_truly(fleet, row):
    """A call that may not be repeated fails at its service, in each way.

    Told "not run" though it ran, or retried by the layer, it would run twice.
    """
    faults, told, count = SERVICE_ROWS[row]
    set_services(fleet, **faults)
    reply = await post(fleet)
    assert reply.error == told
    assert ran(fleet) == count
    calm = {"refuse": 0, "crash_before": 0, "crash_after": 0, "fail": 0, "delay_s": 0}
    set_services(fleet, **calm)
    again = await post(fleet)
    if told[2] == "not run":
        assert again.status == 200 and ran(fleet) == 1
    else:
        assert again.error == (409, "duplicate-unknown", "may have run")
        assert ran(fleet) == count


async def test_a_service_that_is_gone_is_not_run(fleet):
    for service in ("bulletins-1", "bulletins-2"):
        fleet.standin(service).vanish()
    assert (await post(fleet)).error == (502, "target-unreachable", "not run")


async def test_a_service_call_whose_deadline_passes_may_have_run(fleet):
    set_services(fleet, delay_s=2.0)
    reply = await post(fleet, Hawthornlead_Deadline_Ms="200")
    assert reply.error == (504, "deadline-passed", "may have run")
    assert ran(fleet) == 1


async def test_a_service_that_drips_is_left_at_the_deadline(fleet):
    """A service sends a byte of its answer now and then, and never an end.

    It is never silent. Without the deadline its caller would wait for good, and the
    request would keep its place on this VM.
    """

    async def drip(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        while not writer.is_closing():
            writer.write(b".")
            await asyncio.sleep(0.05)

    server = await asyncio.start_server(drip, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    vm_list = fleet.daemons["entry-1"]._vm_list
    for service in ("bulletins-1", "bulletins-2"):
        fleet.set_listed(service, address=f"127.0.0.1:{port}")
    await until(lambda: str(port) in str(vm_list.services("bulletins")[0].address))
    reply = await post(fleet, Hawthornlead_Deadline_Ms="600")
    assert reply.error == (504, "deadline-passed", "may have run")
    server.close()


async def test_a_repeatable_call_is_retried_to_an_answer(fleet):
    """A search fails at one service VM after it ran: it may simply run again."""
    fleet.standin("bulletins-1").set_faults(crash_after=-1)
    for _ in range(4):
        reply = await fleet.call("entry-1", "GET", "/search")
        assert (reply.status, reply.json["service"]) == (200, "bulletins-2")
