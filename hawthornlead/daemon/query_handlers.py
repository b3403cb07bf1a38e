"""HTTP handlers for read-only queries: entry addresses, health, readiness, metrics."""

import json
from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import RequestHandler

from ..bundles.rolls import BundleKeeper
from ..metrics import Metrics
from ..ownership.members import Members


class QueryParts(NamedTuple):
    """The parts that the query handlers read.

    ``ready`` returns why requests would be refused now, empty if they would be served.
    """

    members: Members
    keeper: BundleKeeper
    metrics: Metrics
    ready: Callable[[], str]


class QueryHandler(RequestHandler):
    """Base class of the query handlers."""

    def initialize(self, parts: QueryParts) -> None:
        """Set the parts that the daemon built."""
        self._parts = parts

    def answer(self, fields: dict, status: int = 200) -> None:
        """Answer with a JSON object."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(fields))


class EntryHandler(QueryHandler):
    """``GET /entry``: which addresses to use, and for how long to cache them.

    ``?data_centre=NAME`` requests addresses near a caller in that data centre.
    """

    def get(self) -> None:
        """Answer the addresses, best first."""
        data_centre = self.get_query_argument("data_centre", "")
        answer = self._parts.members.entry_answer(data_centre)
        self.answer({"addresses": list(answer.addresses), "keep_s": answer.keep_s})


class HealthHandler(QueryHandler):
    """``GET /healthz``: the process and its event loop are running."""

    def get(self) -> None:
        """Answer that the process is alive."""
        self.answer({"alive": True})


class ReadyHandler(QueryHandler):
    """``GET /readyz``: whether this VM would serve a request now."""

    def get(self) -> None:
        """Answer 200, or 503 with the reason."""
        reason = self._parts.ready()
        self.answer({"ready": not reason, "reason": reason}, 503 if reason else 200)


class MetricsHandler(QueryHandler):
    """``GET /metrics``: all metrics in the Prometheus text format."""

    def get(self) -> None:
        """Answer the metrics."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self._parts.metrics.registry))


def query_routes(parts: QueryParts) -> list:
    """Return the tornado routes of the queries that need no authentication."""
    return [
        (r"/entry", EntryHandler, {"parts": parts}),
        (r"/healthz", HealthHandler, {"parts": parts}),
        (r"/readyz", ReadyHandler, {"parts": parts}),
    ]


def metrics_routes(parts: QueryParts) -> list:
    """Return the route of the metrics, which may be served on a separate address."""
    return [(r"/metrics", MetricsHandler, {"parts": parts})]
