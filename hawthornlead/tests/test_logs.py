"""Tests of the configuration of logs."""

import io
import json
import logging  # noqa: TID251 -- stands for a library that logs this way
import os
from datetime import datetime

import pytest
from loguru import logger
from tornado.simple_httpclient import HTTPStreamClosedError

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventKind, EventRing
from hawthornlead.logs import (
    AFTER_CANCEL,
    REPEAT_KEYS,
    UnblockedStream,
    configure_logs,
)
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService


@pytest.fixture
def timers():
    """A timer service with a manual clock."""
    return ManualTimerService()


@pytest.fixture
def stream():
    """The stream that lines are written to; the configuration is undone afterwards."""
    yield io.StringIO()
    logger.remove()
    logging.basicConfig(handlers=[logging.NullHandler()], force=True)


def json_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_json_line_carries_event_number_and_subject(timers, stream):
    configure_logs(default_settings(LOG_FORMAT="json"), timers, stream)
    ring = EventRing("vm-1", HybridClock(timers))
    ring.emit(EventKind.PEER_LOST, "vm-2", reason="closed")
    (line,) = json_lines(stream)
    assert (line["event"], line["subject"], line["vm"]) == (201, "vm-2", "vm-1")
    assert line["level"] == "WARNING"
    assert "reason=closed" in line["message"]


def test_text_line_carries_event(timers, stream):
    configure_logs(default_settings(), timers, stream)
    EventRing("vm-1", HybridClock(timers)).emit(EventKind.STORE_LOST, "store")
    assert "300 STORE_LOST store" in stream.getvalue()


def test_level_holds_for_own_and_library_lines(timers, stream):
    configure_logs(default_settings(LOG_LEVEL="WARNING"), timers, stream)
    logger.info("own quiet")
    logging.getLogger("tornado.access").info("library quiet")
    logging.getLogger("tornado.access").warning("library loud {}")
    assert "quiet" not in stream.getvalue()
    assert "library loud {}" in stream.getvalue()


def test_library_line_names_the_library_module(timers, stream):
    configure_logs(default_settings(LOG_FORMAT="json"), timers, stream)
    logging.getLogger("websockets").error("refused %s", "frame")
    (line,) = json_lines(stream)
    assert line["message"] == "refused frame"
    assert line["module"].endswith("test_logs")


def test_exception_is_on_the_json_line(timers, stream):
    configure_logs(default_settings(LOG_FORMAT="json"), timers, stream)
    try:
        raise KeyError("lost")
    except KeyError:
        logger.exception("failed")
    assert json_lines(stream)[0]["exception"] == "KeyError('lost')"


async def test_repeated_lines_are_limited_and_counted(timers, stream):
    # An engine refuses every request for ten seconds, and each failed request logs a
    # line. Without a limit thousands of equal lines hide all others and take up the
    # processor.
    configure_logs(default_settings(), timers, stream)
    ring = EventRing("vm-1", HybridClock(timers))
    for _ in range(100):
        ring.emit(EventKind.PEER_LOST, "vm-2")
    ring.emit(EventKind.PEER_LOST, "vm-3")
    assert stream.getvalue().count("vm-2") == 5
    assert stream.getvalue().count("vm-3") == 1
    await timers.advance(11)
    ring.emit(EventKind.PEER_LOST, "vm-2")
    assert "(95 alike left out)" in stream.getvalue()
    assert len(ring.newest("vm-2")) == 101


def test_critical_lines_are_never_left_out(timers, stream):
    configure_logs(default_settings(), timers, stream)
    for _ in range(20):
        logger.critical("invariant")
    assert stream.getvalue().count("invariant") == 20


def test_kinds_remembered_are_bounded(timers, stream):
    configure_logs(default_settings(), timers, stream)
    ring = EventRing("vm-1", HybridClock(timers))
    for _ in range(6):
        ring.emit(EventKind.PEER_LOST, "vm-first")
    for number in range(REPEAT_KEYS):
        ring.emit(EventKind.PEER_LOST, f"vm-{number}")
    ring.emit(EventKind.PEER_LOST, "vm-first")
    assert stream.getvalue().count("\n") == 5 + REPEAT_KEYS + 1


def test_the_end_of_a_cancelled_request_is_not_logged_as_an_error(timers, stream):
    # A silent watch is cancelled and reopened. Tornado logs the closed connection with
    # a traceback each time, as if something had failed.
    configure_logs(default_settings(), timers, stream)
    library = logging.getLogger("tornado.application")
    for error in (HTTPStreamClosedError("Connection closed"), ValueError("a fault")):
        library.error(AFTER_CANCEL, exc_info=(type(error), error, None))
    assert "Connection closed" not in stream.getvalue()
    assert "a fault" in stream.getvalue()


