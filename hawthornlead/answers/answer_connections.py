"""Connections on which an answer is read, and of which nothing stays behind.

A target in trouble may send an endless body, which is given up at its limit, and then
another one. What was read must go with the exchange, and not wait for a collection of
reference cycles::

    connection = AnswerConnection(stream, True, params)
    open_still = await connection.read_response(delegate)
"""

import traceback

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import StreamClosedError


class AnswerConnection(HTTP1Connection):
    """Tornado's connection, which ends a reading without an error."""

    async def read_response(self, delegate: HTTPMessageDelegate) -> bool:
        """Read one answer; return whether the connection is open after it.

        If it broke, the ``delegate`` is told that it has closed.
        """
        stream = self.stream
        try:
            return await super().read_response(delegate)
        except StreamClosedError as error:
            # The frames of the reading hold the body, and some of them themselves.
            traceback.clear_frames(error.__traceback__)
            delegate.on_connection_close()
            return False
        finally:
            if stream.error is not None:
                # The stream keeps its error, which would keep the same frames.
                stream.error.__traceback__ = None
