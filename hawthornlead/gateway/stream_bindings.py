"""The software version that a stream is bound to.

What two software versions of a service write doesn't fit together, and targets don't
check which of them a stream goes on from::

    binding = StreamBinding(targets, origins, records, call, request)
    found = await binding.find_origin(route)
    binding.accept(entry, exchange.writer, origin)  # before the first event
    binding.software
"""

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..provenance.origin_records import RouteKey
from ..provenance.origin_tables import StreamOrigin
from ..provenance.recorded_origins import RecordedOrigins
from .caller_calls import CallerCall
from .records import CallerRequest, Incarnation, Route, TargetEntry
from .stream_origins import StreamOrigins
from .target_tables import TargetTable

# What a target runs may be unknown for a moment after its restart. No target runs this
# version, so a stream that is bound to it goes on nowhere.
UNKNOWN_SOFTWARE = ""
# When a caller may ask another VM, which may know what this one can't find out.
UNKNOWN_RETRY_S = 0.3


class StreamBinding:
    """The version of the target that wrote the first event of a request's stream.

    ``origin`` is None while the stream may begin anywhere.
    """

    def __init__(
        self,
        targets: TargetTable,
        origins: StreamOrigins,
        records: RecordedOrigins,
        call: CallerCall,
        request: CallerRequest,
        origin: StreamOrigin | None = None,
    ):
        self._targets = targets
        self._origins = origins
        self._records = records
        self._call = call
        self._request = request
        self._key: RouteKey | None = None
        self._until = 0.0
        self._resumable = False
        self.origin = origin

    @property
    def software(self) -> str | None:
        """The version that the stream is bound to, None if it may begin at any."""
        return None if self.origin is None else self.origin.software

    @property
    def can_resume(self) -> bool:
        """Whether the stream may go on at a target of some known version."""
        return bool(self.software)

    async def find_origin(self, route: Route) -> Result[None, Failure]:
        """Bind the stream to the version that began it, if its caller resumes it."""
        request = self._request
        self._resumable = route.resumable
        self._key = RouteKey(route.host, route.prefix)
        # Until the caller's deadline it may resume the stream again.
        waits_ms = request.deadline_ms or route.timeout_ms
        self._until = self._call.arrived_at + waits_ms / 1000
        resumed = bool(request.resumes or request.last_event)
        if not resumed or self.origin is not None:
            return Ok(None)
        self.origin = await self._origins.find(request.resumes, self._look_up)
        if not self.can_resume:
            detail = "it isn't known at which software version the stream began"
            return Err(Failure(ErrorKind.NO_TARGET, detail, UNKNOWN_RETRY_S))
        return Ok(None)

    def accept(
        self,
        entry: TargetEntry,
        writer: Incarnation | None,
        recorded: StreamOrigin | None,
    ) -> bool:
        """Whether a target's events may be forwarded; the first ones bind the stream.

        ``entry`` is that by which the request was sent, and ``writer`` the start of the
        target that is proved to write the events. The target may have restarted with
        other software, before the request was sent or since. ``recorded`` is where it
        is recorded that the stream may begin, None if it can't be resumed.
        """
        software = self._software_of(entry, writer)
        origin = StreamOrigin(entry.service, software)
        if recorded is not None and origin != recorded:
            return False
        if self.origin is None:
            self.origin = origin
        elif software == UNKNOWN_SOFTWARE or software != self.software:
            return False
        if self._resumable:
            # The id by which the caller will name the stream if it breaks off again.
            request = self._request.resumes or self._request.request_id
            self._origins.record(request, self.origin)
            self._records.ledger.add_stream(
                request, self._key, self.origin, self._until
            )
        return True

    async def _look_up(self) -> StreamOrigin | None:
        host = self._call.headers.get("Host", "")
        return await self._records.lookups.find(
            host, self._call.path, self._request.resumes
        )

    def _software_of(self, entry: TargetEntry, writer: Incarnation | None) -> str:
        """Return the version that wrote the events, unknown without a proof of it."""
        states_start = self._targets.states_start(entry.target)
        if states_start and writer != entry.incarnation:
            return UNKNOWN_SOFTWARE
        known = self._targets.entries.get(entry.target)
        if known is None:
            # Its entry was removed, which doesn't end its runs.
            return entry.software
        if not known.incarnation.matches(entry.incarnation):
            return UNKNOWN_SOFTWARE
        return known.software
