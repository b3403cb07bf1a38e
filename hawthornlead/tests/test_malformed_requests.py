"""Requests of callers that can't be told from others."""

import pytest

from .gateways import HOST, MODEL, Deployment, ask
from .test_repeated_answers import runs


async def test_a_request_without_an_id_gets_no_answer_of_another_caller():
    """Guards against another caller's answer, sent late to a request without an id."""
    async with Deployment(vms=1) as deployment:
        for plain in deployment.plains:
            plain.repeats.least = 200
        for _ in range(4):
            assert (await deployment.ask("/unsafe/alice")).status == 200
        for _ in range(4):
            answer = await deployment.ask("/unsafe/bob", Request_Id="")
            assert answer.status == 400
            assert b"alice" not in answer.body
        assert not any(runs(deployment, each) for each in ("", None))


@pytest.mark.parametrize("cut", [b"X-Note: half", b"X-Note: "])
async def test_two_requests_that_are_read_as_one_run_neither(cut):
    """Guards against a request that runs with the body and the id of another one."""
    async with Deployment(vms=1) as deployment:
        line = cut.decode() + "POST /unsafe/b HTTP/1.1"
        name, _, value = line.partition(": ")
        headers = {name: value, "Request-Id": "second"}
        answer = await deployment.ask("/unsafe/a", body=b"of b", **headers)
        assert answer.status == 400
        assert not runs(deployment, "second")
        sound = await deployment.ask("/unsafe/a", **{"X-Note": "speaks HTTP/1.1"})
        assert sound.status == 200


@pytest.mark.parametrize("relayed", [False, True])
async def test_no_table_keeps_a_long_name_that_a_client_made_up(relayed):
    """Guards against tables of adapters that grow by the length of a head."""
    async with Deployment(vms=1) as deployment:
        address = deployment.settings[0][
            "RELAY_ADDRESS" if relayed else "CALLER_ADDRESS"
        ]
        sent = {"Host": HOST, "Request-Id": "long", "Connection": "close"}
        sent["Model"] = f"{MODEL}/{'m' * 60_000}"
        answer = await ask(address, "GET", "/stream/x", sent)
        assert answer.status == (503 if relayed else 400)
        assert not any(engine.orders for engine in deployment.engines)
        assert not any(engine.arrivals for engine in deployment.engines)
