"""Settings: one table of defaults, read from an INI file, then checked.

``read_settings`` reads a file over the defaults and ``configure_settings`` checks
the outcome. All errors are reported at once, each with its section, its key, what
was found and what is allowed. An unknown section or key is an error.
"""

import configparser
import ipaddress
from collections.abc import Callable
from typing import Any, NamedTuple

from result import Err, Ok, Result

from .registries import Registry
from .signatures import check_operators

Settings = dict[str, Any]


class SettingError(NamedTuple):
    """One error in a settings file; ``section`` is empty for the file as a whole."""

    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        if not self.section:
            return f"{self.found}; allowed: {self.allowed}"
        place = f"[{self.section}] {self.key}".rstrip()
        return f"{place}: found {self.found!r}, allowed: {self.allowed}"


class Setting(NamedTuple):
    """One row of the table: where it stands, its default, how it is read.

    ``kind`` names a reader in ``READERS``. ``low`` and ``high`` bound numbers,
    both included.
    """

    section: str
    kind: str
    default: Any
    text: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


READERS: Registry[Callable[[str, Setting], Any]] = Registry("reader of settings")
# A reader raises ``ValueError``, its text what is allowed, on text that is not.
reader = READERS.register


# The INI key is the name in lower case, in the section that the row names.
# Free sections hold any key: [operators] name = public key.
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
    "METRICS_ADDRESS": Setting(
        "vm",
        "optional_address",
        "",
        "IP:PORT of /metrics, and of /status and /timeline without a signature; "
        "empty: /metrics on caller_address",
    ),
    # platform
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
        "lease", "number", 0.01, "largest error of a clock's rate, a share", 0, 0.2
    ),
    "ORDER_S": Setting(
        "lease",
        "number",
        8.0,
        "longest fence or evict order; successors wait it",
        0.1,
        120,
    ),
    # peers
    "HEARTBEAT_S": Setting("peers", "number", 1.0, "between heartbeats", 0.02, 30),
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
        "bundles", "number", 3.0, "longest service in doubt of a decision", 0.1, 60
    ),
    "ISOLATION_S": Setting(
        "bundles", "number", 5.0, "longest service hearing nobody", 0.1, 120
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
        "loads", "integer", 2, "loads at once at full speed", 1, 1024
    ),
    "LOAD_S": Setting("loads", "number", 30.0, "longest load of an adapter", 0.1, 600),
    # policy
    "ROUTER": Setting("policy", "name", "affinity", "strategy: target of a request"),
    "PLACEMENT": Setting("policy", "name", "spread", "strategy: where to load"),
    "EVICTION": Setting("policy", "name", "popularity", "strategy: what to evict"),
    "LOAD_ORDER": Setting("policy", "name", "deadline", "strategy: order of loads"),
    "POPULARITY": Setting("policy", "name", "decayed", "strategy: popularity"),
    "FAST_HALF_LIFE_S": Setting(
        "policy", "number", 20.0, "half-life of the count that follows shifts", 1, 86400
    ),
    "SLOW_HALF_LIFE_S": Setting(
        "policy", "number", 120.0, "half-life of the steady count", 1, 864000
    ),
    "FAST_WEIGHT": Setting(
        "policy", "number", 0.2, "weight of the fast count beside the slow one", 0, 1
    ),
    "CHOICES": Setting("policy", "integer", 6, "targets weighed for a load", 1, 1024),
    "TARGET_FULL": Setting(
        "policy", "integer", 16, "requests that fill a step, if not told", 1, 4096
    ),
    "LOAD_BOUND": Setting(
        "policy", "number", 1.5, "work of a copy, times the mean, at most", 1, 100
    ),
    "COPY_RATE": Setting(
        "policy", "number", 4.0, "requests a second that one copy carries", 0.001, 1e4
    ),
    "COPY_DISCOUNT": Setting(
        "policy", "number", 0.05, "worth of a copy that has another", 0, 1
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
        "policy", "number", 5.0, "after this a load is as urgent as one due", 0, 600
    ),
    "PRIORITY_LEAD_S": Setting(
        "policy", "number", 0.25, "lead of a load per level of priority", 0, 600
    ),
    "WAITING_LEAD_S": Setting(
        "policy", "number", 1.0, "lead per doubling of waiting requests", 0, 600
    ),
    # requests
    "DEFAULT_DEADLINE_S": Setting(
        "requests", "number", 60.0, "deadline of a request that names none", 0.1, 3600
    ),
    "MAX_DEADLINE_S": Setting(
        "requests", "number", 300.0, "longest deadline that a caller may ask", 1, 3600
    ),
    "STREAM_SILENT_S": Setting(
        "requests", "number", 10.0, "longest silence of a target's stream", 0.1, 300
    ),
    "MAX_BODY_BYTES": Setting(
        "requests", "integer", 1 << 20, "largest request body", 64, 1 << 27
    ),
    "MAX_HEADERS": Setting("requests", "integer", 64, "most headers", 8, 1000),
    "MAX_CONNECTIONS": Setting(
        "requests", "integer", 2000, "most open caller connections", 1, 100000
    ),
    "CALLER_SILENT_S": Setting(
        "requests", "number", 60.0, "longest wait for a head, then a body", 0.1, 3600
    ),
    "MAX_OPEN_REQUESTS": Setting(
        "requests", "integer", 1000, "most requests at once on this VM", 1, 100000
    ),
    "SLOW_CALLER_S": Setting(
        "requests", "number", 20.0, "longest wait for a caller to read", 0.1, 600
    ),
    "GATHER_MS": Setting(
        "requests", "number", 4.0, "longest gathering of chunks before a write", 0, 50
    ),
    "RETRY_SHARE": Setting(
        "requests", "number", 0.1, "retries per first attempt, at most", 0, 1
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
        "claims", "number", 2.0, "longest gathering of claims before a write", 0, 100
    ),
    "MAX_OUTCOME_BYTES": Setting(
        "claims", "integer", 2048, "largest answer kept with a claim", 0, 65536
    ),
    # suspects
    "CRASHES_TO_QUARANTINE": Setting(
        "suspects", "integer", 2, "crashes that convict a request", 1, 10
    ),
    "QUARANTINE_S": Setting(
        "suspects", "number", 600.0, "how long a convicted request is refused", 1, 86400
    ),
    # entry
    "ENTRY_KEEP_S": Setting(
        "entry", "number", 10.0, "how long callers keep an entry answer", 0.1, 3600
    ),
    "ENTRY_ANSWERS": Setting("entry", "integer", 3, "addresses in an answer", 1, 64),
    "DRAIN_S": Setting(
        "entry", "number", 320.0, "longest drain after kept answers ran out", 0, 3600
    ),
    # logs
    "LOG_LEVEL": Setting(
        "logs",
        "choice",
        "INFO",
        "least level that is written",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    ),
    "LOG_FORMAT": Setting(
        "logs", "choice", "text", "form of a line", choices=("text", "json")
    ),
    "EVENT_RING": Setting("logs", "integer", 4096, "events kept in memory", 64, 1e6),
    # tls
    "TLS_CERTIFICATE": Setting("tls", "text", "", "PEM file towards callers"),
    "TLS_KEY": Setting("tls", "text", "", "PEM file of its private key"),
    "PEER_SECRET": Setting(
        "tls", "text", "", "secret that VMs prove to one another; empty: none"
    ),
}


