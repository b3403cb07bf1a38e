"""An HTTP client whose calls fail as soon as their connection breaks.

Tornado's own client waits for the time-out of the call after a reset inside a body.
Apart from that this is Tornado's client::

    client = WholeAnswerClient(force_instance=True, max_clients=64)
    response = await client.fetch(request, raise_error=False)
"""

from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    SimpleAsyncHTTPClient,
    _HTTPConnection,
)


class _WholeAnswerCall(_HTTPConnection):
    """One call; it fails at once if its connection ends before the answer."""

    def on_connection_close(self) -> None:
        # The parent raises the stream's error here, which only the log gets.
        if self.final_callback is None:
            return
        error = self.stream.error or HTTPStreamClosedError("Connection closed")
        self._handle_exception(type(error), error, error.__traceback__)


class WholeAnswerClient(SimpleAsyncHTTPClient):
    """Tornado's client; a call whose connection breaks fails with ``OSError``."""

    def _connection_class(self) -> type:
        return _WholeAnswerCall
