"""Tests of signed queries: who may read the status and the time line."""

import json
from types import SimpleNamespace

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventKind, EventRing
from hawthornlead.operators.request_guards import RequestGuard, signed_headers
from hawthornlead.operators.timelines import Timeline, timeline_routes
from hawthornlead.signatures import OperatorKeys, generate_key, public_text
from hawthornlead.timers import TimerService

KEY = generate_key()


class Site:
    """A VM that answers its time line, signed only."""

    def __init__(self):
        timers = TimerService()
        self.events = EventRing("a", HybridClock(timers))
        keys = OperatorKeys({"ana": public_text(KEY)})
        guard = RequestGuard(keys, timers, self.events)
        timeline = Timeline(
            settings={"VM_NAME": "a"},
            events=self.events,
            mesh=SimpleNamespace(on=lambda *_: None),
            members=SimpleNamespace(live_vms=lambda: ()),
        )
        socket, port = bind_unused_port()
        self.server = HTTPServer(Application(timeline_routes(timeline, guard)))
        self.server.add_socket(socket)
        self.address = f"http://127.0.0.1:{port}"
        self.client = AsyncHTTPClient(force_instance=True)

    async def send(self, path, **headers):
        """Send a request; return the status and the error."""
        url = self.address + path
        answer = await self.client.fetch(url, headers=headers, raise_error=False)
        return answer.code, json.loads(answer.body).get("error")


@pytest.fixture
async def site():
    made = Site()
    yield made
    made.client.close()
    made.server.stop()
    await made.server.close_all_connections()


async def test_only_an_operator_reads_the_time_line(site):
    path = "/timeline?subject=tide"
    assert await site.send(path) == (401, "unauthenticated")
    token = {"Authorization": "Bearer a-callers-token"}
    assert await site.send(path, **token) == (401, "unauthenticated")
    stranger = signed_headers(generate_key(), "ana", "GET", path, b"")
    assert await site.send(path, **stranger) == (403, "bad-signature")
    assert await site.send(path, **signed_headers(KEY, "ana", "GET", path, b"")) == (
        200,
        None,
    )


async def test_signature_covers_the_query_and_is_good_once(site):
    headers = signed_headers(KEY, "ana", "GET", "/timeline?subject=tide", b"")
    other = await site.send("/timeline?subject=heats", **headers)
    assert other == (403, "bad-signature")
    assert (await site.send("/timeline?subject=tide", **headers))[0] == 200
    assert await site.send("/timeline?subject=tide", **headers) == (403, "forbidden")


async def test_a_stream_of_unsigned_requests_leaves_the_ring_alone(site):
    """Unsigned requests arrive in a row while operators look for a fault.

    If each made an event, the ring would lose the events that operators look for.
    """
    for _ in range(50):
        await site.send("/timeline")
    kinds = [record.number for record in site.events.newest()]
    assert 0 < kinds.count(EventKind.OPERATOR_REFUSED.number) < 50
