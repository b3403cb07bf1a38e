"""Tests of the status of one VM."""

import json
from types import SimpleNamespace

from result import Err, Ok
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from hawthornlead.decisions.views import TargetView
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.messages import Resident, TargetState
from hawthornlead.operators.statuses import StatusParts, status_of, status_routes
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService


def parts(in_force=None, serving=None):
    resident = Resident("tide", "3", 1)
    state = TargetState("e-1", 7, 1, 4, 1, 0, False, (resident,))
    known = TargetView("e-1", "a", "bilbao", ("base",), "vm-1", state, 998.0, False)
    unknown = TargetView("e-2", "b", "bilbao", ("base",), "", None, 0, True)
    peer = SimpleNamespace(vm="vm-2", data_centre="d", address="p", last_seen_at=999.5)
    return StatusParts(
        settings=default_settings(VM_NAME="vm-1", DATA_CENTRE="bilbao"),
        timers=ManualTimerService(start=1000.0),
        store=SimpleNamespace(answered_at=float("-inf")),
        mesh=SimpleNamespace(live=(peer,)),
        members=SimpleNamespace(draining=False),
        leases=SimpleNamespace(state="held", incarnation="vm-1.a"),
        owners=SimpleNamespace(owned_resources=lambda: ("target:e-1",)),
        keeper=SimpleNamespace(
            in_force=in_force, staged_seq=0, may_serve=lambda: serving
        ),
        views=SimpleNamespace(views=lambda: (known, unknown)),
        admissions=SimpleNamespace(open=3),
        invariants=SimpleNamespace(broken={}),
    )


def test_vm_that_serves():
    in_force = SimpleNamespace(seq=9, digest="d9")
    status = status_of(parts(in_force, Ok(in_force)))
    assert status["bundle"]["seq"] == 9
    assert status["bundle"]["refusing"] == ""
    assert status["store_answered_s_ago"] is None
    assert status["peers"][0]["heard_s_ago"] == 0.5
    known, unknown = status["targets"]
    assert (known["residents"], known["heard_s_ago"]) == (["tide@3"], 2.0)
    assert (unknown["residents"], unknown["heard_s_ago"]) == ([], None)


async def test_vm_that_refuses_says_why_over_http():
    refusal = Err(Failure(ErrorKind.ISOLATED, "hears nobody"))
    server = HTTPServer(Application(status_routes(parts(None, refusal))))
    socket, port = bind_unused_port()
    server.add_socket(socket)
    client = AsyncHTTPClient(force_instance=True)
    answer = await client.fetch(f"http://127.0.0.1:{port}/status")
    assert json.loads(answer.body)["bundle"]["refusing"] == "isolated"
    client.close()
    server.stop()
    await server.close_all_connections()
