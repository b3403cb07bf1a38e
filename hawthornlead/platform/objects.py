"""Calls of the platform's store: their paths, and the objects in their answers."""

import json
from typing import Any
from urllib.parse import quote, urlencode

from ..eras.dated_revisions import dated_revision, stored_revision
from ..eras.store_eras import UNNAMED_ERA
from ..gateway.records import (
    StoreChanges,
    StoredRecord,
    StoreEvent,
    StorePage,
    VmRecord,
)
from .fields import (
    address,
    boolean,
    decode,
    is_readable,
    items,
    mapping,
    text,
    whole_number,
)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"
VERSIONS_KIND = "versions"


def list_path(kind: str, after: str = "", stale: bool = False) -> str:
    """Return the path that lists the objects of a kind after the name ``after``.

    A ``stale`` listing may be seconds old, at a tenth of the cost.
    """
    query = {"after": after} if after else {}
    if stale:
        query["allowStale"] = "1"
    path = "/v1/objects/" + quote(kind, safe="")
    return f"{path}?{urlencode(query, quote_via=quote)}" if query else path


def watch_path(kind: str, revision: int, wait_s: float) -> str:
    """Return the path that waits up to ``wait_s`` for changes after a revision."""
    since = stored_revision(revision)
    return f"{list_path(kind)}?watch={since}&waitMs={int(wait_s * 1000)}"


def object_path(kind: str, name: str) -> str:
    """Return the path of one object."""
    return f"{list_path(kind)}/{quote(name, safe='')}"


def deleted_path(kind: str, name: str, revision: int) -> str:
    """Return the path that deletes an object if it is at a revision."""
    return f"{object_path(kind, name)}?revision={stored_revision(revision)}"


def stale_object_path(kind: str, name: str) -> str:
    """Return the path of one object, seconds old, at a tenth of the cost of a read."""
    return f"{object_path(kind, name)}?allowStale=1"


def object_body(name: str, spec: dict, revision: int | None) -> dict[str, Any]:
    """Return the body that creates an object, or replaces the one at ``revision``."""
    metadata: dict[str, Any] = {"name": name}
    if revision is not None:
        metadata["revision"] = stored_revision(revision)
    return {"metadata": metadata, "spec": spec}


def read_record(body: Any, era: int = UNNAMED_ERA) -> StoredRecord:
    """Decode one object from an answer of an era of the store.

    Raises ``ValueError`` if it has no name or revision.
    """
    body = mapping(body, "the object")
    metadata = mapping(body.get("metadata"), "metadata")
    name = text(metadata, "name")
    if not name:
        raise ValueError("name is empty")
    spec, status = body.get("spec"), body.get("status")
    return StoredRecord(
        name=name,
        revision=dated_revision(era, whole_number(metadata, "revision")),
        spec=_readable_content(spec),
        status=_readable_content(status),
        unreadable=_is_unreadable(spec) or (not spec and _is_unreadable(status)),
    )


def read_page(body: Any, era: int = UNNAMED_ERA) -> StorePage:
    """Decode one page of a listing; objects without a name are skipped and counted."""
    body = mapping(body, "the page")
    records = []
    skipped = 0
    for item in items(body, "items"):
        try:
            records.append(read_record(item, era))
        except ValueError:
            skipped += 1
    more = boolean(body, "hasMore", False)
    revision = dated_revision(era, whole_number(body, "asOf"))
    return StorePage(tuple(records), more, revision, skipped)


def read_changes(body: Any, era: int = UNNAMED_ERA) -> StoreChanges:
    """Decode the answer of a watch; objects without a name are skipped and counted."""
    body = mapping(body, "the watch's answer")
    events = []
    skipped = 0
    for item in items(body, "events", []):
        try:
            events.append(_event(item, era))
        except ValueError:
            skipped += 1
    revision = dated_revision(era, whole_number(body, "asOf"))
    return StoreChanges(tuple(events), revision, skipped)


def content_body(record: StoredRecord) -> str:
    """Encode an object's content for another VM, which reads it by ``read_content``."""
    if record.unreadable:
        return json.dumps(None)
    return json.dumps([record.spec, record.status])


def read_content(name: str, revision: int, body: str) -> StoredRecord:
    """Decode an object that another VM encoded; an invalid body makes it unreadable.

    ``revision`` is dated by the other VM.
    """
    try:
        spec, status = decode(body)
        identity = {"metadata": {"name": name, "revision": 0}}
        record = read_record({**identity, "spec": spec, "status": status})
        return record._replace(revision=revision)
    except (TypeError, ValueError):
        # The body isn't a pair: the other VM couldn't read the object either.
        return StoredRecord(name, revision, None, None, unreadable=True)


def vm_spec(record: VmRecord) -> dict:
    """Encode the content of the object by which a VM registers itself."""
    return record._asdict()


def read_vm(record: StoredRecord) -> VmRecord:
    """Decode the registration of a VM; raises ``ValueError`` if it is invalid."""
    try:
        body = mapping(record.spec, "the entry")
        vm = VmRecord(
            vm=text(body, "vm"),
            incarnation=text(body, "incarnation"),
            data_centre=text(body, "data_centre"),
            peer_address=address(body, "peer_address"),
            caller_address=address(body, "caller_address"),
            leaving=boolean(body, "leaving"),
            relay_address=_relay_address(body),
        )
    except ValueError as error:
        raise ValueError(f"invalid VM registration: {error}") from error
    if vm.vm != record.name:
        raise ValueError("invalid VM registration: the object has another VM's name")
    return vm


def _relay_address(body: dict) -> str:
    """Return a VM's address for relayed requests, empty if it registered none."""
    return address(body, "relay_address") if body.get("relay_address") else ""


def _event(body: Any, era: int) -> StoreEvent:
    body = mapping(body, "the event")
    return StoreEvent(read_record(body.get("object"), era), bool(body.get("deleted")))


def _readable_content(value: Any) -> dict | None:
    return value if isinstance(value, dict) and is_readable(value) else None


def _is_unreadable(value: Any) -> bool:
    return value is not None and _readable_content(value) is None
