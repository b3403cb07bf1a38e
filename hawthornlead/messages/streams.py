"""Messages about the streams that callers may resume at another VM."""

from typing import NamedTuple

from .base import message


class BegunStreams(NamedTuple):
    """Streams that began at one software version of a service, by request id."""

    service: str
    software: str
    requests: tuple[str, ...]


@message("streams-begun")
class StreamsBegun(NamedTuple):
    """Streams that the sender knows to have begun, and at which versions."""

    streams: tuple[BegunStreams, ...]


@message("find-streams")
class FindStreams(NamedTuple):
    """Request what the receiver knows of streams that the sender's callers resume.

    The reply is a ``StreamsBegun`` without those that it doesn't know.
    """

    requests: tuple[str, ...]
