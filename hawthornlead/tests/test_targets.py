"""Tests of the client of a target: what each failure proves."""

import asyncio
import random
import socket

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from hawthornlead.engines.targets import Order, TargetClient
from hawthornlead.errors import ErrorKind
from hawthornlead.messages import Resident

from .standins.engine import EngineStandIn


class _Orders(RequestHandler):
    async def post(self):
        self.application.settings["bodies"].append(self.request.body)
        status, body, delay = self.application.settings["answer"]
        await asyncio.sleep(delay)
        self.set_status(status)
        self.write(body)


async def _engine(answer):
    bodies = []
    app = Application([("/.*", _Orders)], bodies=bodies, answer=answer)
    sock, port = bind_unused_port()
    server = HTTPServer(app)
    server.add_socket(sock)
    return TargetClient(f"127.0.0.1:{port}", rng=random.Random(1)), server, bodies


async def _order(client, timeout_s=2.0, still_allowed=lambda: True):
    return await client.order(
        Order.LOAD, 3, "tide", "1", "base", timeout_s, still_allowed
    )


async def test_order_carried_out():
    client, server, bodies = await _engine(
        (200, {"ok": True, "now": 7.5, "boot_id": "b"}, 0)
    )
    reply = (await _order(client)).unwrap()
    assert (reply.now, reply.boot_id) == (7.5, "b")
    assert b'"fence": 3' in bodies[0]
    server.stop()


async def test_refusals_are_distinguished():
    for status, name, kind in (
        (409, "stale-fence", ErrorKind.STALE_FENCE),
        (409, "no-free-slot", ErrorKind.NO_SLOT),
        (409, "not-resident", ErrorKind.NOT_FOUND),
        (502, "load-failed", ErrorKind.LOAD_FAILED),
        (409, "leaving", ErrorKind.TARGET_REFUSED),
    ):
        client, server, _ = await _engine((status, {"error": name}, 0))
        assert (await _order(client)).unwrap_err().kind is kind
        server.stop()


async def test_connect_refused_proves_that_nothing_happened():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    client = TargetClient(f"127.0.0.1:{sock.getsockname()[1]}", rng=random.Random(1))
    assert (await _order(client)).unwrap_err().kind is ErrorKind.TARGET_UNREACHABLE
    sock.close()


async def test_silence_after_the_bytes_proves_nothing():
    """Guards against an order without an answer that counts as not carried out.

    An engine receives an order and does not answer in time. If it did evict, the owner
    would go on granting an adapter that is no longer there.
    """
    client, server, bodies = await _engine((200, {}, 5))
    assert (await _order(client, 2.0)).unwrap_err().kind is ErrorKind.TARGET_LOST
    assert len(bodies) == 1
    server.stop()


async def test_answer_outside_the_protocol_proves_nothing():
    for answer in ((200, "nonsense", 0), (500, "nonsense", 0), (200, "[]", 0)):
        client, server, _ = await _engine(answer)
        assert (await _order(client)).unwrap_err().kind is ErrorKind.TARGET_LOST
        server.stop()


async def test_right_lost_while_connecting_sends_nothing():
    """Guards against an order that is sent after the owner's lease.

    An owner freezes while it connects and wakes after its lease. By then a successor
    may have evicted, so the right is checked again before the body is written.
    """
    client, server, bodies = await _engine((200, {"ok": True}, 0))
    refused = await _order(client, still_allowed=lambda: False)
    assert refused.unwrap_err().kind is ErrorKind.NO_GRANT
    assert bodies == []
    server.stop()


async def test_malformed_report_and_health():
    client, server, _ = await _engine((200, {"boot_id": "b"}, 0))
    server.stop()
    assert (await client.health()).is_err()
    assert (await client.report()).is_err()


async def test_orders_and_reports_of_an_engine():
    engine = EngineStandIn(name="engine-1", slots=1, load_s=0.001, fencing=True)
    client = TargetClient(await engine.start(), rng=random.Random(1))
    health = (await client.health()).unwrap()
    assert (await _order(client)).unwrap().boot_id == health.boot_id
    assert (await _order(client)).is_ok()
    full = await client.order(Order.LOAD, 3, "lap", "1", "base", 2.0)
    assert full.unwrap_err().kind is ErrorKind.NO_SLOT
    stale = await client.order(Order.EVICT, 2, "tide", "1", "", 2.0)
    assert stale.unwrap_err().kind is ErrorKind.STALE_FENCE
    report = (await client.report()).unwrap()
    assert report.residents == (Resident("tide", "1", 0),) and report.slots == 1
    assert report.as_of >= health.now
    assert (await client.order(Order.EVICT, 3, "tide", "1", "", 2.0)).is_ok()
    missing = await client.order(Order.EVICT, 3, "tide", "1", "", 2.0)
    assert missing.unwrap_err().kind is ErrorKind.NOT_FOUND
    engine.set_faults(fail_loads=1)
    assert (await _order(client)).unwrap_err().kind is ErrorKind.LOAD_FAILED
    assert (await client.cancel("unknown")).is_ok()
    await engine.stop()
    assert (await client.health()).unwrap_err().kind is ErrorKind.TARGET_UNREACHABLE
