"""The metrics of a process, by prometheus_client.

Names contain their unit. In tests the parts of several processes run in one
interpreter, so every ``Metrics`` has its own registry.
"""

from typing import NamedTuple

from .metric_library import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1) + (
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class PeerCounters(NamedTuple):
    """The counters of one kind of message in one direction."""

    messages: Counter
    bytes: Counter


class Metrics:
    """All metrics of one process."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._of_peers: dict[tuple[str, str], PeerCounters] = {}

        # requests
        self.requests = self._counter(
            "hawthornlead_requests_total", "Requests by outcome", ["outcome"]
        )
        self.attempts = self._counter(
            "hawthornlead_attempts_total", "Attempts sent to targets", ["result"]
        )
        self.first_token = self._histogram(
            "hawthornlead_first_token_seconds", "From admission to first token"
        )
        self.load_stall = self._histogram(
            "hawthornlead_load_stall_seconds", "Wait of a request for a load"
        )
        self.relayed = self._counter(
            "hawthornlead_relayed_chunks_total", "Chunks relayed to callers"
        )
        self.open_requests = self._gauge(
            "hawthornlead_open_requests", "Requests being served"
        )

        # invariants
        self.invariants_broken = self._counter(
            "hawthornlead_invariants_broken_total", "Invariants broken", ["name"]
        )

        # peers
        self.peer_bytes = self._counter(
            "hawthornlead_peer_bytes_total",
            "Bytes of frames between VMs",
            ["direction", "message"],
        )
        self.peer_messages = self._counter(
            "hawthornlead_peer_messages_total",
            "Messages between VMs",
            ["direction", "message"],
        )
        self.peers_live = self._gauge("hawthornlead_peers_live", "Connected VMs")

        # store, leases, ownership
        self.store_calls = self._counter(
            "hawthornlead_store_calls_total",
            "Calls of the object API",
            ["call", "outcome"],
        )
        self.owned_resources = self._gauge(
            "hawthornlead_owned_resources", "Resources that this VM owns"
        )

        # bundles
        self.bundle_seq = self._gauge(
            "hawthornlead_bundle_in_force_seq", "Sequence number in force"
        )
        self.rolls = self._counter(
            "hawthornlead_rolls_total", "Rolls run by this VM", ["outcome"]
        )
        self.acknowledgement = self._histogram(
            "hawthornlead_roll_seconds", "From staging to acceptance of a roll"
        )

        # targets, slots, grants, loads
        self.step_fill = self._gauge(
            "hawthornlead_step_fill_ratio", "Fill of engine steps", ["target"]
        )
        self.loads = self._counter(
            "hawthornlead_loads_total", "Loads ordered, by result", ["result"]
        )
        self.evictions = self._counter(
            "hawthornlead_evictions_total", "Adapters evicted"
        )
        self.grants_out = self._gauge(
            "hawthornlead_grants_out", "Grants given out on owned targets", ["target"]
        )
        self.grants_held = self._gauge(
            "hawthornlead_grants_held", "Grants that this VM holds"
        )
        self.load_permits = self._gauge(
            "hawthornlead_load_permits", "Loads under way", ["weight_store"]
        )

        # claims
        self.claims = self._counter(
            "hawthornlead_claims_total", "Claims by what was answered", ["state"]
        )
        self.claim_time = self._histogram(
            "hawthornlead_claim_seconds", "Time that a claim takes"
        )
        self.outcomes_owed = self._gauge(
            "hawthornlead_outcomes_owed", "Outcomes that wait to be recorded"
        )

    def of_peers(self, direction: str, message: str) -> "PeerCounters":
        """Return the counters of one kind of message in one direction.

        They are cached, since a lookup by labels for each frame takes longer than
        counting.
        """
        found = self._of_peers.get((direction, message))
        if found is None:
            found = self._of_peers[direction, message] = PeerCounters(
                self.peer_messages.labels(direction, message),
                self.peer_bytes.labels(direction, message),
            )
        return found

    def _counter(self, name, text, labels=()) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def _gauge(self, name, text, labels=()) -> Gauge:
        return Gauge(name, text, labels, registry=self.registry)

    def _histogram(self, name, text, labels=()) -> Histogram:
        return Histogram(
            name, text, labels, registry=self.registry, buckets=LATENCY_BUCKETS_S
        )
