"""The table of all settings: section, kind, default and bounds of each.

A new setting is one row here. The module ``settings`` reads and checks files by this
table::

    SETTINGS["LEASE_S"].default
"""

from typing import Any, NamedTuple


class Setting(NamedTuple):
    """One row of the table: the section, default, kind and description of a setting.

    ``kind`` names a reader in ``settings.READERS``. ``text`` says what the setting is
    for, also in the reference page. ``low`` and ``high`` bound numbers, both included.
    """

    section: str
    kind: str
    default: Any
    text: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


# The INI key is the name in lower case, in the section that the row names.
# Free sections may have any key, such as an operator's name in [operators].
FREE_SECTIONS = {"operators": "OPERATORS"}

SETTINGS: dict[str, Setting] = {
    # vm
    "VM_NAME": Setting("vm", "name", None, "name of this VM, unique in the fleet"),
    "DATA_CENTRE": Setting("vm", "name", None, "data centre that this VM stands in"),
    "REGION": Setting("vm", "name", "default", "region of the data centre"),
    "CALLER_ADDRESS": Setting(
        "vm", "address", None, "IP:PORT on which callers and operators connect"
    ),
    "PEER_ADDRESS": Setting("vm", "address", None, "IP:PORT for the other VMs"),
    "RELAY_ADDRESS": Setting(
        "vm",
        "optional_address",
        "",
        "IP:PORT for requests of callers that other VMs relay, since they reach no "
        "target; empty: this VM takes none",
    ),
    "METRICS_ADDRESS": Setting(
        "vm",
        "optional_address",
        "",
        "IP:PORT of /metrics, and of /status and /timeline without a signature; "
        "empty: /metrics on caller_address",
    ),
    "READY_ADDRESS": Setting(
        "vm",
        "optional_address",
        "",
        "IP:PORT on which `gateway` reports its readiness to the platform",
    ),
    "DIRECTORY_ADDRESS": Setting(
        "vm",
        "optional_address",
        "",
        "IP:PORT on which `gateway` answers callers that ask where to connect",
    ),
    # platform
    "GRACE_S": Setting(
        "platform",
        "number",
        8.0,
        "time from SIGTERM to SIGKILL, in which `gateway` drains",
        1,
        3600,
    ),
    "FIRST_START": Setting(
        "platform", "switch", False, "first start of the whole system: no leases yet"
    ),
    "STORE_WRITES_PER_S": Setting(
        "platform", "number", 400.0, "writes a second that the store takes", 1, 1e6
    ),
    "STORE_ADDRESS": Setting("platform", "address", None, "IP:PORT of the object API"),
    "VM_LIST_ADDRESS": Setting("platform", "address", None, "IP:PORT of the VM list"),
    "STORE_TIMEOUT_S": Setting(
        "platform", "number", 2.0, "longest wait for one store call", 0.05, 60
    ),
    "VM_LIST_INTERVAL_S": Setting(
        "platform", "number", 1.0, "seconds between reads of the VM list", 0.05, 60
    ),
    "WATCH_SILENT_S": Setting(
        "platform", "number", 5.0, "silence after which a watch is dead", 0.1, 60
    ),
    "WATCH_RELIST_S": Setting(
        "platform", "number", 60.0, "seconds between full lists of a watch", 0.5, 3600
    ),
    # lease
    "LEASE_S": Setting("lease", "number", 6.0, "how long a lease lasts", 0.2, 120),
    "LEASE_RENEW_S": Setting(
        "lease", "number", 1.5, "seconds between renewals", 0.05, 60
    ),
    "CLOCK_RATE_ERROR": Setting(
        "lease", "number", 0.01, "largest relative error of a clock's rate", 0, 0.2
    ),
    "ORDER_S": Setting(
        "lease",
        "number",
        8.0,
        "longest fence or evict order; successors wait as long",
        0.1,
        120,
    ),
    # peers
    "HEARTBEAT_S": Setting(
        "peers", "number", 1.0, "seconds between heartbeats", 0.02, 30
    ),
    "PEER_SILENT_S": Setting(
        "peers", "number", 3.0, "silence after which a connection is dead", 0.1, 60
    ),
    "PEER_CALL_S": Setting("peers", "number", 2.0, "longest call to a VM", 0.05, 60),
    "MAX_MESSAGE_BYTES": Setting(
        "peers", "integer", 1 << 20, "largest message between VMs", 1024, 1 << 24
    ),
    # bundles
    "ACKNOWLEDGE_S": Setting(
        "bundles", "number", 6.0, "longest wait for acknowledgements", 0.1, 120
    ),
    "DOUBT_S": Setting(
        "bundles",
        "number",
        3.0,
        "longest service while a roll's decision is unknown",
        0.1,
        60,
    ),
    "ISOLATION_S": Setting(
        "bundles", "number", 5.0, "longest service without contact to any VM", 0.1, 120
    ),
    # grants
    "GRANT_S": Setting("grants", "number", 10.0, "how long a grant lasts", 0.2, 300),
    "GRANT_RENEW_S": Setting(
        "grants", "number", 3.0, "seconds between renewals of grants", 0.05, 100
    ),
    "GRANT_SIZE": Setting("grants", "integer", 8, "requests in one grant", 1, 1024),
    "REPORT_INTERVAL_S": Setting(
        "grants", "number", 0.5, "seconds between reads of a target's report", 0.02, 60
    ),
    # loads
    "LOADS_PER_S": Setting(
        "loads", "number", 6.0, "loads a second that the weight store allows", 0.01, 1e4
    ),
    "LOADS_AT_ONCE": Setting(
        "loads", "integer", 2, "concurrent loads at full speed", 1, 1024
    ),
    "LOAD_S": Setting("loads", "number", 30.0, "longest load of an adapter", 0.1, 600),
    # policy
    "ROUTER": Setting("policy", "name", "affinity", "strategy: target of a request"),
    "PLACEMENT": Setting("policy", "name", "spread", "strategy: where to load"),
    "EVICTION": Setting("policy", "name", "popularity", "strategy: what to evict"),
    "LOAD_ORDER": Setting("policy", "name", "deadline", "strategy: order of loads"),
    "POPULARITY": Setting("policy", "name", "decayed", "strategy: popularity"),
    "FAST_HALF_LIFE_S": Setting(
        "policy",
        "number",
        20.0,
        "half-life of the fast count, which follows shifts",
        1,
        86400,
    ),
    "SLOW_HALF_LIFE_S": Setting(
        "policy", "number", 120.0, "half-life of the slow, steady count", 1, 864000
    ),
    "FAST_WEIGHT": Setting(
        "policy", "number", 0.2, "weight of the fast count beside the slow one", 0, 1
    ),
    "CHOICES": Setting("policy", "integer", 6, "targets compared for a load", 1, 1024),
    "TARGET_FULL": Setting(
        "policy", "integer", 16, "requests that fill a step, if not reported", 1, 4096
    ),
    "LOAD_BOUND": Setting(
        "policy",
        "number",
        1.5,
        "largest work of a copy, as a multiple of the mean",
        1,
        100,
    ),
    "COPY_RATE": Setting(
        "policy", "number", 4.0, "requests a second that one copy can serve", 0.001, 1e4
    ),
    "COPY_DISCOUNT": Setting(
        "policy", "number", 0.05, "value of a copy that has another", 0, 1
    ),
    "STALL_WEIGHT": Setting(
        "policy", "number", 1.0, "weight of load stalls in placement", 0, 100
    ),
    "LOAD_WEIGHT": Setting(
        "policy", "number", 0.002, "weight of a target's work in placement", 0, 100
    ),
    "BATCH_WEIGHT": Setting(
        "policy", "number", 0.3, "0: emptier copy first, 1: fuller one", 0, 1
    ),
    "PATIENCE_S": Setting(
        "policy", "number", 5.0, "wait after which a load counts as due", 0, 600
    ),
    "PRIORITY_LEAD_S": Setting(
        "policy",
        "number",
        0.25,
        "lead of a load in seconds per level of priority",
        0,
        600,
    ),
    "WAITING_LEAD_S": Setting(
        "policy",
        "number",
        1.0,
        "lead in seconds per doubling of waiting requests",
        0,
        600,
    ),
    # requests
    "DEFAULT_DEADLINE_S": Setting(
        "requests", "number", 60.0, "deadline of a request that names none", 0.1, 3600
    ),
    "MAX_DEADLINE_S": Setting(
        "requests",
        "number",
        300.0,
        "longest deadline that a caller may request",
        1,
        3600,
    ),
    "STREAM_SILENT_S": Setting(
        "requests", "number", 10.0, "longest silence of a target's stream", 0.1, 300
    ),
    "MAX_BODY_BYTES": Setting(
        "requests", "integer", 1 << 20, "largest request body", 64, 1 << 27
    ),
    "MAX_HEADERS": Setting(
        "requests", "integer", 64, "largest number of headers", 8, 1000
    ),
    "MAX_CONNECTIONS": Setting(
        "requests",
        "integer",
        2000,
        "largest number of open caller connections",
        1,
        100000,
    ),
    "MAX_HELD_BYTES": Setting(
        "requests",
        "integer",
        48 << 20,
        "memory for connections, requests and unread answers of clients",
        1 << 20,
        1 << 40,
    ),
    "CALLER_SILENT_S": Setting(
        "requests",
        "number",
        60.0,
        "longest wait for a client that sends or takes nothing",
        0.1,
        3600,
    ),
    "MAX_OPEN_REQUESTS": Setting(
        "requests",
        "integer",
        1000,
        "largest number of concurrent requests on this VM",
        1,
        100000,
    ),
    "SLOW_CALLER_S": Setting(
        "requests", "number", 20.0, "longest wait for a caller to read", 0.1, 600
    ),
    "GATHER_MS": Setting(
        "requests", "number", 4.0, "longest batching of chunks before a write", 0, 50
    ),
    "RETRY_SHARE": Setting(
        "requests", "number", 0.1, "largest number of retries per first attempt", 0, 1
    ),
    "OWNER_WAIT_S": Setting(
        "requests", "number", 4.0, "longest wait for a target's new owner", 0, 60
    ),
    "MAX_ATTEMPTS": Setting("requests", "integer", 3, "attempts per request", 1, 10),
    # claims
    "CLAIM_RANGES": Setting("claims", "integer", 16, "ranges of claim keys", 1, 1024),
    "CLAIM_KEEP_S": Setting(
        "claims", "number", 600.0, "how long an outcome is kept", 1, 86400
    ),
    "CLAIM_GATHER_MS": Setting(
        "claims", "number", 2.0, "longest batching of claims before a write", 0, 100
    ),
    "MAX_OUTCOME_BYTES": Setting(
        "claims", "integer", 2048, "largest answer kept with a claim", 0, 65536
    ),
    # suspects
    "CRASHES_TO_QUARANTINE": Setting(
        "suspects", "integer", 2, "crashes after which a request is quarantined", 1, 10
    ),
    "QUARANTINE_S": Setting(
        "suspects",
        "number",
        600.0,
        "how long a quarantined request is refused",
        1,
        86400,
    ),
    # entry
    "ENTRY_KEEP_S": Setting(
        "entry", "number", 10.0, "how long callers keep an entry answer", 0.1, 3600
    ),
    "ENTRY_ANSWERS": Setting("entry", "integer", 3, "addresses in an answer", 1, 64),
    "DRAIN_S": Setting(
        "entry",
        "number",
        320.0,
        "longest drain after kept entry answers have expired",
        0,
        3600,
    ),
    # scheduling
    "LEARNED_FETCHES": Setting(
        "scheduling",
        "switch",
        False,
        "predict when adapters are ready from learned fetch times and report lags",
    ),
    "MEASURED_ENGINES": Setting(
        "scheduling",
        "switch",
        False,
        "measure the speed of each engine and place requests by it",
    ),
    "ENGINE_PLACES": Setting(
        "scheduling",
        "switch",
        False,
        "the owner of an engine counts its places and memory over all VMs",
    ),
    "PLAIN_PLACES": Setting(
        "scheduling",
        "switch",
        False,
        "one VM counts the places of a plain target over all VMs",
    ),
    "FAIR_SHARES": Setting(
        "scheduling",
        "switch",
        False,
        "waiting requests of one rank are served in fair order over workspaces, "
        "and quotas admit whole requests while there is credit",
    ),
    "FAST_STARTS": Setting(
        "scheduling",
        "switch",
        False,
        "a VM that starts in a large fleet serves by a listing that may be seconds "
        "old, and claims only its share of the engines at first",
    ),
    # logs
    "LOG_LEVEL": Setting(
        "logs",
        "choice",
        "INFO",
        "lowest level that is written",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    ),
    "LOG_FORMAT": Setting(
        "logs", "choice", "text", "format of a line", choices=("text", "json")
    ),
    "LOG_LINES_PER_S": Setting(
        "logs",
        "number",
        0,
        "most lines a second, ordinary ones dropped first; 0: drop only repeats",
        0,
        1e5,
    ),
    "EVENT_RING": Setting("logs", "integer", 4096, "events kept in memory", 64, 1e6),
    # tls
    "TLS_CERTIFICATE": Setting(
        "tls", "text", "", "PEM file with the certificate for callers"
    ),
    "TLS_KEY": Setting(
        "tls", "text", "", "PEM file with the private key of the certificate"
    ),
    "PEER_SECRET": Setting(
        "tls", "text", "", "secret that VMs prove to each other; empty: none"
    ),
}
