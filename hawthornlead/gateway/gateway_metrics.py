"""Metrics of the gateway: outcomes of requests, durations, and the age of its state.

Labels are few and fixed: no request, caller, target or adapter is a label, so the
number of time series doesn't grow with use.
"""

from collections.abc import Callable

from ..metric_library import CollectorRegistry, Counter, Gauge, Histogram
from ..metrics import LATENCY_BUCKETS_S
from ..resources.accounts import Account
from .load_accounts import LoadAccount


class GatewayMetrics:
    """All metrics of one gateway, in a registry for export.

    ::

        metrics.requests.labels("served", "").inc()
        metrics.first_event.observe(0.21)
    """

    def __init__(self, registry: CollectorRegistry):
        self._registry = registry
        self.requests = self._counter(
            "hawthornlead_gateway_requests_total",
            "Requests by outcome and cause",
            ["outcome", "cause"],
        )
        self.attempts = self._counter(
            "hawthornlead_gateway_attempts_total",
            "Attempts at targets by outcome",
            ["ending"],
        )
        self.broken_answers = self._counter(
            "hawthornlead_gateway_broken_answers_total",
            "What targets sent in place of an answer, by fault",
            ["fault"],
        )
        self.relays = self._counter(
            "hawthornlead_gateway_relays_total",
            "Requests passed on to another VM, by outcome",
            ["outcome"],
        )
        self.origin_searches = self._counter(
            "hawthornlead_gateway_origin_searches_total",
            "Searches for the origins of resumed streams, by outcome",
            ["outcome"],
        )
        self.writer_proofs = self._counter(
            "hawthornlead_gateway_writer_proofs_total",
            "Connections for streams that may be resumed, by proof of their writer",
            ["proof"],
        )
        self.orders = self._counter(
            "hawthornlead_gateway_orders_total",
            "Orders to engines by outcome",
            ["order", "outcome"],
        )
        self.store_calls = self._counter(
            "hawthornlead_gateway_store_calls_total",
            "Calls of the store by outcome",
            ["outcome"],
        )
        self.unreadable = self._counter(
            "hawthornlead_gateway_unreadable_records_total",
            "Objects of the store that became unreadable",
            ["kind"],
        )
        self.losses = self._counter(
            "hawthornlead_gateway_target_losses_total",
            "Proofs that a target is lost, by proof",
            ["proof"],
        )
        self.wrong_losses = self._counter(
            "hawthornlead_gateway_wrong_losses_total",
            "Proofs after which the same incarnation of the target answered",
            ["proof"],
        )
        self.probes = self._counter(
            "hawthornlead_gateway_target_probes_total",
            "Probes of silent targets by result",
            ["found"],
        )
        self.places = self._counter(
            "hawthornlead_gateway_places_total",
            "Requests for places at targets, by part and outcome",
            ["part", "outcome"],
        )
        self.quarantine_refusals = Counter(
            "hawthornlead_gateway_quarantine_refusals_total",
            "Requests refused because of a prompt part that crashes targets",
            registry=registry,
        )
        self.quota_refusals = self._counter(
            "hawthornlead_gateway_quota_refusals_total",
            "Requests refused by their workspace's quota, by cause",
            ["cause"],
        )
        self.first_event = self._histogram(
            "hawthornlead_gateway_first_event_seconds",
            "From a request's arrival to its first event",
        )
        self.longest_gap = self._histogram(
            "hawthornlead_gateway_longest_gap_seconds",
            "Longest pause between two events of a stream",
        )
        self.load_wait = self._histogram(
            "hawthornlead_gateway_load_wait_seconds",
            "Wait of a request for its adapter",
        )
        self.load_queued = self._histogram(
            "hawthornlead_gateway_load_queued_seconds",
            "Wait of an adapter's first request until its load is ordered",
        )
        self.load_order_time = self._histogram(
            "hawthornlead_gateway_load_order_seconds",
            "From the first order of a load until the engine accepts it",
        )
        self.fetch_time = self._histogram(
            "hawthornlead_gateway_fetch_seconds",
            "From an accepted order until its adapter counts as ready",
        )
        self.turn_wait = self._histogram(
            "hawthornlead_gateway_turn_wait_seconds",
            "Wait of a prompt for its turn",
        )
        self.store_time = self._histogram(
            "hawthornlead_gateway_store_call_seconds", "Time of a store call"
        )
        self.order_time = self._histogram(
            "hawthornlead_gateway_order_seconds", "Time of an order"
        )

    def observe_load(self, account: LoadAccount) -> None:
        """Observe the known parts of one load."""
        if account.queued_s is not None:
            self.load_queued.observe(account.queued_s)
        if account.order_s is not None:
            self.load_order_time.observe(account.order_s)
        if account.fetch_s is not None:
            self.fetch_time.observe(account.fetch_s)

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each export."""
        gauge = Gauge(f"hawthornlead_gateway_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def add_account_gauges(self, account: Account) -> None:
        """Add gauges of what the process holds for its clients."""
        for name, text, read in (
            (
                "held_bytes",
                "Memory held for clients' connections, requests and answers",
                lambda: account.used_bytes,
            ),
            (
                "client_connections",
                "Connections that clients have open",
                lambda: account.connections,
            ),
            (
                "closed_connections",
                "Client connections closed for want of room, or as silent ones",
                lambda: account.closed,
            ),
        ):
            self.add_gauge(name, text, read)

    def _counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(name, text, labels, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(name, text, registry=self._registry, buckets=LATENCY_BUCKETS_S)
