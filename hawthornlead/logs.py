"""Log set-up: loguru to standard error, as text or as JSON lines.

This is the one module that imports ``logging``: tornado and websockets log through
the standard library, and without a handler of ours their lines would go past the
chosen level and form. Everything else imports ``logger`` from loguru::

    configure_logs(settings, timers)
"""

import inspect
import json
import logging
import os
import sys
import zlib
from collections import OrderedDict
from datetime import UTC, datetime
from typing import Any, NamedTuple, TextIO

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import HTTPStreamClosedError

from .events import EventLine
from .timers import TimerService

REPEAT_LINES = 5
REPEAT_WINDOW_S = 10.0
REPEAT_KEYS = 1024
# A budget may be spent ahead by the lines of this time: an incident begins with many.
BUDGET_BURST_S = 5.0
# Below this share of the budget, lines of ordinary successes are sampled.
ORDINARY_SHARE = 0.25
SAMPLED = 16
# REQUEST_PLACED and REQUEST_SERVED, ORDER_GIVEN and ADAPTER_READY.
ORDINARY_EVENTS = frozenset((607, 608, 522, 523))
# Where events come from, in the lines of their logs.
EVENTS_MODULE = "hawthornlead.events"
AFTER_CANCEL = "Exception after Future was cancelled"

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <8} {name}: {message}{extra[left_out]}"
)


class _LineKey(NamedTuple):
    module: str
    line: int
    event: int
    subject: str


class _Window:
    """What was written and left out of one kind of line."""

    def __init__(self, started_at: float):
        self.started_at = started_at
        self.written = 0
        self.left_out = 0


class RepeatLimiter:
    """A loguru filter that writes only the first lines of each kind in a window.

    The failure it guards against: a target or peer that fails for every request
    makes a line per request, which costs more processor time than the requests and
    hides all other lines. Lines are alike when they come from the same place with
    the same event number and subject. At most ``lines`` of them are written per
    ``window_s`` seconds; the first line after that tells how many were left out.
    Memory is bounded because only the ``REPEAT_KEYS`` newest kinds are remembered.
    CRITICAL lines are always written. The event ring keeps every event all the same.
    """

    def __init__(
        self,
        timers: TimerService,
        lines: int = REPEAT_LINES,
        window_s: float = REPEAT_WINDOW_S,
    ):
        self._timers = timers
        self._lines = lines
        self._window_s = window_s
        self._windows: OrderedDict[_LineKey, _Window] = OrderedDict()

    def __call__(self, record: dict[str, Any]) -> bool:
        """Tell whether the line is to be written."""
        extra = record["extra"]
        extra["left_out"] = ""
        if record["level"].name == "CRITICAL":
            return True
        key = _LineKey(
            record["name"] or "",
            record["line"],
            extra.get("event", 0),
            extra.get("subject", ""),
        )
        window, left_out = self._window(key)
        if left_out:
            extra["left_out"] = f" ({left_out} alike left out)"
        window.written += 1
        if window.written <= self._lines:
            return True
        window.left_out += 1
        return False

    def _window(self, key: _LineKey) -> tuple[_Window, int]:
        """Return the window of ``key`` and what the one before it left out."""
        now = self._timers.now()
        window = self._windows.get(key)
        if window is not None and now - window.started_at < self._window_s:
            self._windows.move_to_end(key)
            return window, 0
        fresh = self._windows[key] = _Window(now)
        self._windows.move_to_end(key)
        if len(self._windows) > REPEAT_KEYS:
            self._windows.popitem(last=False)
        return fresh, window.left_out if window else 0


class LibraryHandler(logging.Handler):
    """Hands the lines of libraries that use ``logging`` on to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one line of a library under the library's own place and level."""
        if record.msg == AFTER_CANCEL and _is_closed_connection(record):
            return
        try:
            level: str | int = logger.level(record.levelname).name
        except ValueError:
            level = record.levelno
        depth = _depth_of_caller()
        logger.opt(depth=depth, exception=record.exc_info).log(
            level, "{}", record.getMessage()
        )


class LineBudget:
    """A loguru filter that keeps the lines of a process within a rate.

    The failure it guards against: under a flood of requests, or of failures, lines
    cost more processor time than the requests. Lines of ordinary successes give way
    first, when a quarter of the budget is left: only one in ``SAMPLED`` requests keeps
    its lines then, chosen by a hash of the request's id, so that its story is whole
    on every VM. Refusals, failures and beliefs are dropped only when nothing is left.
    The next line that is written tells how many were.
    """

    def __init__(self, timers: TimerService, lines_per_s: float):
        self._timers = timers
        self._rate = lines_per_s
        self._most = lines_per_s * BUDGET_BURST_S
        self._left = self._most
        self._at = timers.now()
        self._dropped = 0

    def __call__(self, record: dict[str, Any]) -> bool:
        """Tell whether the line is to be written."""
        extra = record["extra"]
        extra["left_out"] = ""
        event, subject = extra.get("event"), extra.get("subject", "")
        if not self.take(record["level"].name, event, subject):
            return False
        extra["left_out"] = self.left_out()
        return True

    def take(self, level: str, event: int | None, subject: str) -> bool:
        """Take one line of the budget; False if the line is to be dropped."""
        now = self._timers.now()
        self._left = min(self._most, self._left + self._rate * (now - self._at))
        self._at = now
        if level != "CRITICAL" and not self._affords(event, subject):
            self._dropped += 1
            return False
        self._left -= 1
        return True

    def left_out(self) -> str:
        """Return how many lines were dropped, once, for the next line that goes out."""
        dropped, self._dropped = self._dropped, 0
        return f" ({dropped} lines left out)" if dropped else ""

    def _affords(self, event: int | None, subject: str) -> bool:
        if self._left < 1:
            return False
        if event not in ORDINARY_EVENTS:
            return True
        if self._left > self._most * ORDINARY_SHARE:
            return True
        return zlib.crc32(subject.encode()) % SAMPLED == 0


