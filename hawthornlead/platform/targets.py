"""Targets' wire format: entries in the store, reports and orders."""

from typing import Any

from ..gateway.records import (
    AdapterVersion,
    EngineOrder,
    EngineReport,
    HeldModel,
    OrderOutcome,
    StoredRecord,
    TargetEntry,
)
from .fields import (
    as_text,
    boolean,
    ip_address,
    items,
    mapping,
    number,
    text,
    versioned_name,
    whole_number,
)

REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
READY = "ready"
DRAINING = "draining"


def read_target(record: StoredRecord) -> TargetEntry:
    """Decode the entry of a target, which is in its spec or else its status.

    Raises ``ValueError`` if the entry is invalid; the object then names no target.
    """
    try:
        return _entry(record)
    except ValueError as error:
        raise ValueError(f"invalid target entry: {error}") from error


def read_report(body: Any) -> EngineReport:
    """Decode an engine's report; raises ``ValueError`` if it is invalid."""
    try:
        return _report(mapping(body, "the report"))
    except ValueError as error:
        raise ValueError(f"invalid report: {error}") from error


def order_body(order: EngineOrder) -> dict[str, Any]:
    """Encode an order."""
    body: dict[str, Any] = {
        "op": order.kind.value,
        "model": order.model,
        "precondition": order.order_count,
        "holder": order.holder,
        "fence": order.fence,
    }
    if order.adapter:
        body["adapter"] = order.adapter
    if order.version:
        body["version"] = order.version
    return body


def read_order_outcome(status: int) -> OrderOutcome:
    """Return the outcome of an order from the status of its answer."""
    if status == 202:
        return OrderOutcome.STARTED
    if status == 200:
        return OrderOutcome.HOLDS_ALREADY
    if status == 409:
        return OrderOutcome.CONFLICT
    return OrderOutcome.REFUSED


def _entry(record: StoredRecord) -> TargetEntry:
    body = mapping(record.spec or record.status, "the entry")
    # These are not used, but an entry without them was not written by the target.
    whole_number(body, "seq")
    number(body, "coldRemainingMs")
    leaves_ms = None
    if body.get("remainingMs") is not None:
        leaves_ms = number(body, "remainingMs")
    return TargetEntry(
        target=record.name,
        service=text(body, "service"),
        address=ip_address(body, "address"),
        data_centre=text(body, "zone"),
        slots=whole_number(body, "slots", minimum=1),
        draining=_is_draining(body),
        leaves_in_s=None if leaves_ms is None else leaves_ms / 1000,
        models=_models(body),
        started_ms=_started_ms(body),
        software=text(body, "version"),
    )


def _report(body: dict) -> EngineReport:
    return EngineReport(
        # In a report ``seq`` counts orders; in an entry of the store it counts
        # heartbeats.
        order_count=whole_number(body, "seq"),
        busy=boolean(body, "busy", False),
        running=whole_number(body, "inFlight", 0),
        waiting=whole_number(body, "queued", 0),
        kv_used=whole_number(body, "kvUsed", 0),
        kv_total=whole_number(body, "kvTotal", 0),
        models=_models(body),
        arriving=tuple([_pending_adapter(each) for each in items(body, "pending", [])]),
        started_ms=_started_ms(body),
    )


def _is_draining(body: dict) -> bool:
    state = text(body, "state")
    if state not in (READY, DRAINING):
        raise ValueError("state is unknown")
    return state == DRAINING


def _started_ms(body: dict) -> int | None:
    """Return when the target started, None from older platforms without the field."""
    return whole_number(body, "born") if "born" in body else None


def _models(body: dict) -> tuple[HeldModel, ...]:
    models = []
    for item in items(body, "models", []):
        model = mapping(item, "a model")
        name = text(model, "name")
        adapters = [_adapter(name, each) for each in items(model, "adapters")]
        version = whole_number(model, "version")
        models.append(HeldModel(name, version, tuple(adapters)))
    return tuple(models)


def _adapter(model: str, value: Any) -> AdapterVersion:
    return AdapterVersion(model, *versioned_name(value, "an adapter"))


def _pending_adapter(value: Any) -> AdapterVersion:
    model, _, adapter = as_text(value, "a pending adapter").partition("/")
    return _adapter(model, adapter)
