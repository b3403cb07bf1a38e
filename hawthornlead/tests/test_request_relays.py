"""Requests that a VM without paths to targets relays to another VM."""

import asyncio
import time
from contextlib import asynccontextmanager

from tornado.util import TimeoutError as GaveUp

from hawthornlead.gateway.request_relays import (
    ANSWER_SILENCE_S,
    CONNECT_TIMEOUT_S,
    MAX_LAG_S,
    POLL_INTERVAL_S,
)
from hawthornlead.gateway.vm_relays import NOT_TAKEN

from .cut_paths import Cut, cut_paths
from .gateways import MODEL, Deployment, ask, configuration, route

# Longer than the silence after which a VM isn't taken for live any more.
STANDSTILL_S = 1.2
KEY = "6msvcus9h44hg6vx2neb"
RESOLVE = "/v1/resolve?name=office.example&zone=gijon"


@asynccontextmanager
async def unreaching(deployment: Deployment, *vms: int):
    """Cut VMs from all targets, and wait until they know it."""
    targets = deployment.engines + deployment.plains
    cuts = [
        cut_paths(deployment.gateways[vm], targets, Cut.RESET) for vm in vms or (0,)
    ]
    for cut in cuts:
        await cut.__aenter__()
    paths = [deployment.gateways[vm]._parts.paths for vm in vms or (0,)]
    for each in paths:
        each.suspect("llm")
        each.suspect("plain")
    await deployment.until(lambda: all(len(each.unreachable) == 2 for each in paths))
    try:
        yield
    finally:
        for cut in cuts:
            await cut.__aexit__(None, None, None)


def runs(deployment: Deployment) -> list[str]:
    """Return the ids of all requests that targets ran."""
    targets = deployment.engines + deployment.plains
    return [request for target in targets for request in target.ran]


def headers_at_targets(deployment: Deployment) -> list:
    """Return the headers of all requests that targets ran."""
    targets = deployment.engines + deployment.plains
    return [headers for target in targets for headers in target.headers]


async def named_by(deployment: Deployment, vm: int) -> str:
    """Return the body of a VM's answer with the addresses for callers."""
    address = deployment.settings[vm]["DIRECTORY_ADDRESS"]
    headers = {"Host": "x", "Connection": "close"}
    return (await ask(address, "GET", RESOLVE, headers)).body.decode()


async def test_body_seal_and_events_of_a_relayed_answer_are_the_targets():
    async with Deployment() as deployment, unreaching(deployment):
        unsafe = await deployment.ask("/unsafe/x?y=1", body=b" a body")
        stream = await deployment.ask("/stream/x", Model=f"{MODEL}/a7")
        assert unsafe.status == 200
        assert unsafe.body.endswith(b"POST /unsafe/x?y=1 a body")
        assert unsafe.headers["Server-Seal"].startswith("seal-p")
        assert (stream.status, stream.whole) == (200, True)
        assert stream.headers["Server-Seal"].startswith("seal-e")
        ids = [line for line in stream.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]


async def test_a_target_sees_no_trace_of_the_relay_and_the_time_that_is_left():
    async with Deployment() as deployment, unreaching(deployment):
        answer = await deployment.ask("/unsafe/x", Deadline_Ms="2000", Hold="mine")
        assert answer.status == 200
        (headers,) = headers_at_targets(deployment)
        assert not any(name.startswith("Relay-") for name in headers)
        assert "Hold" not in headers
        assert 1000 < int(headers["Deadline-Ms"]) <= 2000


async def test_a_run_whose_relaying_vm_is_lost_is_not_repeated():
    """Guards against a second run of a request that may run once."""
    async with Deployment() as deployment, unreaching(deployment):
        for plain in deployment.plains:
            plain.faults.append("mute")
        asking = asyncio.create_task(deployment.ask("/unsafe/x"))
        await deployment.until(lambda: runs(deployment))
        await deployment.gateways[1]._relayed.close_all_connections()
        answer = await asking
        assert answer.status == 502
        assert len(runs(deployment)) == 1


async def test_a_repeatable_request_is_relayed_again_within_its_attempts():
    """Guards against more runs than the route allows, counted over both VMs."""
    async with Deployment(vms=3) as deployment, unreaching(deployment):
        for plain in deployment.plains:
            plain.faults.extend(["reset", "reset", "reset"])
        answer = await deployment.ask("/safe/x", "GET")
        assert answer.status == 502
        assert len(runs(deployment)) == 2


