"""Targets on the wire: their entries in the store, their reports, orders to them."""

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

REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"


def read_target(record: StoredRecord) -> TargetEntry:
    """Return the target that registered itself in an object.

    Raises ``ValueError`` if the object is no such entry.
    """
    body = record.spec or record.status or {}
    try:
        leaves_ms = body.get("remainingMs")
        return TargetEntry(
            target=record.name,
            service=body["service"],
            address=body["address"],
            data_centre=body.get("zone", ""),
            slots=int(body.get("slots", 1)),
            draining=body.get("state") != "ready",
            leaves_in_s=None if leaves_ms is None else float(leaves_ms) / 1000,
            models=_models(body.get("models")),
            started_ms=_started(body),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"no target: {error!r}") from error


def read_report(body: dict) -> EngineReport:
    """Return an engine's report; raises ``ValueError`` if it is none."""
    try:
        return EngineReport(
            # On this interface the name means orders; in an entry of the store it
            # counts heartbeats.
            order_count=int(body["seq"]),
            busy=bool(body.get("busy")),
            running=int(body.get("inFlight", 0)),
            waiting=int(body.get("queued", 0)),
            kv_used=int(body.get("kvUsed", 0)),
            kv_total=int(body.get("kvTotal", 0)),
            models=_models(body.get("models")),
            arriving=tuple([_arriving(text) for text in body.get("pending") or ()]),
            started_ms=_started(body),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"no report: {error!r}") from error


def order_body(order: EngineOrder) -> dict[str, Any]:
    """Return the body of an order."""
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
    """Return what a target made of an order."""
    if status == 202:
        return OrderOutcome.STARTED
    if status == 200:
        return OrderOutcome.HOLDS_ALREADY
    if status == 409:
        return OrderOutcome.CONFLICT
    return OrderOutcome.REFUSED


def _started(body: dict) -> int | None:
    """Return the start of what tells of itself; platforms of before don't tell it."""
    started_ms = body.get("born")
    if started_ms is not None and type(started_ms) is not int:
        raise ValueError(f"a start that is no whole number: {started_ms!r}")
    return started_ms


def _models(items: Any) -> tuple[HeldModel, ...]:
    models = []
    for item in items or ():
        name = item["name"]
        adapters = [_adapter(name, text) for text in item.get("adapters") or ()]
        models.append(HeldModel(name, int(item.get("version", 0)), tuple(adapters)))
    return tuple(models)


def _adapter(model: str, text: str) -> AdapterVersion:
    adapter, _, version = text.partition("@")
    return AdapterVersion(model, adapter, int(version or 0))


def _arriving(text: str) -> AdapterVersion:
    model, _, rest = text.partition("/")
    return _adapter(model, rest)
