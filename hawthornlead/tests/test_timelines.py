"""Tests of the time line over several VMs."""

import json

from result import Err, Ok
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from hawthornlead.clocks import HybridClock
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventKind, EventRing
from hawthornlead.messages import CollectEvents
from hawthornlead.operators.timelines import MAX_RECORDS, Timeline, timeline_routes
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService


class Fleet:
    """VMs in one process; a fake of the mesh and the list of live VMs."""

    def __init__(self, *vms, wall_s=None):
        self.cut = set()
        self.asked = []
        self.handlers = {}
        self.rings = {}
        self.timelines = {}
        for vm in vms:
            timers = ManualTimerService(start=(wall_s or {}).get(vm, 1000.0))
            self.rings[vm] = EventRing(vm, HybridClock(timers))
            settings = default_settings(VM_NAME=vm)
            ring = self.rings[vm]
            self._joining = vm
            self.timelines[vm] = Timeline(
                settings=settings, events=ring, mesh=self, members=self
            )

    def on(self, message_type, handler):
        """Record the handler of the joining VM."""
        assert message_type is CollectEvents
        self.handlers[self._joining] = handler

    def live_vms(self):
        """Return all VMs, including those that are cut off."""
        return tuple(self.handlers)

    async def call(self, vm, message, timeout_s=None):
        """Call a VM's handler, or fail if it is cut off."""
        self.asked.append(message)
        if vm in self.cut:
            return Err(Failure(ErrorKind.PEER_UNAVAILABLE, vm))
        return Ok(await self.handlers[vm](None, message))


async def test_cause_comes_before_effect_when_clocks_differ():
    # Guards against a time line sorted by wall time, in which an effect on VM b, whose
    # clock is a minute behind, comes a minute before its cause on VM a. The message
    # from a to b carries a's hybrid time, which moves b's clock past it.
    fleet = Fleet("a", "b", wall_s={"a": 1060.0, "b": 1000.0})
    a, b = fleet.rings["a"], fleet.rings["b"]
    b.emit(EventKind.TARGET_SEEN, "engine-1")
    a.emit(EventKind.TARGET_SEEN, "engine-1", step="cause")
    b.clock.observe(a.clock.tick())
    b.emit(EventKind.REQUEST_RETRIED, "engine-1", step="effect")
    collected = await fleet.timelines["b"].collect("engine-1", 10)
    assert [(r.vm, r.text) for r in collected.events] == [
        ("b", ""),
        ("a", "step=cause"),
        ("b", "step=effect"),
    ]
    assert collected.missing == ()


async def test_vm_without_an_answer_is_named():
    fleet = Fleet("a", "b", "c")
    for ring in fleet.rings.values():
        ring.emit(EventKind.TARGET_SEEN, "engine-1")
    fleet.cut.add("c")
    collected = await fleet.timelines["a"].collect("", 10)
    assert [record.vm for record in collected.events] == ["a", "b"]
    assert collected.missing == ("c",)


async def test_limit_is_per_vm_and_bounded_over_the_fleet():
    fleet = Fleet(*(f"vm-{number}" for number in range(370)))
    ring = fleet.rings["vm-7"]
    for _ in range(100):
        ring.emit(EventKind.TARGET_SEEN, "engine-1")
    collected = await fleet.timelines["vm-0"].collect("", 10**9)
    assert {message.limit for message in fleet.asked} == {MAX_RECORDS // 370}
    assert len(collected.events) == MAX_RECORDS // 370
    assert len((await fleet.timelines["vm-0"].collect("", 3)).events) == 3


async def test_answer_over_http():
    fleet = Fleet("a", "b")
    fleet.rings["b"].emit(EventKind.TARGET_SEEN, "engine-1", slots=4)
    server = HTTPServer(Application(timeline_routes(fleet.timelines["a"])))
    socket, port = bind_unused_port()
    server.add_socket(socket)
    client = AsyncHTTPClient(force_instance=True)
    for query in ("", "?subject=engine-1&limit=5", "?limit=-1", "?limit=many"):
        url = f"http://127.0.0.1:{port}/timeline{query}"
        answer = json.loads((await client.fetch(url)).body)
        assert [r["text"] for r in answer["events"]] == ["slots=4"]
        assert answer["missing"] == []
    for _ in range(1500):
        fleet.rings["a"].emit(EventKind.TARGET_SEEN, "engine-1")
    url = f"http://127.0.0.1:{port}/timeline"
    assert len(json.loads((await client.fetch(url)).body)["events"]) == 1001
    client.close()
    server.stop()
    await server.close_all_connections()
