"""Decodes the operator's configuration and adapter versions from store objects."""

from typing import Any

from ..gateway.records import (
    AdapterVersion,
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Quota,
    QuotaUnit,
    Route,
    RouteKind,
    ServiceShare,
    ServiceSpec,
    StoredRecord,
    Workspace,
)
from .fields import as_text, boolean, items, mapping, number, text, whole_number
from .keys import is_key, key_digest

# Limits that apply where the operator's configuration names none.
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 4 << 20
DEFAULT_IDLE_MS = 15000


def read_configuration(record: StoredRecord) -> Configuration:
    """Return the configuration in an object; raises ``ValueError`` if it is invalid."""
    try:
        body = _present_fields(record.spec, "the configuration")
        return Configuration(
            version=whole_number(body, "version"),
            routes=tuple([_route(route) for route in items(body, "routes")]),
            services=tuple([_service(each) for each in items(body, "services")]),
            limits=_limits(_present_fields(body.get("limits", {}), "limits")),
            workspaces=_workspaces(body),
        )
    except ValueError as error:
        raise ValueError(f"invalid configuration: {error}") from error


def read_adapter_version(record: StoredRecord) -> AdapterVersion:
    """Return the adapter version in an object; raises ``ValueError`` if invalid."""
    try:
        body = mapping(record.spec, "the version")
        return AdapterVersion(
            text(body, "model"), text(body, "adapter"), whole_number(body, "version")
        )
    except ValueError as error:
        raise ValueError(f"invalid adapter version: {error}") from error


def _present_fields(value: Any, what: str) -> dict[str, Any]:
    """Return the fields of an object that aren't null; null means not given."""
    body = mapping(value, what)
    return {field: each for field, each in body.items() if each is not None}


def _route(value: Any) -> Route:
    body = _present_fields(value, "a route")
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
        public=boolean(body, "public", False),
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
    body = _present_fields(value, "a service")
    engine = _present_fields(body.get("engine", {}), "an engine")
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
        # In an engine this field is the memory of the whole engine, in a model the
        # size of the model.
        memory_mb=number(body, "weightsMb"),
        adapter_slots=whole_number(body, "adapterSlots", 0),
        model_loads_per_s=number(body, "loadsPerS", 0) or 1.0,
        models=tuple([_model(model) for model in items(body, "models")]),
    )


def _model(value: Any) -> ModelSpec:
    body = _present_fields(value, "a model")
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


def _workspaces(body: dict) -> tuple[Workspace, ...] | None:
    """Return the workspaces, None if the configuration has no ``tenants``."""
    if "tenants" not in body:
        return None
    workspaces = tuple([_workspace(value) for value in items(body, "tenants")])
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for workspace in workspaces:
        if workspace.name in names:
            raise ValueError(f"two tenants have the name {workspace.name}")
        names.add(workspace.name)
        for digest in workspace.key_digests:
            other = holders.setdefault(digest, workspace.name)
            if other != workspace.name:
                raise ValueError(f"{other} and {workspace.name} share a key")
    return workspaces


def _workspace(value: Any) -> Workspace:
    body = _present_fields(value, "a tenant")
    name = text(body, "name")
    # The name is sent in a header, so it must be printable ASCII without blanks.
    if not is_key(name):
        raise ValueError("a tenant's name is not a single word")
    digests = set()
    for key in items(body, "apiKeys", []):
        if not is_key(as_text(key, f"a key of {name}")):
            raise ValueError(f"a key of {name} has characters that a key must not have")
        digests.add(key_digest(key))
    priority = whole_number(body, "priority") if "priority" in body else None
    return Workspace(name, frozenset(digests), priority, _quota(body, name))


def _quota(body: dict, name: str) -> Quota | None:
    """Return a tenant's quota, None if it has no limit."""
    rate = number(body, "ratePerS", 0)
    burst = number(body, "burst", 0)
    if rate < 0 or burst < 0:
        raise ValueError(f"a limit of {name} is below 0")
    if not rate:
        return None
    try:
        unit = QuotaUnit(text(body, "unit", QuotaUnit.REQUESTS.value))
    except ValueError as error:
        raise ValueError(f"the unit of {name} is unknown") from error
    return Quota(rate, burst, unit, whole_number(body, "plainTokens", 0))
