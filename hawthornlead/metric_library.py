"""The metrics of prometheus_client without its servers and clients, and their text.

``import prometheus_client`` loads the standard library's HTTP server, WSGI server and
URL client, which a twentieth of a start's processor time goes into and which a VM never
uses. Only the modules of the metrics are loaded here::

    requests = Counter("requests_total", "Requests", registry=registry)
    body = metrics_text(registry)
"""

import sys
from importlib import import_module
from importlib.util import find_spec, module_from_spec

PACKAGE = "prometheus_client"
PARTS = ("metrics", "registry", "utils")


def _load_parts() -> list:
    """Import parts of the library without executing its package.

    A later import of the package executes it, and finds the parts loaded.
    """
    names = [f"{PACKAGE}.{part}" for part in PARTS]
    if PACKAGE in sys.modules:
        return [import_module(name) for name in names]
    sys.modules[PACKAGE] = module_from_spec(find_spec(PACKAGE))
    try:
        return [import_module(name) for name in names]
    finally:
        del sys.modules[PACKAGE]


_metrics, _registry, _utils = _load_parts()
Counter, Gauge, Histogram = _metrics.Counter, _metrics.Gauge, _metrics.Histogram
CollectorRegistry = _registry.CollectorRegistry
_CREATED = "_created"


def metrics_text(registry) -> bytes:
    """Return all metrics in Prometheus's text format, as ``generate_latest`` does."""
    lines = []
    for metric in registry.collect():
        suffix = "_total" if metric.type == "counter" else ""
        lines += _head(metric.name + suffix, metric.documentation, metric.type)
        created = []
        for sample in metric.samples:
            if sample.name == metric.name + _CREATED:
                created.append(_sample_line(sample))
                continue
            lines.append(_sample_line(sample))
        if created:
            lines += _head(metric.name + _CREATED, metric.documentation, "gauge")
            lines += created
    return "".join(lines).encode()


def _head(name: str, text: str, kind: str) -> list[str]:
    text = text.replace("\\", r"\\").replace("\n", r"\n")
    return [f"# HELP {name} {text}\n", f"# TYPE {name} {kind}\n"]


def _sample_line(sample) -> str:
    labels = ",".join(
        f'{name}="{_escaped(value)}"' for name, value in sorted(sample.labels.items())
    )
    shown = f"{{{labels}}}" if labels else ""
    return f"{sample.name}{shown} {_utils.floatToGoString(sample.value)}\n"


def _escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")
