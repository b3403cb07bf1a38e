"""Tests that metrics without prometheus_client's package are those of the library."""

import subprocess
import sys

from prometheus_client import generate_latest

from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.metric_library import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    metrics_text,
)

PACKAGE_LAST = """
import sys
import hawthornlead.gateway.gateway_metrics
from hawthornlead.metric_library import CollectorRegistry, Counter
for name in ("http.server", "wsgiref", "urllib.request", "prometheus_client"):
    assert name not in sys.modules, name
import prometheus_client
assert prometheus_client.Counter is Counter
assert prometheus_client.CollectorRegistry is CollectorRegistry
prometheus_client.generate_latest(CollectorRegistry())
"""


def test_the_text_is_that_of_the_library():
    # A scraper drops everything when one line is malformed.
    registry = CollectorRegistry()
    Counter("a_total", "Of a", ["x", "b"], registry=registry).labels(
        'quote " slash \\ line \n', "ü"
    ).inc(3)
    Counter("plain", "Back \\ slash\nand line", registry=registry)
    Gauge("g", "", registry=registry).set(float("inf"))
    Gauge("n", "None", registry=registry).set(-1.5e300)
    Gauge("i", "An integer", registry=registry).set(12345678901234567)
    Histogram("h_seconds", "H", ["k"], registry=registry).labels("1").observe(0.3)
    assert metrics_text(registry) == generate_latest(registry)


def test_the_text_of_a_gateway_is_that_of_the_library():
    registry = CollectorRegistry()
    metrics = GatewayMetrics(registry)
    metrics.requests.labels("served", "").inc()
    metrics.first_event.observe(0.21)
    assert metrics_text(registry) == generate_latest(registry)


def test_the_whole_package_can_be_imported_after_its_parts():
    # Two copies of the library's classes would keep two registries.
    command = [sys.executable, "-c", PACKAGE_LAST]
    run = subprocess.run(command, capture_output=True, text=True)
    assert run.returncode == 0, run.stderr
