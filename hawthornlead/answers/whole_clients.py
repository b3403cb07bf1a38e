"""An HTTP client that returns an answer only if it is whole.

Tornado's own client takes an answer without a length for complete when its connection
is reset, and after a reset inside any other body it waits for the time-out of the
call. Apart from that this is Tornado's client::

    client = WholeAnswerClient(force_instance=True, max_clients=64)
    response = await client.fetch(request, raise_error=False)
"""

from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    SimpleAsyncHTTPClient,
    _HTTPConnection,
)

from .framing import is_framed


class _WholeAnswerCall(_HTTPConnection):
    """One call; it fails at once if its connection ends before the answer."""

    def on_connection_close(self) -> None:
        # The parent raises the stream's error here, which only the log gets.
        if self.final_callback is None:
            return
        error = self.stream.error or HTTPStreamClosedError("Connection closed")
        self._handle_exception(type(error), error, error.__traceback__)

    def finish(self) -> None:
        framed = is_framed(self.code, self.headers, self.request.method)
        if self.stream.error is not None and not framed:
            self.on_connection_close()
            return
        super().finish()


class WholeAnswerClient(SimpleAsyncHTTPClient):
    """Tornado's client; a call whose connection breaks fails with ``OSError``."""

    def _connection_class(self) -> type:
        return _WholeAnswerCall
