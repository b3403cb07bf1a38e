"""One connection between two VMs: its handshake, its send queue, its end."""

import asyncio
import hashlib
import hmac
import secrets
from collections import deque
from collections.abc import Container
from typing import Any

from loguru import logger
from result import Err, Ok, Result
from websockets.exceptions import ConnectionClosed

from ..clocks import HybridClock
from ..errors import ErrorKind, Failure
from ..messages import Challenge, Hello, Proof
from .accounted_connections import AccountedConnection
from .codecs import NAMES, Frame, decode, encode

# A connection is dropped when its send queue exceeds this many messages of the largest
# size.
MAX_QUEUED_MESSAGES = 4
NONCE_BYTES = 32
# The debug level as the standard library numbers it.
DEBUG_LEVEL = 10


class QuietLogger:
    """Lowers the log level of the websockets library, which logs every probe."""

    def isEnabledFor(self, level: int) -> bool:  # noqa: N802
        """Suppress debug lines, since there is one for each frame."""
        return level > DEBUG_LEVEL

    def log(self, level: int, text: str, *args: Any, **options: Any) -> None:
        """Log a line at the lowest level."""
        logger.trace(text.replace("%s", "{}").replace("%d", "{}"), *args)

    def debug(self, text: str, *args: Any, **options: Any) -> None:
        """Log a line at the lowest level."""
        self.log(0, text, *args)

    info = warning = error = debug


class Connection:
    """One connection, dialled by either end.

    ``last_seen_at`` and ``opened_at`` are seconds of the ``TimerService``; ``reason``
    says why this end closed it.
    """

    def __init__(self, ws, *, settings, metrics, now: float, dialled: bool):
        self._ws = ws
        self._metrics = metrics
        self._limit = settings["MAX_MESSAGE_BYTES"]
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._woken = asyncio.Event()
        self.dialled = dialled
        self.opened_at = now
        self.last_seen_at = now
        self.reason = ""
        self.hello: Hello | None = None

    @property
    def queued_bytes(self) -> int:
        """The number of bytes that wait to be sent."""
        return self._queued_bytes

    def send(self, data: bytes, message: Any) -> bool:
        """Queue an encoded frame; False when the connection is being closed."""
        if self.reason:
            return False
        if self._queued_bytes + len(data) > MAX_QUEUED_MESSAGES * self._limit:
            # A peer that reads too slowly, or a silent network path, would fill this
            # VM's memory with unsent frames. Dropping the connection bounds that; the
            # peer is dialled again and requests what it missed.
            self.abort("slow")
            return False
        self._count("out", data, message)
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._woken.set()
        return True

    async def write(self) -> None:
        """Write queued frames until cancelled or until the connection ends."""
        while True:
            await self._woken.wait()
            self._woken.clear()
            while self._queue:
                data = self._queue.popleft()
                try:
                    await self._ws.send(data)
                except ConnectionClosed:
                    return
                self._queued_bytes -= len(data)

    async def receive(self) -> Result[Frame, Failure]:
        """Wait for a frame; raises ``ConnectionClosed`` when there will be none."""
        data = await self._ws.recv()
        if not isinstance(data, bytes):
            return Err(Failure(ErrorKind.BAD_MESSAGE, "a text frame"))
        outcome = decode(data, self._limit)
        if outcome.is_ok():
            self._count("in", data, outcome.unwrap().message)
        return outcome

    async def shake_hands(
        self, own: Hello, secret: str, clock: HybridClock
    ) -> Result[Hello, Failure]:
        """Exchange ``Hello``, and with a secret a challenge and its proof, both ways.

        A proof names who proves to whom, so that it can't be reflected to its
        sender or passed on to a third VM.
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        await self._put(own, clock)
        if secret:
            await self._put(Challenge(nonce), clock)
        hello = (await self._expect(Hello)).and_then(_check_version)
        if not secret or hello.is_err():
            return hello
        other = hello.unwrap()
        challenge = await self._expect(Challenge)
        if challenge.is_err():
            return challenge
        mac = _prove(secret, challenge.unwrap().nonce, own, other)
        await self._put(Proof(mac), clock)
        proof = await self._expect(Proof)
        if proof.is_err():
            return proof
        if not hmac.compare_digest(
            proof.unwrap().mac, _prove(secret, nonce, other, own)
        ):
            return Err(Failure(ErrorKind.UNAUTHENTICATED, "the secret is another"))
        return hello

    def abort(self, reason: str) -> None:
        """Close without waiting for the other end, which may be silent."""
        self.reason = self.reason or reason
        self._ws.transport.abort()

    def admit(self, hello: Hello) -> None:
        """Note that the other end is the VM that this hello is of."""
        self.hello = hello
        if isinstance(self._ws, AccountedConnection):
            self._ws.admit()

    async def close(self) -> None:
        """Close gracefully, so that no frame in flight is lost."""
        self.reason = self.reason or "closed"
        await self._ws.close()

    async def _put(self, message: Any, clock: HybridClock) -> None:
        data = encode(Frame(0, 0, clock.tick(), message), self._limit).unwrap()
        self._count("out", data, message)
        await self._ws.send(data)

    async def _expect(self, message_type: type) -> Result[Any, Failure]:
        outcome = await self.receive()
        if outcome.is_err():
            return outcome
        message = outcome.unwrap().message
        if not isinstance(message, message_type):
            detail = f"{NAMES[type(message)]} where {NAMES[message_type]} was due"
            return Err(Failure(ErrorKind.BAD_MESSAGE, detail))
        return Ok(message)

    def _count(self, direction: str, data: bytes, message: Any) -> None:
        name = NAMES[type(message)]
        messages, sent_bytes = self._metrics.of_peers(direction, name)
        messages.inc()
        sent_bytes.inc(len(data))


def checked_hello(
    hello: Hello, own: str, expected: str, ended: Container[tuple[str, str]]
) -> Result[Hello, Failure]:
    """Return the other end's hello if the connection is acceptable.

    ``own`` is this VM, ``expected`` the one that was dialled, empty if none was, and
    ``ended`` holds the processes that are known to have ended.
    """
    fault = ""
    if hello.vm == own:
        fault = "it has this VM's name"
    elif expected and hello.vm != expected:
        fault = f"{hello.vm} answered for {expected}"
    elif (hello.vm, hello.incarnation) in ended:
        fault = f"incarnation {hello.incarnation} of {hello.vm} has ended"
    if fault:
        return Err(Failure(ErrorKind.BAD_MESSAGE, fault))
    return Ok(hello)


def _check_version(hello: Hello) -> Result[Hello, Failure]:
    if hello.version < 1:
        return Err(Failure(ErrorKind.BAD_MESSAGE, f"version {hello.version}"))
    return Ok(hello)


def _prove(secret: str, nonce: bytes, prover: Hello, verifier: Hello) -> bytes:
    mac = hmac.new(secret.encode(), nonce, hashlib.sha256)
    for hello in (prover, verifier):
        for text in (hello.vm, hello.incarnation):
            mac.update(len(text.encode()).to_bytes(4, "big") + text.encode())
    return mac.digest()
