"""The operator's configuration and the versions of adapters, as the store has them."""

from typing import Any

from ..gateway.records import (
    AdapterVersion,
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    ServiceShare,
    ServiceSpec,
    StoredRecord,
)
from .fields import boolean, items, mapping, number, text, whole_number

# What holds where the operator's configuration leaves a limit out.
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 4 << 20
DEFAULT_IDLE_MS = 15000


def read_configuration(record: StoredRecord) -> Configuration:
    """Return the configuration in an object; raises ``ValueError`` if it is none."""
    try:
        body = _given(record.spec, "the configuration")
        return Configuration(
            version=whole_number(body, "version"),
            routes=tuple([_route(route) for route in items(body, "routes")]),
            services=tuple([_service(each) for each in items(body, "services")]),
            limits=_limits(_given(body.get("limits", {}), "limits")),
        )
    except ValueError as error:
        raise ValueError(f"no configuration: {error}") from error


def read_adapter_version(record: StoredRecord) -> AdapterVersion:
    """Return the adapter version in an object; raises ``ValueError`` if it is none."""
    try:
        body = mapping(record.spec, "the version")
        return AdapterVersion(
            text(body, "model"), text(body, "adapter"), whole_number(body, "version")
        )
    except ValueError as error:
        raise ValueError(f"no adapter version: {error}") from error


def _given(value: Any, what: str) -> dict[str, Any]:
    """Return the fields that the operator gave; null stands for one left out."""
    body = mapping(value, what)
    return {field: each for field, each in body.items() if each is not None}


def _route(value: Any) -> Route:
    body = _given(value, "a route")
    return Route(
        name=text(body, "name"),
        host=text(body, "host").lower(),
        prefix=text(body, "pathPrefix"),
        kind=RouteKind(text(body, "kind")),
        timeout_ms=number(body, "timeoutMs"),
        objective_ms=number(body, "targetLatencyMs"),
        priority=whole_number(body, "priority", 5),
        services=_shares(body),
        attempts=whole_number(body, "attempts", 1),
        resumable=boolean(body, "resumable", False),
        event_gap_ms=number(body, "gapTargetMs", 0),
    )


def _shares(body: dict) -> tuple[ServiceShare, ...]:
    split = items(body, "split", [])
    if not split:
        return (ServiceShare(text(body, "service"), 1.0),)
    shares = []
    for value in split:
        part = mapping(value, "a part of a split")
        shares.append(ServiceShare(text(part, "service"), number(part, "weight")))
    return tuple(shares)


def _service(value: Any) -> ServiceSpec:
    body = _given(value, "a service")
    engine = _given(body.get("engine", {}), "an engine")
    return ServiceSpec(
        name=text(body, "name"),
        health_path=text(body, "healthPath", "/health"),
        max_connections=whole_number(body, "maxConns", 64),
        engine=_engine(engine) if engine else None,
    )


def _engine(body: dict) -> EngineSpec:
    return EngineSpec(
        batch=whole_number(body, "slots"),
        kv_tokens=whole_number(body, "kvTokens"),
        # The same name holds a model's size where it stands in a model, and the
        # memory of the whole engine here.
        memory_mb=number(body, "weightsMb"),
        adapter_slots=whole_number(body, "adapterSlots", 0),
        model_loads_per_s=number(body, "loadsPerS", 0) or 1.0,
        models=tuple([_model(model) for model in items(body, "models")]),
    )


def _model(value: Any) -> ModelSpec:
    body = _given(value, "a model")
    return ModelSpec(
        name=text(body, "name"),
        weights_mb=number(body, "weightsMb"),
        load_s=number(body, "loadTimeS"),
        adapters=whole_number(body, "adapters", 0),
        adapter_mb=number(body, "adapterMb", 0),
    )


def _limits(body: dict) -> CallerLimits:
    return CallerLimits(
        header_bytes=whole_number(body, "maxHeaderBytes", DEFAULT_HEADER_BYTES),
        body_bytes=whole_number(body, "maxBodyBytes", DEFAULT_BODY_BYTES),
        idle_s=number(body, "idleTimeoutMs", DEFAULT_IDLE_MS) / 1000,
    )
