"""Tests of operator routes and commands over HTTP."""

import asyncio
import json

import pytest
from click.testing import CliRunner
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.operators.commands import bundle_group, keys_group
from hawthornlead.operators.operator_handlers import operator_routes
from hawthornlead.operators.request_guards import (
    OPERATOR_HEADER,
    ORDER_HEADER,
    SIGNATURE_HEADER,
    TIME_HEADER,
    RequestGuard,
)
from hawthornlead.signatures import (
    OperatorKeys,
    Statement,
    generate_key,
    private_text,
    sign,
)
from hawthornlead.timers import TimerService

from .fakes_bundles import ANNA, BERTA, OPERATORS, Fleet, document


class Site:
    """Two VMs, of which the first serves operators over HTTP."""

    def __init__(self, folder):
        self.folder = folder
        self.requests = []
        for name, key in (
            ("anna", ANNA),
            ("berta", BERTA),
            ("mallory", generate_key()),
        ):
            (folder / name).write_text(private_text(key))

    async def start(self):
        """Start the VMs and the server."""
        self.fleet = Fleet()
        vm = await self.fleet.add("a")
        await self.fleet.add("b", "bilbao")
        timers = TimerService()
        events = EventRing("a", HybridClock(timers))
        guard = RequestGuard(OperatorKeys(OPERATORS), timers, events)
        routes = operator_routes(guard=guard, keeper=vm.keeper, mesh=vm.mesh)
        application = Application(routes, log_function=self.requests.append)
        socket, port = bind_unused_port()
        self.server = HTTPServer(application)
        self.server.add_sockets([socket])
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        """Stop all."""
        self.server.stop()
        for name in list(self.fleet.vms):
            await self.fleet.kill(name)

    async def run(self, *arguments, operator="anna", group=bundle_group):
        """Run one command as an operator."""
        options = []
        if operator:
            key = str(self.folder / operator)
            options = ["--operator", operator, "--key", key, "--vm", self.address]
        return await asyncio.to_thread(
            CliRunner().invoke, group, [*arguments, *options]
        )

    async def fetch(self, path, body=None, headers=None):
        """Send a request without signing it."""
        return await AsyncHTTPClient().fetch(
            f"http://{self.address}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers=headers,
            raise_error=False,
        )

    def write(self, name, value):
        """Write a document; return its path."""
        path = self.folder / name
        path.write_text(json.dumps(value))
        return str(path)


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path)
    await site.start()
    yield site
    await site.stop()


async def _released(site, version):
    path = site.write(version, document(version))
    digest = (await site.run("prepare", path)).output.strip()
    assert (await site.run("approve", digest, operator="berta")).exit_code == 0
    return digest


async def test_prepare_approve_roll_and_roll_back(site):
    first = await _released(site, "v1")
    second = await _released(site, "v2")
    for digest, seq in ((first, 1), (second, 2), (first, 3)):
        rolled = await site.run("roll", digest)
        assert rolled.exit_code == 0, rolled.output
        assert f"in force as {seq}" in rolled.output
    await site.fleet.settle()
    assert site.fleet.served("b") == 3
    shown = json.loads((await site.run("show")).output)
    assert (shown["seq"], shown["this_vm"]["serves"]) == (3, True)
    assert (await site.run("retire", second)).exit_code == 0
    refused = await site.run("roll", second)
    assert refused.exit_code != 0
    assert "forbidden: bundle" in refused.output


async def test_refusals_have_a_message_and_a_nonzero_exit_code(site):
    path = site.write("v1", document("v1"))
    digest = (await site.run("prepare", path)).output.strip()
    cases = [
        (await site.run("roll", digest), "is not approved"),
        (await site.run("approve", digest), "preparer may not approve"),
        (await site.run("approve", "f" * 64, operator="berta"), "not-found"),
        (await site.run("show", operator="mallory"), "no public key of operator"),
        (await site.run("prepare", site.write("x", {"name": 3})), "name: found 3"),
    ]
    (site.folder / "anna").write_text("rubbish")
    cases.append((await site.run("show"), "private key is not"))
    for outcome, told in cases:
        assert outcome.exit_code != 0
        assert told in outcome.output


async def test_roll_with_an_outdated_expectation_is_a_conflict(site):
    first, second = await _released(site, "v1"), await _released(site, "v2")
    assert (await site.run("roll", first, "--expect", "0")).exit_code == 0
    late = await site.run("roll", second, "--expect", "0")
    assert late.exit_code != 0
    assert "roll-conflict" in late.output
    assert "~ caller office: brief: tides v1 -> tides v2" in late.output


async def test_repeated_order_returns_the_same_answer(site):
    digest = await _released(site, "v1")
    options = ("--expect", "0", "--order-id", "mine")
    for _ in range(2):
        rolled = await site.run("roll", digest, *options)
        assert (rolled.exit_code, "in force as 1" in rolled.output) == (0, True)


async def test_waiver_lists_the_vms_without_acknowledgement(site):
    digest = await _released(site, "v1")
    site.fleet.network.cuts.add(frozenset("ab"))
    rolling = asyncio.create_task(site.run("roll", digest, "--waive", "bilbao"))
    while not rolling.done():
        await site.fleet.run(0.1)
        await asyncio.sleep(0.005)
    outcome = await rolling
    assert "waived: b" in outcome.output, outcome.output


async def test_requests_without_a_valid_signature_are_refused(site):
    await site.run("show")
    headers = dict(site.requests[0].request.headers)
    signed = {
        name: headers[name]
        for name in (OPERATOR_HEADER, TIME_HEADER, ORDER_HEADER, SIGNATURE_HEADER)
    }
    old = {**signed, TIME_HEADER: "1"}
    cases = [
        ("/operator/bundle", {}, 401, "unauthenticated"),
        ("/operator/bundle", signed, 403, "forbidden"),
        ("/operator/status", signed, 403, "bad-signature"),
        ("/operator/bundle", old, 403, "bad-signature"),
        ("/operator/bundle", {**signed, SIGNATURE_HEADER: "!"}, 401, "unauthenticated"),
    ]
    for path, sent, status, kind in cases:
        answer = await site.fetch(path, headers=sent)
        assert (answer.code, json.loads(answer.body)["error"]) == (status, kind)
    forged = sign(ANNA, Statement("approve", "anna", "d")).document()
    answer = await site.fetch("/operator/approve", json.dumps(forged))
    assert answer.code == 401


async def test_keys(site):
    path = str(site.folder / "new")
    made = await site.run("new", path, operator="", group=keys_group)
    shown = await site.run("show", path, operator="", group=keys_group)
    assert made.output == shown.output
    again = await site.run("new", path, operator="", group=keys_group)
    assert again.exit_code != 0
