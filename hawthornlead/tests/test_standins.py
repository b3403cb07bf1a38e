"""The stand-ins keep their protocols and their faults do what they say."""

import asyncio
import json
import socket

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from hawthornlead.tests.standins.engine import EngineStandIn
from hawthornlead.tests.standins.engine_runs import whole_text
from hawthornlead.tests.standins.launcher import StandInSet
from hawthornlead.tests.standins.object_api import ObjectApiStandIn
from hawthornlead.tests.standins.service import ServiceStandIn
from hawthornlead.tests.standins.vm_list import VmListStandIn
from hawthornlead.tests.standins.weight_store import WeightStoreStandIn


async def call(address, path, body=None, method=None, **headers):
    """Make one HTTP call and return the response, whatever its status."""
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return await AsyncHTTPClient(force_instance=True).fetch(
        f"http://{address}{path}",
        method=method or ("GET" if body is None else "POST"),
        body=None if body is None else json.dumps(body),
        headers=names,
        raise_error=False,
        request_timeout=5,
    )


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.002)


@pytest.fixture
async def engine():
    running = EngineStandIn(name="engine-1", slots=2, token_s=0.001, load_s=0.001)
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
async def store():
    running = ObjectApiStandIn()
    await running.start()
    yield running
    await running.stop()


def order(op, adapter="a", fence=1, version="1"):
    return {
        "order_id": "o",
        "fence": fence,
        "op": op,
        "adapter": adapter,
        "version": version,
        "base_model": "base",
    }


def completion(id_, adapter="a", **fields):
    return {
        "id": id_,
        "adapter": adapter,
        "version": "1",
        "base_model": "base",
        "prompt": "tide?",
        "max_tokens": 8,
        **fields,
    }


def events_of(response):
    lines = response.body.decode().split("\n\n")
    return [json.loads(line[len("data: ") :]) for line in lines if line]


async def test_object_api_writes_only_under_its_condition(store):
    put = {"method": "PUT"}
    first = await call(store.address, "/objects/k/a", {}, If_None_Match="*", **put)
    again = await call(store.address, "/objects/k/a", {}, If_None_Match="*", **put)
    stale = await call(store.address, "/objects/k/a", {}, If_Match="9", **put)
    newer = await call(store.address, "/objects/k/a", {"x": 1}, If_Match="1", **put)
    assert [r.code for r in (first, again, stale, newer)] == [200, 412, 412, 200]
    got = json.loads((await call(store.address, "/objects/k/a")).body)
    assert got == {"kind": "k", "name": "a", "version": 2, "value": {"x": 1}}
    assert store.record()["calls"] == {"write": 4, "read": 1}


async def test_object_api_loses_the_reply_of_a_write_that_took_effect(store):
    store.set_faults(lose_replies=1)
    with pytest.raises((OSError, HTTPClientError)):
        await call(store.address, "/objects/k/a", {}, "PUT", If_None_Match="*")
    assert json.loads((await call(store.address, "/objects/k")).body)["version"] == 1


async def test_object_api_outage_and_old_watch(store):
    await call(store.address, "/objects/k/a", {}, "PUT", If_None_Match="*")
    store.set_faults(expire=True)
    old = await call(store.address, "/objects/k?watch=1&since=0")
    await call(store.address, "/standin/faults", {"outage": True})
    assert old.code == 410
    assert (await call(store.address, "/objects/k/a")).code == 503


async def test_object_api_watch_tells_changes_and_bookmarks(store):
    store.set_faults(bookmark_s=0.01)
    seen = []
    watching = asyncio.ensure_future(
        AsyncHTTPClient(force_instance=True).fetch(
            f"http://{store.address}/objects/k?watch=1&since=0",
            streaming_callback=seen.append,
            raise_error=False,
        )
    )
    await call(store.address, "/objects/k/a", {}, "PUT", If_None_Match="*")
    await until(lambda: b"bookmark" in b"".join(seen))
    lines = [json.loads(line) for line in b"".join(seen).splitlines()]
    assert ("put", 1) in [(line["type"], line["version"]) for line in lines]
    assert store.calls["watch"] == 1
    store.set_faults(outage=True)
    with pytest.raises((OSError, HTTPClientError)):
        await watching


async def test_object_api_bookmarks_come_while_other_kinds_are_written(store):
    # Renewals of one kind are written all the time. A watch of another kind must
    # still hear bookmarks, or its reader takes the connection for a silent one.
    store.set_faults(bookmark_s=0.05)
    seen = []
    watching = asyncio.ensure_future(
        AsyncHTTPClient(force_instance=True).fetch(
            f"http://{store.address}/objects/quiet?watch=1&since=0",
            streaming_callback=seen.append,
            raise_error=False,
        )
    )
    for number in range(500):
        if b"bookmark" in b"".join(seen):
            break
        path = f"/objects/busy/{number}"
        await call(store.address, path, {}, "PUT", If_None_Match="*")
    assert b"bookmark" in b"".join(seen)
    store.set_faults(outage=True)
    with pytest.raises((OSError, HTTPClientError)):
        await watching