async def test_the_target_cancels_when_the_caller_leaves():
    async with Deployment() as deployment, unreaching(deployment):
        for plain in deployment.plains:
            plain.faults.append("mute")
        asking = asyncio.create_task(deployment.ask("/unsafe/x"))
        await deployment.until(lambda: runs(deployment))
        asking.cancel()
        started_at = asyncio.get_running_loop().time()
        await deployment.until(
            lambda: any(plain.cancelled for plain in deployment.plains)
        )
        # The platform counts work that goes on for longer than this.
        assert asyncio.get_running_loop().time() - started_at < 0.5


async def test_a_stream_that_breaks_off_behind_the_relay_does_not_look_whole():
    async with Deployment() as deployment, unreaching(deployment):
        for engine in deployment.engines:
            engine.faults.append("cut")
        answer = await deployment.ask("/stream/x", Model=MODEL)
        assert answer.status == 200
        assert not answer.whole
        assert answer.body.endswith(b"\n\n")


async def test_a_time_out_by_own_delay_is_no_refusal_of_another_vm():
    """Guards against requests refused by a VM that stood still while it connected."""
    async with Deployment() as deployment, unreaching(deployment):
        client = deployment.gateways[0]._parts.relay_vms.connections._pool._client
        connect = client.connect
        delays = [CONNECT_TIMEOUT_S + 2 * MAX_LAG_S]

        async def connect_late(host, port, **options):
            if not delays:
                return await connect(host, port, **options)
            await asyncio.sleep(delays.pop())
            raise GaveUp

        client.connect = connect_late
        answer = await deployment.ask("/unsafe/x")
        assert answer.status == 200
        assert len(runs(deployment)) == 1


async def test_a_relayed_request_outlives_a_standstill_of_the_vm_that_relays_it():
    """Guards against 502 for a request that another VM is running, after a pause."""
    async with Deployment() as deployment, unreaching(deployment):
        for target in deployment.plains:
            target.work_s = 2 * STANDSTILL_S
        asking = asyncio.create_task(deployment.ask("/unsafe/x", Deadline_Ms="6000"))
        await deployment.until(lambda: runs(deployment))
        await asyncio.sleep(POLL_INTERVAL_S)
        time.sleep(STANDSTILL_S)
        answer = await asking
        assert (answer.status, answer.whole) == (200, True)
        assert len(runs(deployment)) == 1


async def test_a_stream_that_flows_outlives_a_silent_mesh():
    """Guards against a sound stream that is cut since heartbeats of its VM are late."""
    async with Deployment() as deployment, unreaching(deployment):
        for engine in deployment.engines:
            engine.event_s = 0.4
        asking = asyncio.create_task(deployment.ask("/stream/x", Model=MODEL))
        await deployment.until(lambda: runs(deployment))
        await asyncio.sleep(2 * deployment.engines[0].event_s)
        deployment.gateways[0]._parts.relay_vms.is_reachable = lambda vm: False
        answer = await asking
        assert (answer.status, answer.whole) == (200, True)


async def test_a_request_that_was_just_relayed_outlives_a_silent_mesh():
    """Guards against 502 for a request that runs, as a mesh connection was closed."""
    async with Deployment() as deployment, unreaching(deployment):
        for target in deployment.plains:
            target.work_s = 2 * POLL_INTERVAL_S
        asking = asyncio.create_task(deployment.ask("/unsafe/x"))
        await deployment.until(lambda: runs(deployment))
        deployment.gateways[0]._parts.relay_vms.is_reachable = lambda vm: False
        answer = await asking
        assert (answer.status, answer.whole) == (200, True)
        assert len(runs(deployment)) == 1


async def test_a_request_at_a_vm_that_is_silent_everywhere_ends_in_time():
    """Guards against callers that wait to their deadline for a VM without power."""
    async with Deployment() as deployment, unreaching(deployment):
        for plain in deployment.plains:
            plain.faults.append("mute")
        asking = asyncio.create_task(deployment.ask("/unsafe/x"))
        await deployment.until(lambda: runs(deployment))
        deployment.gateways[0]._parts.relay_vms.is_reachable = lambda vm: False
        answer = await asyncio.wait_for(asking, ANSWER_SILENCE_S + 4 * POLL_INTERVAL_S)
        assert answer.status == 502


