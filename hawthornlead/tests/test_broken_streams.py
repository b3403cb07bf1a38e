"""Answers that break, cross, come late or find no caller, through whole daemons."""

import asyncio
import json

import pytest

from .standins.engine_runs import whole_text
from .whole_fleets import headers_of, until, whole_fleet

ENGINES = {"engine-1": {"slots": 2}, "engine-2": {"slots": 2}}
WHOLE = whole_text("tide?", "tides-1", "v1", 40)


@pytest.fixture
async def fleet():
    async with whole_fleet(
        engines=ENGINES,
        vms={"entry-1": "santander", "entry-2": "santander"},
        STREAM_SILENT_S=0.5,
        RETRY_SHARE=1.0,
    ) as running:
        yield running


def running_on(fleet) -> str | None:
    """Return the engine that runs an answer now, None if none does."""
    for engine in ENGINES:
        if any(not run["outcome"] and run["tokens"] for run in fleet.runs(engine)):
            return engine
    return None


def indexes(reply) -> list[int]:
    """Return the indexes of a streamed answer's tokens as they came."""
    return [event["i"] for event in reply.events if "i" in event]


FAULTS_MIDWAY = {
    "the engine dies": {"crash": True, "restart_s": 5.0},
    "the engine starts anew": {"restart": True, "restart_s": 0.05},
    "the connection goes silent": {"silent": True},
}


@pytest.mark.parametrize("fault", list(FAULTS_MIDWAY))
async def test_a_stream_broken_midway_goes_on_elsewhere(fleet, fault):
    """A caller reads an answer, and in the middle its engine fails.

    The answer goes on from another engine at the token where it broke. Resumed one
    token early the caller would read a token twice, one late it would miss one; it
    is told the end only with the right count.
    """
    for engine in ENGINES:
        fleet.standin(engine).set_faults(token_s=0.01)
    asked = asyncio.ensure_future(fleet.complete("entry-1", max_tokens=40, stream=True))
    await until(lambda: running_on(fleet))
    broken = running_on(fleet)
    run = fleet.runs(broken)[0]
    await until(lambda: run["tokens"] >= 10)
    fleet.standin(broken).set_faults(**FAULTS_MIDWAY[fault])
    reply = await asked
    assert (reply.status, reply.text) == (200, WHOLE)
    assert indexes(reply) == list(range(40))
    assert reply.events[-1] == {"done": True, "count": 40}
    attempts = [run for engine in ENGINES for run in fleet.runs(engine)]
    assert sorted(run["id"].split(".")[1] for run in attempts) == ["1", "2"]
    assert all(fleet.standin(engine).violations == [] for engine in ENGINES)


async def test_a_stream_that_can_not_go_on_ends_with_an_error(fleet):
    """Every engine dies in the middle of the answer, and again at each resumption.

    The status has long been sent. Ended without a word, the half answer would look
    whole; the caller gets an error event that says what is known of the run.
    """
    for engine in ENGINES:
        fleet.standin(engine).set_faults(
            crash_marker="tide", crash_after_tokens=5, restart_s=0.05, token_s=0.005
        )
    reply = await fleet.complete("entry-1", max_tokens=40, stream=True)
    assert reply.status == 200
    last = reply.events[-1]
    assert last["ran"] == "may have run" and b"event: error\n" in reply.body
    got = indexes(reply)
    assert got == list(range(len(got))) and 0 < len(got) < 40


async def test_crossed_answers_reach_neither_caller(fleet):
    """An engine swaps the answers of two callers' requests.

    Each would read the other's words. The first event names the attempt; what names
    another is dropped, and both requests are repeated whole.
    """
    assert (await fleet.complete("entry-1", "brief-1")).status == 200
    assert (await fleet.complete("entry-1", "brief-2")).status == 200
    for engine in ENGINES:
        fleet.standin(engine).set_faults(cross_answers=1)
    pairs = [
        fleet.complete("entry-1", "brief-1", prompt="mine", caller="office"),
        fleet.complete("entry-1", "brief-1", prompt="theirs", caller="harbour"),
    ]
    mine, theirs = await asyncio.gather(*pairs)
    assert sum(fleet.standin(e).counts["crossed"] for e in ENGINES) >= 1
    assert mine.json["text"] == whole_text("mine", "tides-1", "v1", 8)
    assert theirs.json["text"] == whole_text("theirs", "tides-1", "v1", 8)