class EventWriter:
    """Writes events as lines of JSON within a budget, and nothing else.

    A record of loguru's takes several times as long to make as the line itself. The
    lines are the same as those of ``json_line``.
    """

    def __init__(self, budget: LineBudget, stream: "TextIO | UnblockedStream", level):
        self._budget = budget
        self._stream = stream
        self._least = logger.level(level).no
        self._numbers: dict[str, int] = {}

    def __call__(self, line: EventLine) -> None:
        """Write one event, or drop it."""
        kind = line.kind
        number = self._numbers.get(kind.level)
        if number is None:
            number = self._numbers[kind.level] = logger.level(kind.level).no
        if number < self._least:
            return
        if not self._budget.take(kind.level, kind.number, line.subject):
            return
        body = {
            "time": datetime.now(UTC).isoformat(),
            "level": kind.level,
            "module": EVENTS_MODULE,
            "event": kind.number,
            "subject": line.subject,
            "vm": line.vm,
            "at": line.at,
            "message": line.message + self._budget.left_out(),
        }
        if line.fields:
            body["fields"] = line.fields
        self._stream.write(json.dumps(body, default=str) + "\n")


class UnblockedStream:
    """Writes whole lines to a descriptor and drops those that it does not take.

    The failure it guards against: a reader of the logs that stops reading fills the
    pipe, and a process that writes on stands still with all its requests.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._dropped = 0
        self._untold = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """How many lines were dropped since the start."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write one line, or drop it; the next one that is written tells how many."""
        if not self._write_rest():
            self._drop()
            return
        if self._untold:
            told = (
                f'{{"level": "WARNING", "message": "{self._untold} lines dropped"}}\n'
            )
            self._rest = told.encode()
            self._untold = 0
        self._rest += line.encode(errors="backslashreplace")
        self._write_rest()

    def _drop(self) -> None:
        self._dropped += 1
        self._untold += 1

    def _write_rest(self) -> bool:
        """Write what the descriptor did not take before; False if some is left.

        A pipe that is nearly full takes a part of a line. Were its rest dropped, the
        next line would go on in the middle of this one and neither could be read.
        """
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        self._rest = self._rest[written:]
        return not self._rest


def configure_logs(
    settings: dict[str, Any],
    timers: TimerService,
    stream: TextIO | UnblockedStream | None = None,
) -> EventWriter | None:
    """Write logs as the settings of ``[logs]`` say, to standard error.

    ``stream`` replaces standard error. Calling it again replaces what an earlier call
    set up. ``LOG_LINES_PER_S`` bounds all lines; without it, lines that repeat are
    left out. Returns what may write events in place of loguru, where the lines are of
    JSON and bounded.
    """
    stream = sys.stderr if stream is None else stream
    lines_per_s = settings["LOG_LINES_PER_S"]
    limiter = LineBudget(timers, lines_per_s) if lines_per_s else RepeatLimiter(timers)
    level = settings["LOG_LEVEL"]
    logger.remove()
    if settings["LOG_FORMAT"] == "json":
        logger.add(
            lambda message: stream.write(json_line(message.record)),
            level=level,
            filter=limiter,
            format="{message}",
            diagnose=False,
        )
    else:
        logger.add(
            stream, level=level, filter=limiter, format=TEXT_FORMAT, diagnose=False
        )
    logging.basicConfig(
        handlers=[LibraryHandler()], level=logging.getLevelName(level), force=True
    )
    if isinstance(limiter, LineBudget) and settings["LOG_FORMAT"] == "json":
        return EventWriter(limiter, stream, level)
    return None


def quiet_libraries() -> None:
    """Keep libraries' lines from the terminal of a command.

    The command tells its failure itself; without a handler the standard library
    prints the line of tornado besides it.
    """
    logging.basicConfig(handlers=[logging.NullHandler()], force=True)


def json_line(record: dict[str, Any]) -> str:
    """Return one log record as a line of JSON, newline included.

    ``event`` and ``subject`` are null for a line that is no numbered event.
    """
    extra = record["extra"]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "module": record["name"],
        "event": extra.get("event"),
        "subject": extra.get("subject"),
        "vm": extra.get("vm"),
        "at": extra.get("at"),
        "message": record["message"] + extra.get("left_out", ""),
    }
    if extra.get("fields"):
        line["fields"] = extra["fields"]
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line, default=str) + "\n"


def _is_closed_connection(record: logging.LogRecord) -> bool:
    """Whether a record tells of a connection that ended.

    Tornado logs the end of a request that was cancelled as an error with its
    traceback. Watches are cancelled whenever they go silent and when the process
    stops; that a cancelled request's connection is closed then is no fault.
    """
    return bool(record.exc_info) and isinstance(
        record.exc_info[1], HTTPStreamClosedError | StreamClosedError
    )


def _depth_of_caller() -> int:
    """Count the frames between ``LibraryHandler.emit`` and the library's own line."""
    frame, depth = inspect.currentframe().f_back, 0
    while frame and (depth == 0 or frame.f_code.co_filename == logging.__file__):
        frame = frame.f_back
        depth += 1
    return depth
