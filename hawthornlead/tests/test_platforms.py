"""Tests of reading the platform's VM list."""

import json

import tornado.httpserver
import tornado.testing
import tornado.web

from hawthornlead.ownership.platforms import VmEntry, VmList
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

ENGINE = VmEntry("e1", "engine", "127.0.0.1:1", "dc1", "live", {"slots": 2})
TIMING = VmEntry("s1", "service", "127.0.0.1:2", "dc1", "live", {"service": "timing"})
ENTRY = VmEntry("vm-1", "entry", "127.0.0.1:3", "dc1", "leaving", {})


class ListHandler(tornado.web.RequestHandler):
    """Answers with a VM list and the entity tag that Tornado computes."""

    def initialize(self, entries=(ENGINE, TIMING, ENTRY), statuses=None):
        self.entries = entries
        self.statuses = [] if statuses is None else statuses

    def get(self):
        vms = [entry._asdict() for entry in self.entries]
        self.write(json.dumps({"vms": vms}))

    def on_finish(self):
        self.statuses.append(self.get_status())


async def test_reads_list_and_keeps_newest():
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application([("/vms", ListHandler)])
    )
    socket, port = tornado.testing.bind_unused_port()
    server.add_socket(socket)
    timers = ManualTimerService()
    settings = default_settings(VM_LIST_ADDRESS=f"127.0.0.1:{port}")
    vm_list = VmList(settings=settings, timers=timers)
    changes = []
    vm_list.subscribe(lambda: changes.append(vm_list.entries))
    vm_list.start()
    assert (await vm_list.read()).is_ok()
    assert vm_list.engines() == (ENGINE,)
    assert vm_list.services("timing") == (TIMING,)
    assert vm_list.services("other") == ()
    assert vm_list.entry_vms() == (ENTRY,)
    assert (await vm_list.read()).is_ok()
    assert len(changes) == 1
    server.stop()
    await server.close_all_connections()
    assert (await vm_list.read()).is_err()
    assert vm_list.entries and vm_list.age_s == 0
    # A list that was requested before the current one changes nothing.
    vm_list.apply((), timers.now() - 1)
    assert vm_list.entries
    await vm_list.stop()


async def test_an_unchanged_list_is_current_but_not_sent_again():
    entries, statuses = [ENGINE], []
    parts = {"entries": entries, "statuses": statuses}
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application([("/vms", ListHandler, parts)])
    )
    socket, port = tornado.testing.bind_unused_port()
    server.add_socket(socket)
    timers = ManualTimerService()
    settings = default_settings(VM_LIST_ADDRESS=f"127.0.0.1:{port}")
    vm_list = VmList(settings=settings, timers=timers)
    vm_list.start()
    assert (await vm_list.read()).is_ok()
    timers._now += 10
    assert (await vm_list.read()).is_ok()
    assert statuses == [200, 304]
    assert vm_list.age_s == 0 and vm_list.entries == (ENGINE,)
    entries.append(ENTRY)
    assert (await vm_list.read()).is_ok()
    assert statuses == [200, 304, 200]
    assert vm_list.entries == (ENGINE, ENTRY)
    server.stop()
    await server.close_all_connections()
    await vm_list.stop()
