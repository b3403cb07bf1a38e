"""An HTTP client that returns an answer only if it is one, and whole.

Tornado's own client takes an answer without a length for complete when its connection
is reset, and after a reset inside any other body it waits for the time-out of the
call. Apart from that this is Tornado's client::

    client = WholeAnswerClient(force_instance=True, max_clients=64)
    response = await client.fetch(request, raise_error=False)
"""

from collections.abc import Awaitable

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    SimpleAsyncHTTPClient,
    _HTTPConnection,
)

from .answer_connections import AnswerConnection
from .framing import is_framed
from .heads import find_fault

# What a client holds of all answers that are coming, where each alone may be as long as
# its limit. Lists of a store have about a megabyte.
MAX_HELD_BYTES = 1 << 25


class _WholeAnswerCall(_HTTPConnection):
    """One call; it fails at once if its connection ends before the answer."""

    async def headers_received(self, first_line, headers) -> None:
        fault = find_fault(first_line, headers)
        if fault is not None:
            self._fail(HTTPStreamClosedError(fault.detail))
            return
        await super().headers_received(first_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.final_callback is None:
            return None
        taken = super().data_received(chunk)
        self.client.bound(self)
        return taken

    def give_way(self, limit: int) -> None:
        """Fail, as the answers of all calls have over ``limit`` bytes."""
        self._fail(HTTPStreamClosedError(f"answers of over {limit} bytes at once"))

    def on_connection_close(self) -> None:
        # The parent raises the stream's error here, which only the log gets.
        if self.final_callback is None:
            return
        error = self.stream.error or "Connection closed"
        if not isinstance(error, OSError):
            # A head over the limit, for one.
            error = HTTPStreamClosedError(str(error))
        self._fail(error)

    def finish(self) -> None:
        if self.final_callback is None:
            return
        framed = is_framed(self.code, self.headers, self.request.method)
        if self.stream.error is not None and not framed:
            self.on_connection_close()
            return
        super().finish()

    def _create_connection(self, stream) -> AnswerConnection:
        stream.set_nodelay(True)
        params = HTTP1ConnectionParameters(
            no_keep_alive=True,
            max_header_size=self.max_header_size,
            max_body_size=self.max_body_size,
            decompress=bool(self.request.decompress_response),
        )
        return AnswerConnection(stream, True, params)

    def _run_callback(self, response) -> None:
        self.client.release(self)
        self.chunks = bytearray()
        super()._run_callback(response)

    def _fail(self, error: Exception) -> None:
        self._handle_exception(type(error), error, error.__traceback__)


class WholeAnswerClient(SimpleAsyncHTTPClient):
    """Tornado's client; a call whose connection breaks fails with ``OSError``.

    If the answers that are coming have over ``max_held_bytes``, the call that holds
    most fails likewise.
    """

    def initialize(self, *, max_held_bytes: int = MAX_HELD_BYTES, **options) -> None:
        """Set the limits; the other options are those of Tornado's client."""
        super().initialize(**options)
        self._max_held_bytes = max_held_bytes
        self._holding: set[_WholeAnswerCall] = set()

    def bound(self, call: _WholeAnswerCall) -> None:
        """Count what a call holds, and keep the sum of all within the limit."""
        self._holding.add(call)
        if sum(len(each.chunks) for each in self._holding) > self._max_held_bytes:
            most = max(self._holding, key=lambda each: len(each.chunks))
            most.give_way(self._max_held_bytes)

    def release(self, call: _WholeAnswerCall) -> None:
        """Count no more what a call held, as it has ended."""
        self._holding.discard(call)

    def _connection_class(self) -> type:
        return _WholeAnswerCall
