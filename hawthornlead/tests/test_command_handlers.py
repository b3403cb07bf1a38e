"""Tests of answers to callers over HTTP."""

import json
from types import SimpleNamespace

import pytest
from result import Err, Ok
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from hawthornlead.bundles.bundles import CallerTerms
from hawthornlead.callers.command_handlers import CallerParts, caller_routes
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.settings import default_settings
from hawthornlead.timers import TimerService

CALLER = CallerTerms("gijon", 5, 100.0, 100, 100)
ISSUED_MS = 1_700_000_000_500


class Requests:
    """A request path that refuses with the failure that a test sets."""

    def __init__(self):
        self.failure = Failure(ErrorKind.OVERLOADED, "full", 1.0)
        self.received = []

    async def serve(self, request, sink):
        """Record the request and refuse it."""
        self.received.append(request)
        return Err(self.failure)


@pytest.fixture
async def site():
    bundle = SimpleNamespace(caller_of=lambda token: CALLER)
    keeper = SimpleNamespace(may_serve=lambda: Ok(SimpleNamespace(bundle=bundle)))
    drain = SimpleNamespace(refusal=lambda: None)
    requests = Requests()
    parts = CallerParts(
        default_settings(), TimerService(), keeper, requests, None, drain
    )
    socket, port = bind_unused_port()
    server = HTTPServer(Application(caller_routes(parts)))
    server.add_sockets([socket])

    async def send(**headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        response = await AsyncHTTPClient(force_instance=True).fetch(
            f"http://127.0.0.1:{port}/v1/completions",
            method="POST",
            body=json.dumps({"model": "brief", "prompt": "?"}),
            headers=names | {"Authorization": "Bearer t"},
            raise_error=False,
        )
        return json.loads(response.body)

    yield SimpleNamespace(send=send, requests=requests)
    server.stop()
    await server.close_all_connections()


async def test_a_refusal_of_a_key_whose_claim_was_not_read_says_so(site):
    """A caller's first try runs, and its second is refused by an overloaded VM.

    "not run" holds for the second try only. If the caller takes it for the key, it
    sends the request again under a new key, and the request runs twice.
    """
    refused = await site.send(Idempotency_Key="lap-81")
    assert (refused["ran"], refused["other_tries"]) == ("not run", "unknown")
    site.requests.failure = Failure(ErrorKind.NO_SLOT, "none", claim_read=True)
    assert "other_tries" not in await site.send(Idempotency_Key="lap-81")
    assert "other_tries" not in await site.send()


async def test_the_time_of_a_key_is_read(site):
    header = {"Hawthornlead_Key_Issued_At": str(ISSUED_MS)}
    await site.send(Idempotency_Key="lap-81", **header)
    assert site.requests.received[0].key_issued_at == ISSUED_MS / 1000
    refused = await site.send(Idempotency_Key="k", Hawthornlead_Key_Issued_At="now")
    assert (refused["error"], refused["other_tries"]) == ("bad-request", "unknown")