async def test_vms_that_all_reach_no_target_relay_to_no_third_vm():
    """Guards against requests that go round among VMs."""
    async with Deployment(vms=3) as deployment, unreaching(deployment, 0, 1, 2):
        answer = await deployment.ask("/unsafe/x", Deadline_Ms="3000")
        assert answer.status == 503
        assert "Retry-After" in answer.headers
        assert not runs(deployment)
        addresses = await named_by(deployment, 0)
        for settings in deployment.settings:
            assert settings["CALLER_ADDRESS"] in addresses


async def test_a_vm_that_finds_itself_cut_off_too_leaves_a_request_to_a_third():
    """Guards against a refusal of what a third VM could serve."""
    async with Deployment(vms=3) as deployment, unreaching(deployment):
        targets = deployment.engines + deployment.plains
        second = deployment.gateways[1]
        async with cut_paths(second, targets, Cut.RESET):
            relay_vms = deployment.gateways[0]._parts.relay_vms
            chosen = iter(["vm-2", "vm-3"])
            relay_vms.choose = lambda service, tried: next(chosen)
            answer = await deployment.ask("/unsafe/x")
            assert answer.status == 200
            assert len(runs(deployment)) == 1


async def test_a_vm_with_an_older_configuration_takes_no_relayed_request():
    """Guards against a request that goes the way of a former configuration."""
    async with Deployment() as deployment, unreaching(deployment):
        headers = {
            "Host": "office.example",
            "Request-Id": "r-new",
            "Relay-Configuration": "2",
            "Connection": "close",
        }
        address = deployment.settings[1]["RELAY_ADDRESS"]
        answer = await ask(address, "GET", "/safe/x", headers)
        assert answer.status == 503
        assert NOT_TAKEN in answer.headers
        headers["Relay-Configuration"] = "1"
        answer = await ask(address, "GET", "/safe/x", headers)
        assert answer.status == 200


async def test_a_draining_vm_takes_no_relayed_request():
    async with Deployment(vms=3) as deployment, unreaching(deployment):
        draining = asyncio.create_task(deployment.gateways[1].drain())
        await asyncio.sleep(0)
        asked = [deployment.ask("/unsafe/x") for _ in range(8)]
        answers = await asyncio.gather(*asked)
        assert {answer.status for answer in answers} == {200}
        assert len(runs(deployment)) == 8
        await draining


async def test_a_relayed_request_is_charged_once_and_no_target_gets_its_key():
    async with Deployment() as deployment:
        tenant = {
            "name": "zimi",
            "apiKeys": [KEY],
            "unit": "requests",
            "ratePerS": 1000,
            "burst": 1000,
        }
        keyed = {**configuration(2, route("new", "/new/", "plain", "safe"))}
        deployment.store.write("config", "main", {**keyed, "tenants": [tenant]})
        await deployment.until(
            lambda: all(
                each._parts.configuration.version == 2 for each in deployment.gateways
            )
        )
        charged: list[str] = []
        for gateway in deployment.gateways:
            _note_charges(gateway, charged)
        async with unreaching(deployment):
            asked = {"Authorization": f"Token {KEY}"}
            statuses = [
                (await deployment.ask("/unsafe/x", **asked)).status for _ in range(3)
            ]
            assert statuses == [200, 200, 200]
            assert charged == ["vm-2"] * 3
            assert KEY not in str(headers_at_targets(deployment))
            assert (await deployment.ask("/unsafe/x")).status == 401


def _note_charges(gateway, charged: list[str]) -> None:
    """Note the VM of each request that is charged to a quota."""
    admit = gateway._parts.quotas.admit

    def noted(name: str, cost: float):
        charged.append(gateway._memberships.vm)
        return admit(name, cost)

    gateway._parts.quotas.admit = noted


async def test_the_directory_names_no_vm_without_paths_to_targets():
    async with Deployment() as deployment:
        mine = deployment.settings[0]["CALLER_ADDRESS"]
        others = deployment.settings[1]["CALLER_ADDRESS"]
        async with unreaching(deployment):
            for vm in (0, 1):
                while mine in await named_by(deployment, vm):
                    await asyncio.sleep(0.02)
                assert others in await named_by(deployment, vm)
        for vm in (0, 1):
            while mine not in await named_by(deployment, vm):
                await asyncio.sleep(0.02)