def test_event_without_details_ends_with_its_subject(timers, stream):
    configure_logs(default_settings(), timers, stream)
    ring = EventRing("vm-1", HybridClock(timers))
    ring.emit(EventKind.PROCESS_STOPPED, "vm-1")
    assert stream.getvalue().endswith("102 PROCESS_STOPPED vm-1\n")


def test_a_flood_of_successes_is_sampled_by_request(timers, stream):
    """Log lines must not take up the processor in a burst of requests.

    Lines of ordinary successes are dropped first, so that refusals are still written.
    A request that keeps its lines keeps all of them.
    """
    settings = default_settings(LOG_FORMAT="json", LOG_LINES_PER_S=100)
    configure_logs(settings, timers, stream)
    ring = EventRing("vm-1", HybridClock(timers))
    for number in range(600):
        ring.emit(EventKind.REQUEST_PLACED, f"r{number}", target="e1")
        ring.emit(EventKind.REQUEST_SERVED, f"r{number}", target="e1")
    ring.emit(EventKind.REQUEST_TURNED_DOWN, "r-refused", status=503)
    lines = json_lines(stream)
    assert len(lines) <= 500
    assert lines[-1]["subject"] == "r-refused"
    assert "lines left out" in lines[-1]["message"]
    late = [line for line in lines[400:] if line["event"] == 607]
    served = {line["subject"] for line in lines if line["event"] == 608}
    assert late
    assert {line["subject"] for line in late} <= served


def test_the_budget_of_lines_holds_for_failures_too(timers, stream):
    settings = default_settings(LOG_FORMAT="json", LOG_LINES_PER_S=10)
    configure_logs(settings, timers, stream)
    ring = EventRing("vm-1", HybridClock(timers))
    for number in range(300):
        ring.emit(EventKind.REQUEST_TURNED_DOWN, f"r{number}", status=503)
    assert len(json_lines(stream)) == 50


def test_a_reader_that_stops_reading_does_not_stop_the_process():
    """A log reader that stops reading must not block the process.

    The pipe fills up, and a blocking write of the next line would stop all requests.
    """
    reading, writing = os.pipe()
    stream = UnblockedStream(writing)
    for _ in range(5000):
        stream.write("x" * 200 + "\n")
    assert stream.dropped > 0
    os.close(reading)
    os.close(writing)


def read_all(descriptor: int) -> bytes:
    """Return all bytes that a pipe has now."""
    os.set_blocking(descriptor, False)
    read = b""
    while True:
        try:
            read += os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return read


def test_a_resumed_reader_gets_whole_lines_and_the_number_of_dropped_ones():
    """Logs must be readable after a pause of their reader.

    A pipe that is almost full accepts a part of a line. The next line must not start in
    the middle of that one, and a line must say how many are missing.
    """
    reading, writing = os.pipe()
    stream = UnblockedStream(writing)
    for number in range(5000):
        stream.write(json.dumps({"number": number, "text": "x" * 5000}) + "\n")
    read = read_all(reading)
    for number in range(3):
        stream.write(json.dumps({"after": number}) + "\n")
    read += read_all(reading)
    lines = [json.loads(line) for line in read.splitlines()]
    assert lines[-4]["message"] == f"{stream.dropped} lines dropped"
    assert [line["after"] for line in lines[-3:]] == [0, 1, 2]
    os.close(reading)
    os.close(writing)


def test_events_give_the_same_lines_with_and_without_loguru(timers, stream):
    """Guards against an event field that only one of the two writers logs."""
    direct = io.StringIO()
    settings = default_settings(LOG_FORMAT="json", LOG_LINES_PER_S=100)
    ring = EventRing("vm-1", HybridClock(timers))
    configure_logs(settings, timers, stream)
    ring.emit(EventKind.REQUEST_SERVED, "r1", target="i-1", status=200)
    ring.write = configure_logs(settings, timers, direct)
    ring.emit(EventKind.REQUEST_SERVED, "r1", target="i-1", status=200)
    first, second = json.loads(stream.getvalue()), json.loads(direct.getvalue())
    for line in (first, second):
        assert datetime.fromisoformat(line.pop("time")).tzinfo is not None
    assert first.pop("at") < second.pop("at")
    assert first == second


def test_events_below_the_level_or_beyond_the_budget_are_left_out(timers, stream):
    settings = default_settings(
        LOG_FORMAT="json", LOG_LINES_PER_S=1, LOG_LEVEL="WARNING"
    )
    ring = EventRing("vm-1", HybridClock(timers))
    ring.write = configure_logs(settings, timers, stream)
    ring.emit(EventKind.REQUEST_SERVED, "r1")
    assert stream.getvalue() == ""
    for number in range(20):
        ring.emit(EventKind.ANSWER_CUT, f"r{number}")
    assert len(stream.getvalue().splitlines()) == 5
    timers._now += 2.0
    ring.emit(EventKind.ANSWER_CUT, "r20")
    assert "15 lines left out" in stream.getvalue().splitlines()[-1]
