"""Tests of which bytes an exchange with a target takes for the response."""

import asyncio
import itertools
from typing import NamedTuple

from result import Err
from tornado.httputil import HTTPHeaders

from hawthornlead.engines.exchanges import Exchange, TargetConnections
from hawthornlead.timers import TimerService

from .standins.scripted_target import ScriptedTarget, answer_bytes

OWN_BODY = b"the response to its own request"
OTHER_BODY = b"what another caller has asked for, " * 3
FRAMINGS = ("length", "chunks", "close")
# Far longer than any of these responses takes.
LONGEST_S = 20.0


class Got(NamedTuple):
    """What was taken for the response; ``status`` is 0 if nothing was.

    ``passed`` is what was passed on of the body, ``failure`` the text of the failure.
    """

    status: int
    passed: bytes
    failure: str = ""


def response(status: int, attempt_id: str, body: bytes, framing: str, place=0) -> bytes:
    """Return a response's bytes; it names no attempt if ``attempt_id`` is empty."""
    sent = answer_bytes(status, attempt_id, body, framing, place)
    return sent.replace(b"Request-Id:", b"Hawthornlead-Attempt:")


def head_length(sent: bytes) -> int:
    """Return the length of a response's head."""
    return sent.index(b"\r\n\r\n") + 4


async def ask(exchange: Exchange) -> Got:
    """Send a request on an exchange and read the response to its end."""
    passed = bytearray()
    sent = await exchange.send(
        "GET", "/x", HTTPHeaders(), b"", passed.extend, LONGEST_S
    )
    if isinstance(sent, Err):
        return Got(0, bytes(passed), sent.err_value.detail)
    ended = await exchange.read_to_end(LONGEST_S)
    if isinstance(ended, Err):
        return Got(0, bytes(passed), ended.err_value.detail)
    return Got(sent.ok_value.status, bytes(passed))


async def read_one(sent: bytes, *, closes: bool) -> Got:
    """Return what is taken for the response on a new connection."""
    connections = TargetConnections(timers=TimerService())
    async with ScriptedTarget([sent], closes=closes) as target:
        exchange = (await connections.open(target.address)).ok_value
        got = await ask(exchange)
        exchange.close()
        return got


async def read_joined(first: bytes, own: bytes, lengths: range) -> list[Got]:
    """Return what is taken where a part of a response is followed by another one."""
    closes = b"Content-Length" not in first and b"chunked" not in first
    return await asyncio.gather(
        *(read_one(first[:length] + own, closes=closes) for length in lengths)
    )


async def test_a_head_made_of_two_responses_is_none():
    """Guards against a failure that is read under the status of another response."""
    joints = 0
    for framing, place, attempt in itertools.product(FRAMINGS, (0, 1, 3), ("", "r.1")):
        first = response(200, attempt, OTHER_BODY, framing, place)
        lengths = range(1, head_length(first))
        for status in (200, 503):
            own = response(status, attempt, OWN_BODY, "length", place)
            for got in await read_joined(first, own, lengths):
                assert got.status == 0
                assert got.passed == b""
                joints += "another response" in got.failure
    assert joints
