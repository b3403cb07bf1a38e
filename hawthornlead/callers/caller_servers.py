"""The HTTP server for callers, with limits on connections and bodies.

Tornado answers a body that is too large with a bare 400, and makes excess connections
wait. This server refuses both in the usual form of refusals, which tells the caller
that nothing ran and when to retry::

    server = CallerServer(application, settings=settings, account=account)
    server.add_sockets(sockets)
"""

import asyncio
import json
import socket

from tornado import httputil
from tornado.iostream import SSLIOStream, StreamClosedError

from ..errors import ErrorKind, Failure
from ..resources.accounts import Account, Holding
from ..resources.servers import AccountedServer
from .sinks import failure_fields

RETRY_AFTER_S = 1.0
# A refused connection stays open for at most this long, until its caller has read
# the answer. Closing it with unread input resets it, which may lose the answer.
LINGER_S = 1.0
MAX_LINGERING = 64
UNLIMITED = 1 << 60


class CallerServer(AccountedServer):
    """An HTTP server with limits on connections, heads and bodies."""

    def initialize(self, application, *, settings, account: Account, ssl_options=None):
        """Set the limits; a head or body must arrive within ``CALLER_SILENT_S``."""
        super().initialize(
            application,
            account=account,
            ssl_options=ssl_options,
            idle_connection_timeout=settings["CALLER_SILENT_S"],
            body_timeout=settings["CALLER_SILENT_S"],
        )
        self._max_connections = settings["MAX_CONNECTIONS"]
        self._max_bytes = settings["MAX_BODY_BYTES"]
        self._lingering: set[asyncio.Task] = set()
        self._reading: dict[object, _BodyGuard] = {}

    @property
    def open_connections(self) -> int:
        """How many connections are being served."""
        return len(self._connections)

    def handle_stream(self, stream, address):
        """Serve a new connection, or refuse it at once if there are too many."""
        if len(self._connections) < self._max_connections:
            super().handle_stream(stream, address)
            return
        # A TLS handshake would cost more than the refusal saves.
        encrypted = isinstance(stream, SSLIOStream)
        if encrypted or len(self._lingering) >= MAX_LINGERING:
            stream.close()
            stream.holding.end()
            return
        task = asyncio.ensure_future(self._refuse_connection(stream))
        self._lingering.add(task)
        task.add_done_callback(self._lingering.discard)

    def start_request(self, server_conn, request_conn):
        """Limit the size of one request's body."""
        # The guard counts the bytes itself, to refuse with a detailed answer.
        request_conn.set_max_body_size(UNLIMITED)
        inner = super().start_request(server_conn, request_conn)
        self._end_request(server_conn)
        guard = _BodyGuard(inner, request_conn, self._max_bytes)
        self._reading[server_conn] = guard
        return guard

    def on_close(self, server_conn) -> None:
        """Release what was held of the last request."""
        self._end_request(server_conn)
        super().on_close(server_conn)

    def _end_request(self, server_conn) -> None:
        former = self._reading.pop(server_conn, None)
        if former is not None:
            former.release()

    async def _refuse_connection(self, stream) -> None:
        detail = f"{self._max_connections} connections are open on this VM"
        failure = Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
        headers, body = _refusal_response(failure)
        lines = [f"HTTP/1.1 {failure.answer.status} Overloaded"]
        lines += [f"{name}: {value}" for name, value in headers.get_all()]
        try:
            await stream.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            stream.socket.shutdown(socket.SHUT_WR)
            await asyncio.wait_for(_discard_input(stream), LINGER_S)
        except (OSError, StreamClosedError, TimeoutError):
            pass
        finally:
            stream.close()
            stream.holding.end()


class _BodyGuard(httputil.HTTPMessageDelegate):
    """Forwards a request until its body is too large, then refuses it.

    So it does when there is no room for the body. Later input is read and discarded
    until the time limit for a body. What was read is held until ``release``.
    """

    def __init__(self, inner, connection, max_bytes: int):
        self._inner = inner
        self._connection = connection
        self._max_bytes = max_bytes
        self._holding: Holding = connection.stream.holding
        self._received = self._held = 0
        self._refused = self._works = False

    def headers_received(self, start_line, headers):
        self._holding.begin_request()
        content_length = headers.get("Content-Length", "0")
        if (
            content_length.isascii()
            and content_length.isdigit()
            and int(content_length) > self._max_bytes
        ):
            self._refuse(self._too_large())
            return None
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk):
        self._received += len(chunk)
        if self._refused:
            return None
        if self._received > self._max_bytes:
            self._abandon(self._too_large())
            return None
        if not self._holding.reserve(len(chunk)):
            detail = "this VM has no memory left for the request"
            self._abandon(Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S))
            return None
        self._held += len(chunk)
        return self._inner.data_received(chunk)

    def finish(self):
        if self._refused:
            return
        self._works = True
        self._holding.begin_work()
        self._inner.finish()

    def on_connection_close(self):
        if not self._refused:
            self._inner.on_connection_close()

    def release(self) -> None:
        """Release what was read, once the request is answered or gone."""
        self._holding.release(self._held)
        self._held = 0
        if self._works:
            self._works = False
            self._holding.end_work()

    def _too_large(self) -> Failure:
        return Failure(ErrorKind.TOO_LARGE, f"the body is over {self._max_bytes} bytes")

    def _abandon(self, failure: Failure) -> None:
        self._inner.on_connection_close()
        self.release()
        self._refuse(failure)

    def _refuse(self, failure: Failure) -> None:
        self._refused = True
        headers, body = _refusal_response(failure)
        start = httputil.ResponseStartLine("HTTP/1.1", failure.answer.status, "Refused")
        self._connection.write_headers(start, headers, body)
        self._connection.finish()


async def _discard_input(stream) -> None:
    while True:
        await stream.read_bytes(65536, partial=True)


def _refusal_response(failure: Failure) -> tuple[httputil.HTTPHeaders, bytes]:
    body = json.dumps(failure_fields(failure, "")).encode()
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    headers["Content-Length"] = str(len(body))
    headers["Connection"] = "close"
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return headers, body
