"""Fake connections to targets that give the answer a test sets."""

from result import Err, Ok
from tornado.httputil import HTTPHeaders

from hawthornlead.engines.exchanges import ResponseHead
from hawthornlead.errors import ErrorKind, Failure


class FakeExchange:
    """One exchange: records what was sent and returns an answer in chunks."""

    def __init__(self, connections):
        self._connections = connections
        self.head = None
        self.closed = False

    async def send(self, method, path, headers, body, on_data, head_timeout_s):
        """Record the request and pass the answer to ``on_data``."""
        self._connections.sent.append(path)
        status, chunks = self._connections.answer
        self.head = ResponseHead(status, HTTPHeaders({"Content-Type": "text/plain"}))
        for chunk in chunks:
            if not self.closed:
                on_data(chunk)
        return Ok(self.head)

    async def read_to_end(self, silence_timeout_s):
        """End the answer."""
        if self.closed:
            return Err(Failure(ErrorKind.TARGET_LOST, "closed within its answer"))
        return Ok(None)

    def release(self, named):
        """Release the connection."""

    def close(self):
        """Close the connection."""
        self.closed = True


class FakeConnections:
    """Opens exchanges, each after ``open_s`` seconds."""

    def __init__(self, timers, status=200, chunks=(b"filed",)):
        self._timers = timers
        self.answer = (status, chunks)
        self.sent = []
        self.open_s = 0.0

    async def open(self, address, naming, fresh=False):
        """Open an exchange."""
        if self.open_s:
            await self._timers.sleep(self.open_s)
        return Ok(FakeExchange(self))