@reader("text")
def _read_text(text: str, setting: Setting) -> str:
    return text


@reader("name")
def _read_name(text: str, setting: Setting) -> str:
    if not text or not all(char.isalnum() or char in "-_." for char in text):
        raise ValueError("letters, digits, '-', '_' and '.'")
    return text


@reader("address")
def _read_address(text: str, setting: Setting) -> str:
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = bool(separator) and 0 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("IP:PORT with an IP number")
    return text


@reader("optional_address")
def _read_optional_address(text: str, setting: Setting) -> str:
    return _read_address(text, setting) if text else text


@reader("number")
def _read_number(text: str, setting: Setting) -> float:
    return _bounded(float, text, setting)


@reader("integer")
def _read_integer(text: str, setting: Setting) -> int:
    return _bounded(int, text, setting)


@reader("choice")
def _read_choice(text: str, setting: Setting) -> str:
    if text not in setting.choices:
        raise ValueError("one of " + ", ".join(setting.choices))
    return text


def _bounded(convert, text: str, setting: Setting):
    allowed = f"a number from {setting.low} to {setting.high}"
    try:
        number = convert(text)
    except ValueError:
        raise ValueError(allowed) from None
    if not setting.low <= number <= setting.high:
        raise ValueError(allowed)
    return number


def default_settings(**overrides: Any) -> Settings:
    """Return the defaults with ``overrides`` by UPPER_CASE name, for embedding."""
    settings = {name: setting.default for name, setting in SETTINGS.items()}
    settings.update({name: {} for name in FREE_SECTIONS.values()})
    settings.update(overrides)
    return settings


