"""A bounded table of where streams began.

::

    table = OriginTable(limit=1000)
    table.add("9c41", StreamOrigin("llm", "v1"), now=10.0)
    table.get("9c41", now=12.0)
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..messages.streams import BegunStreams

# A caller resumes a stream within the deadline of its first request, which is shorter.
ORIGIN_TTL_S = 60.0


class StreamOrigin(NamedTuple):
    """The service at which a stream began, and the software version there.

    An empty ``software`` is an unknown version, at which no stream goes on.
    """

    service: str
    software: str


class _Kept(NamedTuple):
    origin: StreamOrigin
    at: float


class OriginTable:
    """The origins of the ``limit`` newest streams, by the id of their first request."""

    def __init__(self, limit: int):
        self._limit = limit
        self._kept: dict[str, _Kept] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def add(self, request: str, origin: StreamOrigin, now: float) -> None:
        """Add the origin of a stream, or keep a known one for longer.

        If the known one differs, a caller used one id twice and neither is certain.
        """
        known = self._kept.pop(request, None)
        if known is not None and known.origin != origin:
            origin = origin._replace(software="")
        self._kept[request] = _Kept(origin, now)
        self._evict(now)

    def get(self, request: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it isn't known."""
        kept = self._kept.get(request)
        if kept is None or now - kept.at > ORIGIN_TTL_S:
            return None
        return kept.origin

    def known(self, now: float) -> Iterator[tuple[str, StreamOrigin]]:
        """Return all streams and their origins."""
        self._evict(now)
        for request, kept in self._kept.items():
            yield request, kept.origin

    def _evict(self, now: float) -> None:
        while self._kept:
            oldest = next(iter(self._kept))
            expired = now - self._kept[oldest].at > ORIGIN_TTL_S
            if not expired and len(self._kept) <= self._limit:
                return
            del self._kept[oldest]


def group_streams(
    origins: Iterable[tuple[str, StreamOrigin]],
) -> tuple[BegunStreams, ...]:
    """Return streams grouped by their origin, as they are sent."""
    grouped: dict[StreamOrigin, list[str]] = {}
    for request, origin in origins:
        grouped.setdefault(origin, []).append(request)
    return tuple(
        [BegunStreams(*origin, tuple(requests)) for origin, requests in grouped.items()]
    )