async def test_vm_list_lags():
    vms = VmListStandIn(entries=[])
    await vms.start()
    vms.set_faults(lag_s=60.0)
    await call(vms.address, "/standin/entries", {"vms": [{"name": "x"}]})
    assert json.loads((await call(vms.address, "/vms")).body) == {"vms": []}
    vms.set_faults(lag_s=0.0)
    assert len(json.loads((await call(vms.address, "/vms")).body)["vms"]) == 1
    await vms.stop()


async def test_weight_store_counts_what_is_over_its_allowance():
    weights = WeightStoreStandIn(load_s=0.02, loads_per_s=3.0, at_once=2)
    await weights.start()
    wanted = {"target": "t", "adapter": "a", "version": "1"}
    await asyncio.gather(*[call(weights.address, "/fetch", wanted) for _ in range(5)])
    record = json.loads((await call(weights.address, "/standin/record")).body)
    assert record["over_rate"] == 2
    assert record["over_concurrency"] == 3
    await weights.stop()


async def test_engine_answers_the_same_streamed_whole_and_resumed(engine):
    await call(engine.address, "/orders", order("load"))
    whole = await call(engine.address, "/v1/completions", completion("r1"))
    stream = await call(
        engine.address, "/v1/completions", completion("r2", stream=True, offset=5)
    )
    text = whole_text("tide?", "a", "1", 8)
    assert json.loads(whole.body)["text"] == text
    events = events_of(stream)
    assert events[0] == {"id": "r2", "adapter": "a", "version": "1", "offset": 5}
    assert [event["i"] for event in events[1:-1]] == [5, 6, 7]
    assert events[-1] == {"done": True, "count": 8}
    assert text.endswith("".join(event["t"] for event in events[1:-1]))
    assert [run["outcome"] for run in engine.runs] == ["done", "done"]


async def test_engine_keeps_its_slots_and_fence(engine):
    engine.set_faults(fencing=True)
    answers = [
        await call(engine.address, "/orders", order("load", name, fence=5))
        for name in ("a", "b", "c")
    ]
    stale = await call(engine.address, "/orders", order("evict", "a", fence=4))
    assert [answer.code for answer in answers] == [200, 200, 409]
    assert (stale.code, json.loads(stale.body)["error"]) == (409, "stale-fence")
    engine.set_faults(fencing=False)
    assert (await call(engine.address, "/orders", order("evict", "a", 4))).code == 200
    refused = await call(engine.address, "/v1/completions", completion("r1"))
    assert (refused.code, json.loads(refused.body)["ran"]) == (409, False)


async def test_engine_records_an_eviction_under_a_running_request(engine):
    engine.set_faults(token_s=0.02)
    await call(engine.address, "/orders", order("load"))
    running = asyncio.ensure_future(
        call(engine.address, "/v1/completions", completion("r1", max_tokens=1000))
    )
    await until(lambda: engine.batch.running)
    await call(engine.address, "/orders", order("evict"))
    with pytest.raises((OSError, HTTPClientError)):
        await running
    assert engine.violations[0]["violation"] == "evicted_while_running"


async def test_engine_cancel_frees_the_place(engine):
    engine.set_faults(max_running=1, token_s=0.005)
    await call(engine.address, "/orders", order("load"))
    first = asyncio.ensure_future(
        call(engine.address, "/v1/completions", completion("r1", max_tokens=10_000))
    )
    await until(lambda: engine.batch.running)
    await call(engine.address, "/v1/cancel", {"id": "r1"})
    second = await call(engine.address, "/v1/completions", completion("r2"))
    assert second.code == 200
    assert engine.runs[0]["cancelled"]
    with pytest.raises((OSError, HTTPClientError)):
        await first


async def test_engine_crosses_the_answers_of_two_requests(engine):
    await call(engine.address, "/orders", order("load"))
    engine.set_faults(cross_answers=1)
    answers = await asyncio.gather(
        call(engine.address, "/v1/completions", completion("r1")),
        call(engine.address, "/v1/completions", completion("r2")),
    )
    ids = sorted(json.loads(answer.body)["id"] for answer in answers)
    mine = [json.loads(answers[0].body)["id"], json.loads(answers[1].body)["id"]]
    assert ids == ["r1", "r2"]
    assert mine == ["r2", "r1"]


@pytest.mark.parametrize("fault", ["truncate", "double", "double_tokens"])
async def test_engine_spoils_streams(engine, fault):
    await call(engine.address, "/orders", order("load"))
    engine.set_faults(**{fault: 1})
    asked = call(engine.address, "/v1/completions", completion("r1", stream=True))
    if fault == "truncate":
        with pytest.raises((OSError, HTTPClientError)):
            await asked
        return
    events = events_of(await asked)
    indexes = [event["i"] for event in events if "i" in event]
    assert sorted(indexes) == sorted(list(range(8)) * 2)