def read_settings(path: str) -> Result[Settings, list[SettingError]]:
    """Read an INI file over the defaults and check the outcome.

    The error holds every fault of the file, not just the first.
    """
    # An empty default section can't be written in a file, so that [DEFAULT] is an
    # unknown section like any other and does not leak keys into all sections.
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        told = getattr(error, "strerror", None) or " ".join(str(error).split())
        fault = SettingError("", "", f"{path}: {told}", "a readable INI file")
        return Err([fault])
    settings = default_settings()
    errors = _read_sections(parser, settings)
    errors += _bad_operators(settings["OPERATORS"])
    told = {(error.section, error.key) for error in errors}
    errors += _missing(settings, told)
    errors += _misfits(settings, told)
    if errors:
        return Err(errors)
    return Ok(settings)


def configure_settings(settings: Settings) -> Result[Settings, list[SettingError]]:
    """Check what no single key shows: how the settings fit together."""
    errors = _bad_operators(settings["OPERATORS"])
    errors += _misfits(settings, told=set())
    if errors:
        return Err(errors)
    return Ok(settings)


# lesser, greater, factor: lesser * factor <= greater must hold.
# ORDER_S and LEASE_S need no row, nor LOAD_S: an order begins under a lease and may
# outlast it, since a successor waits out ORDER_S after the lease; a load that lands
# later still takes nothing from any request.
FITS = (
    ("LEASE_RENEW_S", "LEASE_S", 3),
    ("HEARTBEAT_S", "PEER_SILENT_S", 2),
    ("GRANT_RENEW_S", "GRANT_S", 2),
    ("DEFAULT_DEADLINE_S", "MAX_DEADLINE_S", 1),
    ("MAX_DEADLINE_S", "CLAIM_KEEP_S", 2),
)


def _misfits(settings: Settings, told: set) -> list[SettingError]:
    """Return what does not fit together, leaving out keys with an error ``told``."""
    errors = []
    for lesser, greater, factor in FITS:
        row = SETTINGS[lesser]
        places = {(row.section, lesser.lower())}
        places.add((SETTINGS[greater].section, greater.lower()))
        if places & told or settings[lesser] * factor <= settings[greater]:
            continue
        allowed = f"at most {greater.lower()} ({settings[greater]}) / {factor}"
        found = str(settings[lesser])
        errors.append(SettingError(row.section, lesser.lower(), found, allowed))
    if bool(settings["TLS_CERTIFICATE"]) != bool(settings["TLS_KEY"]):
        errors.append(SettingError("tls", "tls_key", "one", "both files or neither"))
    return errors


def _read_sections(parser, settings: Settings) -> list[SettingError]:
    known = {row.section for row in SETTINGS.values()}
    errors = []
    for section in parser.sections():
        if section in FREE_SECTIONS:
            settings[FREE_SECTIONS[section]] = dict(parser[section])
            continue
        if section not in known:
            allowed = "one of " + ", ".join(sorted(known | set(FREE_SECTIONS)))
            errors.append(SettingError(section, "", "an unknown section", allowed))
            continue
        for key, text in parser[section].items():
            errors += _read_key(section, key, text, settings)
    return errors


def _read_key(section, key, text, settings: Settings) -> list[SettingError]:
    row = SETTINGS.get(key.upper())
    if row is None or row.section != section:
        names = [n.lower() for n, r in SETTINGS.items() if r.section == section]
        return [SettingError(section, key, "an unknown key", ", ".join(names))]
    try:
        settings[key.upper()] = READERS[row.kind](text, row)
    except ValueError as error:
        return [SettingError(section, key, text, str(error))]
    return []


def _bad_operators(operators: dict[str, str]) -> list[SettingError]:
    """Return the operators whose public key can't be one.

    Checked here, so that a mistyped key is told with all other errors and does not
    end the daemon while it starts.
    """
    errors = []
    for name, text in operators.items():
        if check_operators({name: text}):
            allowed = "a public key, as `hawthornlead keys show FILE` prints it"
            errors.append(SettingError("operators", name, text, allowed))
    return errors


def _missing(settings: Settings, told: set) -> list[SettingError]:
    errors = []
    for name, row in SETTINGS.items():
        if settings[name] is not None or (row.section, name.lower()) in told:
            continue
        errors.append(SettingError(row.section, name.lower(), "nothing", row.text))
    return errors
