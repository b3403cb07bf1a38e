"""The store objects that say at which versions streams may have begun, one for each VM.

A VM forwards no event of a stream that may be resumed before its object names the
route, service and software version. So a version that no object names began no stream,
and if the objects name one version alone, a stream of that route began there. Where
they name several, the streams' ids are in the objects::

    record = read_origin_record(stored)
    origin = prove_origin(records, vms, era, "office.example", "/resume/x", "9c41")
"""

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

from ..gateway.records import StoredRecord
from .origin_tables import StreamOrigin

ORIGINS_KIND = "hawthornlead-origins"


class RouteKey(NamedTuple):
    """The part of a request that selects its route."""

    host: str
    prefix: str

    def matches(self, host: str, path: str) -> bool:
        """Whether the route may have served a request, by any configuration."""
        return self.host == host and path.startswith(self.prefix)


class RouteHistory(NamedTuple):
    """Where streams of a route may have begun at one VM, of late.

    Unless it is ``complete``, there may be others, of which the VM itself doesn't know.
    """

    complete: bool
    began: frozenset[StreamOrigin]

    @property
    def certain(self) -> bool:
        """Whether a stream of the route began where all of them did."""
        return self.complete and len(self.began) == 1


class OriginRecord(NamedTuple):
    """What one VM states, in an era of the store.

    ``streams`` has the origins of single streams, by the id of their first request.
    """

    vm: str
    era: int
    routes: Mapping[RouteKey, RouteHistory]
    streams: Mapping[str, StreamOrigin]


def origin_spec(record: OriginRecord) -> dict[str, Any]:
    """Encode what a VM states as the content of its object."""
    routes = [
        [*key, history.complete, sorted(history.began)]
        for key, history in sorted(record.routes.items())
    ]
    grouped: dict[StreamOrigin, list[str]] = {}
    for request, origin in record.streams.items():
        grouped.setdefault(origin, []).append(request)
    streams = [[*origin, requests] for origin, requests in sorted(grouped.items())]
    return {"vm": record.vm, "era": record.era, "routes": routes, "streams": streams}


def read_origin_record(stored: StoredRecord) -> OriginRecord:
    """Decode a VM's object; raises ``ValueError`` if it isn't readable."""
    try:
        spec = stored.spec
        routes = {}
        for host, prefix, complete, began in spec["routes"]:
            origins = frozenset([_origin(*each) for each in began])
            routes[RouteKey(_text(host), _text(prefix))] = RouteHistory(
                complete is True, origins
            )
        streams = {}
        for service, software, requests in spec["streams"]:
            origin = _origin(service, software)
            streams.update({_text(request): origin for request in requests})
        era = spec["era"]
        if not isinstance(era, int) or isinstance(era, bool):
            raise ValueError("era is no whole number")
        return OriginRecord(stored.name, era, routes, streams)
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid record of origins: {error!r}") from error


def prove_origin(
    records: Mapping[str, OriginRecord],
    vms: Collection[str],
    era: int,
    host: str,
    path: str,
) -> StreamOrigin | None:
    """Return where each stream of a request's route began, None without a proof.

    ``vms`` are those that serve: one without a record is of a build that keeps none. A
    record of another era than the listing's may lack what the store has lost.
    """
    if any(vm not in records for vm in vms):
        return None
    began: set[StreamOrigin] = set()
    for record in records.values():
        if record.era != era:
            return None
        for key, history in record.routes.items():
            if not key.matches(host, path):
                continue
            if not history.complete:
                return None
            began |= history.began
    if len(began) != 1:
        return None
    (origin,) = began
    return origin if origin.software else None


def find_stream(
    records: Mapping[str, OriginRecord], request: str
) -> StreamOrigin | None:
    """Return where a stream began by its id, None if no record has it.

    An id of several origins is of none of them: its ``software`` is empty.
    """
    found = {
        record.streams[request]
        for record in records.values()
        if request in record.streams
    }
    if not found:
        return None
    first = found.pop()
    return first._replace(software="") if found else first


def _origin(service: Any, software: Any) -> StreamOrigin:
    return StreamOrigin(_text(service), _text(software))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value
