"""Configures logs: loguru to standard error, as text or as JSON lines.

This is the only module that imports ``logging``. Tornado and websockets log through the
standard library, and without this module's handler their lines would bypass the chosen
level and format. All other modules import ``logger`` from loguru::

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
# The budget saves up the lines of this time, since an incident begins with many.
BUDGET_BURST_S = 5.0
# With less than this share of the budget left, lines of ordinary successes are sampled.
ORDINARY_SHARE = 0.25
SAMPLED = 16
# REQUEST_PLACED and REQUEST_SERVED, ORDER_GIVEN and ADAPTER_READY.
ORDINARY_EVENTS = frozenset((607, 608, 522, 523))
# The module that lines of events name as their origin.
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
    """How many lines of one kind were written and left out in one time window."""

    def __init__(self, started_at: float):
        self.started_at = started_at
        self.written = 0
        self.left_out = 0


class RepeatLimiter:
    """A loguru filter that writes only the first lines of each kind in a window.

    It guards against a target or peer that fails for every request: a line per request
    costs more processor time than the requests and hides all other lines. Lines are
    of one kind if they come from the same place in the code with the same event number
    and subject. At most ``lines`` of them are written per ``window_s`` seconds; the
    first line after that tells how many were left out. Memory is bounded because only
    the ``REPEAT_KEYS`` newest kinds are remembered. CRITICAL lines are always written.
    The event ring still keeps every event.
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
        """Return whether the line is to be written."""
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
        """Return the current window of ``key``, and how many the last left out."""
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
    """Forwards the lines of libraries that use ``logging`` to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one line of a library with its own place in the code and its level."""
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
    """A loguru filter that limits the rate of all lines of a process.

    It guards against floods of requests or failures, in which lines cost more processor
    time than the requests. Lines of ordinary successes are reduced first. Once only a
    quarter of the budget is left, one in ``SAMPLED`` requests keeps its lines. It is
    chosen by a hash of the request's id, so that its lines are complete on every VM.
    All other lines are dropped only when nothing is left. The next line that is written
    tells how many were dropped.
    """

    def __init__(self, timers: TimerService, lines_per_s: float):
        self._timers = timers
        self._rate = lines_per_s
        self._max_left = lines_per_s * BUDGET_BURST_S
        self._left = self._max_left
        self._at = timers.now()
        self._dropped = 0

    def __call__(self, record: dict[str, Any]) -> bool:
        """Return whether the line is to be written."""
        extra = record["extra"]
        extra["left_out"] = ""
        event, subject = extra.get("event"), extra.get("subject", "")
        if not self.acquire(record["level"].name, event, subject):
            return False
        extra["left_out"] = self.left_out()
        return True

    def acquire(self, level: str, event: int | None, subject: str) -> bool:
        """Spend one line of the budget; return False if the line must be dropped."""
        now = self._timers.now()
        self._left = min(self._max_left, self._left + self._rate * (now - self._at))
        self._at = now
        if level != "CRITICAL" and not self._is_affordable(event, subject):
            self._dropped += 1
            return False
        self._left -= 1
        return True

    def left_out(self) -> str:
        """Return a note on the lines dropped since the last call, or an empty text."""
        dropped, self._dropped = self._dropped, 0
        return f" ({dropped} lines left out)" if dropped else ""

    def _is_affordable(self, event: int | None, subject: str) -> bool:
        if self._left < 1:
            return False
        if event not in ORDINARY_EVENTS:
            return True
        if self._left > self._max_left * ORDINARY_SHARE:
            return True
        return zlib.crc32(subject.encode()) % SAMPLED == 0


class EventWriter:
    """Writes events as JSON lines within a budget, without loguru.

    A loguru record takes several times as long to create as the line itself. The lines
    are the same as those of ``json_line``.
    """

    def __init__(self, budget: LineBudget, stream: "TextIO | UnblockedStream", level):
        self._budget = budget
        self._stream = stream
        self._min_level = logger.level(level).no
        self._numbers: dict[str, int] = {}

    def __call__(self, line: EventLine) -> None:
        """Write one event, or drop it."""
        kind = line.kind
        number = self._numbers.get(kind.level)
        if number is None:
            number = self._numbers[kind.level] = logger.level(kind.level).no
        if number < self._min_level:
            return
        if not self._budget.acquire(kind.level, kind.number, line.subject):
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
    """Writes whole lines to a descriptor without blocking, and drops the excess.

    It guards against a log reader that stops reading: the pipe fills up, and a blocking
    write would stop the process with all its requests.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._dropped = 0
        self._unlogged = 0
        self._remainder = b""
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """The number of lines dropped since the start."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write one line, or drop it; the next line reports how many were dropped."""
        if not self._write_remainder():
            self._drop()
            return
        if self._unlogged:
            notice = (
                f'{{"level": "WARNING", "message": "{self._unlogged} lines dropped"}}\n'
            )
            self._remainder = notice.encode()
            self._unlogged = 0
        self._remainder += line.encode(errors="backslashreplace")
        self._write_remainder()

    def _drop(self) -> None:
        self._dropped += 1
        self._unlogged += 1

    def _write_remainder(self) -> bool:
        """Write the bytes left from before; return False if some are still left.

        A pipe that is almost full accepts only a part of a line. If the remainder were
        dropped, the next line would continue in the middle of this one, and neither
        would be readable.
        """
        if not self._remainder:
            return True
        try:
            written = os.write(self._descriptor, self._remainder)
        except BlockingIOError:
            return False
        self._remainder = self._remainder[written:]
        return not self._remainder


def configure_logs(
    settings: dict[str, Any],
    timers: TimerService,
    stream: TextIO | UnblockedStream | None = None,
) -> EventWriter | None:
    """Write logs to standard error according to the settings of ``[logs]``.

    ``stream`` replaces standard error. A later call replaces the configuration of an
    earlier one. ``LOG_LINES_PER_S`` limits all lines; without it, repeated lines are
    left out. Returns a writer that can replace loguru for events, if the format is JSON
    and the rate is limited, else None.
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
    """Suppress libraries' log lines in the terminal of a command.

    The command reports its failure itself. Without any handler the standard library
    would also print Tornado's line.
    """
    logging.basicConfig(handlers=[logging.NullHandler()], force=True)


def json_line(record: dict[str, Any]) -> str:
    """Return one log record as a line of JSON, newline included.

    ``event`` and ``subject`` are null for a line that is not a numbered event.
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
    """Whether a record reports a closed connection.

    Tornado logs the end of a cancelled request as an error with a traceback. Watches
    are cancelled when they go silent and when the process stops, so a closed connection
    of a cancelled request is not a fault.
    """
    return bool(record.exc_info) and isinstance(
        record.exc_info[1], HTTPStreamClosedError | StreamClosedError
    )


def _depth_of_caller() -> int:
    """Count the frames between ``LibraryHandler.emit`` and the library's call."""
    frame, depth = inspect.currentframe().f_back, 0
    while frame and (depth == 0 or frame.f_code.co_filename == logging.__file__):
        frame = frame.f_back
        depth += 1
    return depth
