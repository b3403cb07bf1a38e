"""Tests of reconstructing the history of a request from log lines."""

import io
import json

from loguru import logger

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventKind, EventRing
from hawthornlead.logs import configure_logs
from hawthornlead.operators.explanations import format_history, history_of, read_lines
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService


class Vm:
    """One VM's events and the log that they are written to."""

    def __init__(self, name, wall):
        self.timers = ManualTimerService(wall)
        self.clock = HybridClock(self.timers)
        self.ring = EventRing(name, self.clock)
        self.stream = io.StringIO()

    def emit(self, kind, subject, **fields):
        settings = default_settings(LOG_FORMAT="json", LOG_LINES_PER_S=1000)
        configure_logs(settings, self.timers, self.stream)
        self.ring.emit(kind, subject, **fields)
        logger.remove()

    def send_to(self, other):
        other.clock.observe(self.clock.tick())


def lines_of(*vms):
    return read_lines(line for vm in vms for line in vm.stream.getvalue().splitlines())


def test_history_is_in_order_after_a_clock_was_set_back():
    """Guard against a history in which an adapter is ready before it is ordered.

    This happens if lines are sorted by the time of day while the clock of the engine's
    owner is set back by 40 s.
    """
    requester, owner = Vm("vm-1", 1000.0), Vm("vm-2", 960.0)
    requester.emit(EventKind.REQUEST_PLACED, "r1", target="e1", adapter="a7")
    requester.send_to(owner)
    owner.emit(EventKind.ORDER_GIVEN, "e1", order="load", adapter="a7")
    owner.emit(EventKind.ADAPTER_READY, "e1", adapter="a7", after_ms=280)
    owner.send_to(requester)
    requester.emit(EventKind.REQUEST_SERVED, "r1", target="e1", status=200)
    history = history_of("r1", lines_of(owner, requester))
    events = [line.event for line in history.lines]
    assert events == [607, 522, 523, 608]
    assert history.ended


def test_history_has_only_lines_that_concern_the_request():
    vm = Vm("vm-1", 1000.0)
    vm.emit(EventKind.REQUEST_PLACED, "r1", target="e1", adapter="a7")
    vm.emit(EventKind.REQUEST_PLACED, "r2", target="e2", adapter="a8")
    vm.emit(EventKind.TARGET_DIED, "e2", requests=3)
    vm.emit(EventKind.TARGET_DIED, "e1", requests=9)
    vm.emit(EventKind.ANSWER_CUT, "r1", cause="the target failed")
    history = history_of("r1", lines_of(vm))
    assert [line.subject for line in history.lines] == ["r1", "e1", "r1"]
    text = format_history("r1", history)
    assert "TARGET_DIED e1" in text
    assert "TARGET_DIED e2" not in text


def test_unknown_request_and_missing_end_are_reported():
    vm = Vm("vm-1", 1000.0)
    vm.emit(EventKind.REQUEST_PLACED, "r1", target="e1", adapter="")
    lines = lines_of(vm)
    assert "no line mentions" in format_history("r9", history_of("r9", lines))
    assert "how it ended" in format_history("r1", history_of("r1", lines))


def test_lines_with_a_prefix_are_read_and_malformed_ones_skipped():
    vm = Vm("vm-1", 1000.0)
    vm.emit(EventKind.REQUEST_SERVED, "r1", target="e1")
    (line,) = vm.stream.getvalue().splitlines()
    read = read_lines([f"  12.5 vm-1 {line}", line[: len(line) // 2], "plain text", ""])
    assert [each.subject for each in read] == ["r1"]
    assert json.loads(line)["at"] == list(read[0].at)
