"""The VMs to which a VM relays requests, and what passes between the two.

A VM that reaches no target of a service has another VM serve its requests. That one
treats a request as one of its own callers': it checks the key, charges the quota,
places the request and sends it. It relays none further. If it can't take the request it
says so, and another VM is asked. Any other answer of it is final::

    vm = relay_vms.choose("bulletins", tried=set())
    opened = await relay_vms.connections.open(relay_vms.address(vm))
"""

from enum import Enum
from random import Random
from typing import NamedTuple

from tornado import httputil

from ..provenance.origin_tables import StreamOrigin
from ..timers import TimerService
from .caller_calls import CallerCall
from .memberships import Memberships
from .target_connections import TargetConnections

# Headers between two VMs. The configuration that the sender has in force, how many
# attempts it sent to targets and how many of them may have run, the service and the
# software version at which a stream began, and that the receiver didn't take the
# request.
CONFIGURATION = "Relay-Configuration"
SENT = "Relay-Sent"
RAN = "Relay-Ran"
SERVICE = "Relay-Service"
SOFTWARE = "Relay-Software"
NOT_TAKEN = "Relay-Not-Taken"
# For how long a VM that didn't take a request is asked for no other.
NOT_TAKEN_TTL_S = 0.5


class RelayOutcome(Enum):
    """The outcome of relaying a request."""

    DONE = "done"
    LEFT = "the caller left"
    NOT_TAKEN = "taken by no VM"
    LOST = "may have run"
    BROKEN = "broken off within the answer"
    LATE = "the deadline passed"


class RelayOrigin(NamedTuple):
    """What the sending VM says of a relayed request.

    ``sent`` counts the attempts that it sent to targets, ``ran`` those that may have
    run. ``configuration`` is the version in force there. ``stream`` is where the
    request's stream began, None if it may begin anywhere.
    """

    configuration: int
    sent: int
    ran: int
    stream: StreamOrigin | None = None


def pop_origin(headers: httputil.HTTPHeaders) -> RelayOrigin:
    """Remove what the sending VM added to a request's headers, and return it."""
    numbers = []
    for name in (CONFIGURATION, SENT, RAN):
        value = headers.get(name, "")
        numbers.append(int(value) if value.isascii() and value.isdigit() else 0)
        if name in headers:
            del headers[name]
    stream = StreamOrigin(headers.pop(SERVICE, ""), headers.pop(SOFTWARE, ""))
    return RelayOrigin(*numbers, stream if stream.software else None)


def refuse_relayed(call: CallerCall) -> None:
    """Answer another VM that this one doesn't take its request, which has not run."""
    headers = httputil.HTTPHeaders({NOT_TAKEN: "1"})
    call.answer(503, "Service Unavailable", headers, b"")


class RelayVms:
    """The VMs that may take requests of this one, and the connections to them."""

    def __init__(self, *, memberships: Memberships, timers: TimerService, rng: Random):
        self._memberships = memberships
        self._timers = timers
        self._rng = rng
        self._not_taken_until: dict[tuple[str, str], float] = {}
        self.connections = TargetConnections(timers=timers)

    def choose(self, service: str, tried: set[str]) -> str | None:
        """Return a live VM that probably reaches a service, None if there is none.

        VMs are chosen at random, so that a whole data centre without paths to targets
        spreads its requests over all the others.
        """
        now = self._timers.now()
        candidates = []
        for vm in self._memberships.relay_vms():
            if vm in tried or self._not_taken_until.get((vm, service), 0.0) > now:
                continue
            candidates.append(vm)
        return self._rng.choice(candidates) if candidates else None

    def address(self, vm: str) -> str:
        """Return the address for relayed requests of a VM, empty if it has none."""
        record = self._memberships.record_of(vm)
        return record.relay_address if record is not None else ""

    def is_reachable(self, vm: str) -> bool:
        """Whether a VM was recently seen."""
        return self._memberships.is_reachable(vm)

    def record_not_taken(self, vm: str, service: str) -> None:
        """Record that a VM didn't take a request for a service."""
        until = self._timers.now() + NOT_TAKEN_TTL_S
        self._not_taken_until[(vm, service)] = until