async def test_engine_crashes_on_the_marked_prompt_and_comes_back_cold(engine):
    await call(engine.address, "/orders", order("load"))
    before = engine.boot_id
    engine.set_faults(crash_marker="poison", restart_s=0.02)
    with pytest.raises((OSError, HTTPClientError)):
        await call(engine.address, "/v1/completions", completion("r1", prompt="poison"))
    await until(lambda: engine._server is not None)
    report = json.loads((await call(engine.address, "/report")).body)
    assert report["boot_id"] != before
    assert report["residents"] == []
    assert engine.runs[0]["outcome"] == "crashed"


async def test_engine_connection_goes_silent_while_new_ones_work(engine):
    engine.set_faults(token_s=0.005)
    await call(engine.address, "/orders", order("load"))
    seen = []
    streaming = asyncio.ensure_future(
        AsyncHTTPClient(force_instance=True).fetch(
            f"http://{engine.address}/v1/completions",
            method="POST",
            body=json.dumps(completion("r1", stream=True, max_tokens=1000)),
            streaming_callback=seen.append,
            request_timeout=0.2,
        )
    )
    await until(lambda: seen)
    engine.set_faults(silent=True)
    heard = len(seen)
    assert (await call(engine.address, "/health")).code == 200
    with pytest.raises(HTTPClientError):
        await streaming
    assert len(seen) <= heard + 1


async def test_engine_report_lags_and_says_as_of_when(engine):
    await call(engine.address, "/orders", order("load"))
    engine.set_faults(report_lag_s=30.0)
    report = engine.report()
    assert report["residents"] == []
    assert report["as_of"] < engine.now() - 29


async def test_engine_batches_by_priority(engine):
    await call(engine.address, "/orders", order("load"))
    engine.set_faults(max_running=0)
    calls = [
        call(engine.address, "/v1/completions", completion(f"p{p}", priority=p))
        for p in (0, 1, 2)
    ]
    asking = asyncio.gather(*calls)
    await until(lambda: len(engine.batch.queued) == len(calls))
    engine.set_faults(max_running=1)
    await asking
    started = {run["id"]: run["started"] for run in engine.runs}
    assert started["p2"] < started["p1"] < started["p0"]
    assert engine.batch.step_fill == 1.0


async def test_service_refuses_runs_and_crashes():
    service = ServiceStandIn(name="laps")
    await service.start()
    service.set_faults(refuse=1)
    refused = await call(service.address, "/cross", {}, Idempotency_Key="k")
    service.set_faults(crash_after=1)
    with pytest.raises((OSError, HTTPClientError)):
        await call(service.address, "/cross", {}, Idempotency_Key="k")
    ran = await call(service.address, "/cross", {}, Hawthornlead_Attempt="t1")
    assert (refused.code, refused.headers["Ran"], ran.code) == (503, "no", 200)
    assert service.ran("k") == 1
    assert service.calls[-1]["attempt"] == "t1"
    await service.stop()


async def test_launcher_starts_a_set_and_fills_the_vm_list():
    running = StandInSet.read(
        "[object_api store]\n[vm_list vms]\n[weight_store weights]\nload_s = 0.001\n"
        "[engine e1]\ndata_centre = bilbao\nweight_store = weights\nslots = 2\n"
        "[service laps-1]\nservice = laps\n[vm v1]\naddress = 127.0.0.1:7001\n"
    )
    addresses = await running.start()
    listed = json.loads((await call(addresses["vms"], "/vms")).body)["vms"]
    assert [vm["role"] for vm in listed] == ["engine", "service", "entry"]
    assert listed[0]["attributes"]["slots"] == 2
    assert (await call(addresses["e1"], "/orders", order("load"))).code == 200
    assert running.stand_ins["weights"].total == 1
    await running.stop()


async def test_a_stand_in_that_crashed_comes_back_at_its_port():
    """A run fails with "address already in use", or with a stand-in that is not there.

    A crashed stand-in listens at a port from the range of which the system takes ports
    for outgoing connections, too. One that got this port meanwhile kept it from coming
    back, for the rest of the run.
    """
    service = ServiceStandIn(name="bulletins")
    address = await service.start()
    host, _, port = address.rpartition(":")
    down = asyncio.create_task(service.crash(0.05))
    await asyncio.sleep(0)
    outgoing = socket.socket()
    with pytest.raises(OSError):
        outgoing.bind((host, int(port)))
    with pytest.raises(OSError):
        await asyncio.open_connection(host, int(port))
    await down
    assert (await call(address, "/standin/record")).code == 200
    outgoing.close()
    await service.stop()