async def test_a_late_answer_is_nobodys(fleet):
    """An engine answers so late that the request was sent elsewhere meanwhile.

    The late answer comes on a connection that is closed; the next request has a
    connection and an attempt of its own and never reads it.
    """
    assert (await fleet.complete("entry-1")).status == 200
    first = next(engine for engine in ENGINES if fleet.runs(engine))
    fleet.standin(first).set_faults(late_s=0.7)
    reply = await fleet.complete("entry-1", prompt="late")
    assert reply.json["text"] == whole_text("late", "tides-1", "v1", 8)
    fleet.standin(first).set_faults(late_s=0.0)
    for number in range(4):
        reply = await fleet.complete("entry-1", prompt=f"next {number}")
        assert reply.json["text"] == whole_text(f"next {number}", "tides-1", "v1", 8)


async def test_truncated_and_doubled_answers_are_repeated(fleet):
    for fault in ("truncate", "double", "double_tokens", "wrong_version"):
        for engine in ENGINES:
            fleet.standin(engine).set_faults(**{fault: 0})
        fleet.standin("engine-1").set_faults(**{fault: 1})
        fleet.standin("engine-2").set_faults(**{fault: 1})
        for stream in (False, True):
            reply = await fleet.complete("entry-2", max_tokens=40, stream=stream)
            text = reply.text if stream else reply.json["text"]
            assert (reply.status, text) == (200, WHOLE), fault


@pytest.mark.parametrize("stream", [True, False])
async def test_a_caller_that_leaves_stops_its_run(fleet, stream):
    """A caller closes its connection in the middle of a long answer.

    Run to its end, the answer nobody reads would hold its slot: no other adapter
    could be loaded there. The engine is told to cancel and the grant is given back.
    """
    for engine in ENGINES:
        fleet.standin(engine).set_faults(token_s=0.02)
    address = fleet.daemons["entry-1"].caller_address
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    body = {"model": "brief-1", "prompt": "x", "max_tokens": 5000, "stream": stream}
    data = json.dumps(body).encode()
    head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
    for name, value in headers_of("office", {}).items():
        head += f"{name}: {value}\r\n"
    writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
    await until(lambda: running_on(fleet))
    engine = running_on(fleet)
    run = fleet.runs(engine)[0]
    await until(lambda: run["tokens"] >= 3)
    writer.transport.abort()
    await until(lambda: run["outcome"], 3.0)
    assert run["cancelled"]
    # All its slots can be loaded anew before a grant could have run out by itself.
    fleet.standin(engine).set_faults(token_s=0.001)
    for number in range(2, 7):
        assert (await fleet.complete("entry-2", f"brief-{number}")).status == 200
    admissions = fleet.daemons["entry-1"]._admissions
    await until(lambda: admissions.open == 0, 3.0)


async def test_a_request_that_crashes_its_targets_takes_few(fleet):
    """A request kills each engine that runs it, and its caller sends it again.

    Without an end to it, it would take one engine after another, through one VM
    after another. After two deaths it is refused everywhere, by all VMs; other
    requests are still served.
    """
    for engine in ENGINES:
        fleet.standin(engine).set_faults(
            crash_marker="poison", crash_after_tokens=2, restart_s=0.1, token_s=0.01
        )
    replies = []
    for turn in range(6):
        vm = ("entry-1", "entry-2")[turn % 2]
        replies.append(await fleet.complete(vm, "brief-1", prompt="poison"))
        await asyncio.sleep(0.2)
    crashes = sum(fleet.standin(engine).counts["crashes"] for engine in ENGINES)
    assert crashes <= 3
    assert replies[-1].error == (422, "quarantined", "not run")
    assert replies[-2].error == (422, "quarantined", "not run")
    for vm in ("entry-1", "entry-2"):
        assert (await fleet.complete(vm, "brief-1")).status == 200


async def test_innocents_beside_a_crashing_request_are_served(fleet):
    """A request kills its engines through one VM, others run there through another.

    All that were on two dying engines are suspected twice. Convicted with the one
    that did it, the others would be refused for ten minutes.
    """
    for engine in ENGINES:
        fleet.standin(engine).set_faults(
            crash_marker="poison", crash_after_tokens=2, restart_s=0.1, token_s=0.01
        )
    innocents = [
        asyncio.ensure_future(
            fleet.complete("entry-2", f"brief-{n}", prompt=f"p{n}", max_tokens=30)
        )
        for n in (1, 2)
    ]
    await until(lambda: running_on(fleet))
    for vm in ("entry-1", "entry-2") * 2:
        await fleet.complete(vm, "brief-1", prompt="poison")
        await asyncio.sleep(0.2)
    answers = await asyncio.gather(*innocents)
    for n, answer in zip((1, 2), answers, strict=True):
        if answer.status != 200:
            answer = await fleet.complete(
                "entry-2", f"brief-{n}", prompt=f"p{n}", max_tokens=30
            )
        assert answer.status == 200, answer.body
        assert answer.json["text"] == whole_text(f"p{n}", f"tides-{n}", "v1", 30)
