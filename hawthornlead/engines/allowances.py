"""The load allowance of a weight store: limits the loads of all VMs together.

The VM that owns ``allowance:WEIGHT_STORE`` is its holder and issues one ``Permit`` per
load. It keeps to ``LOADS_PER_S`` over any window of time and to ``LOADS_AT_ONCE``
concurrent loads. A permit ends when its load is reported to have ended, or when the
longest possible load is over.

**Change of holder.** A new holder does not know its predecessor's permits, so it
issues none until all of them have expired. That costs ``LOAD_S`` without new loads.
Running loads and requests for resident adapters go on.

**Outage.** A holder whose lease lapsed during a store outage may have a successor that
it cannot learn of. A holder whose predecessor is not proved to have stopped may have
such a predecessor. Each of the two issues half: half of the concurrent loads, rounded
down, and half of the rate, so that together they keep to the whole. With
``LOADS_AT_ONCE`` = 1 the half is still one load, and two holders can run two at once.
So can a third holder that follows two which were each cut off without proof that they
stopped.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..decisions.load_orders import LoadOrder, LoadRequest
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..mesh.casts import send
from ..messages import AcquireLoad, Done, Failed, LoadPermit, ReleaseLoad
from ..ownership.owners import OrderRight
from ..waits import Signal
from .grant_ledgers import AdapterVersion
from .load_pacers import LoadPacer

# A load must start within this time of its permit.
START_TIMEOUT_S = 2.0


def allowance_resource(weight_store: str) -> str:
    """Name the resource that the holder of an allowance owns."""
    return f"allowance:{weight_store}"


class Permit(NamedTuple):
    """Permission to start one load.

    ``start_by`` and ``ends_at`` are on the requester's clock.
    """

    permit_id: str
    weight_store: str
    holder_vm: str
    start_by: float
    ends_at: float


class _Waiter:
    """A request that waits for its permit, woken by ``changed``."""

    def __init__(self, request: LoadRequest):
        self.request = request
        self.changed = Signal()


class LoadAllowance:
    """The allowance of one weight store, at its holder.

    The first permit waits until the predecessor's permits have expired.
    """

    def __init__(
        self,
        *,
        core: CoreParts,
        owners,
        order: LoadOrder,
        weight_store: str,
        ownership,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._invariants = core.invariants
        self._rng = core.rng
        self._owners = owners
        self._order = order
        self._weight_store = weight_store
        self._ownership = ownership
        self._stopped = False
        self._permits_end_at: dict[str, float] = {}
        self._pacer = LoadPacer()
        self._waiters: list[_Waiter] = []
        self._opens_at = ownership.taken_at
        if ownership.predecessor or ownership.fence > 1:
            self._opens_at += self._permit_lifetime_s()

    @property
    def outstanding(self) -> int:
        """How many permits have not ended."""
        self._expire_permits()
        return len(self._permits_end_at)

    @property
    def opens_at(self) -> float:
        """When the first permit may be issued."""
        return self._opens_at

    def stop(self) -> None:
        """Issue no more permits; all that wait are refused."""
        self._stopped = True
        self._wake_waiters()

    async def acquire(self, permit_request: AcquireLoad) -> Result[LoadPermit, Failure]:
        """Wait ``permit_request.wait_s`` at most for a permit, or refuse at once."""
        requested_at = self._timers.now()
        deadline_at = requested_at + permit_request.wait_s
        expected_s = self.expected_wait_s()
        if expected_s > permit_request.wait_s:
            return self._refusal("too many loads wait for the weight store", expected_s)
        waiter = _Waiter(
            LoadRequest(
                permit_request.adapter,
                permit_request.version,
                permit_request.priority,
                deadline_at,
                requested_at,
                permit_request.waiting,
            )
        )
        self._waiters.append(waiter)
        try:
            while True:
                if self._right() is OrderRight.NONE:
                    failure = Failure(ErrorKind.NO_GRANT, "not the allowance's holder")
                    return Err(failure)
                now = self._timers.now()
                if now >= deadline_at:
                    return self._refusal("no permit in time", self.expected_wait_s())
                delay = self._delay_s()
                if delay <= 0 and self._next_waiter() is waiter:
                    return Ok(self._issue(now - requested_at))
                delay = min(deadline_at - now, max(delay, 0.001))
                await waiter.changed.wait(self._timers, delay)
        finally:
            self._waiters.remove(waiter)
            self._wake_waiters()

    def release(self, permit_id: str, loaded: bool) -> None:
        """End a permit, whether its load succeeded or not."""
        self._pacer.record_end(permit_id, self._timers.now(), loaded)
        if self._permits_end_at.pop(permit_id, None) is not None:
            self._update_gauge()
            self._wake_waiters()

    def expected_wait_s(self) -> float:
        """Estimate how long a new requester would wait, from the queue and the rate."""
        opening = max(0.0, self._opens_at - self._timers.now())
        return opening + len(self._waiters) / self._rate()

    def _right(self) -> OrderRight:
        if self._stopped:
            return OrderRight.NONE
        owned = self._owners.owned(allowance_resource(self._weight_store))
        if owned is None or owned.fence != self._ownership.fence:
            return OrderRight.NONE
        return self._owners.right(allowance_resource(self._weight_store), 0.0)

    def _is_halved(self) -> bool:
        if self._right() is not OrderRight.FULL:
            return True
        owned = self._owners.owned(allowance_resource(self._weight_store))
        # Read each time: the proof that a predecessor stopped may come later.
        return owned is None or not owned.predecessor_stopped

    def _rate(self) -> float:
        share = 0.5 if self._is_halved() else 1.0
        return self._settings["LOADS_PER_S"] * share

    def _max_concurrent(self) -> int:
        full_limit = self._settings["LOADS_AT_ONCE"]
        return max(1, full_limit // 2) if self._is_halved() else full_limit

    def _permit_lifetime_s(self) -> float:
        error = self._settings["CLOCK_RATE_ERROR"]
        return (START_TIMEOUT_S + self._settings["LOAD_S"]) * (1 + 2 * error)

    def _delay_s(self) -> float:
        """Return how long until a permit may be issued, by what is known now."""
        self._expire_permits()
        now = self._timers.now()
        delay = self._opens_at - now
        if len(self._permits_end_at) >= self._max_concurrent():
            delay = max(delay, min(self._permits_end_at.values()) - now)
        # At most `loads` starts in any `window_s` seconds. So LOADS_AT_ONCE loads may
        # start together after an idle time, without exceeding the rate.
        loads = max(1, int(self._rate()))
        window_s = loads / self._rate()
        return max(delay, self._pacer.delay_s(loads, window_s, now))

    def _issue(self, waited_s: float) -> LoadPermit:
        now = self._timers.now()
        permit_id = f"{self._ownership.fence}-{self._rng.getrandbits(64):016x}"
        self._permits_end_at[permit_id] = now + self._permit_lifetime_s()
        self._pacer.record_permit(permit_id, now)
        self._invariants.check(
            "allowance-not-exceeded",
            len(self._permits_end_at) <= self._settings["LOADS_AT_ONCE"]
            and now >= self._opens_at,
            f"{self._weight_store} out={len(self._permits_end_at)}",
        )
        self._update_gauge()
        return LoadPermit(permit_id, waited_s + START_TIMEOUT_S)

    def _next_waiter(self) -> _Waiter:
        return min(self._waiters, key=lambda waiter: self._order.key(waiter.request))

    def _expire_permits(self) -> None:
        now = self._timers.now()
        for permit_id, ends_at in list(self._permits_end_at.items()):
            if now >= ends_at:
                del self._permits_end_at[permit_id]
                self._pacer.record_end(permit_id, now, loaded=False)

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            waiter.changed.fire()

    def _update_gauge(self) -> None:
        gauge = self._metrics.load_permits.labels(self._weight_store)
        gauge.set(len(self._permits_end_at))

    def _refusal(self, detail: str, retry_after_s: float) -> Err[Failure]:
        return Err(Failure(ErrorKind.OVERLOADED, detail, retry_after_s))


class Allowances:
    """Both sides of load allowances on one VM: those it holds, and its requests."""

    def __init__(
        self,
        *,
        core: CoreParts,
        mesh,
        owners,
        order: LoadOrder,
    ):
        self._core = core
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._invariants = core.invariants
        self._rng = core.rng
        self._mesh = mesh
        self._owners = owners
        self._order = order
        self._held: dict[str, LoadAllowance] = {}

    def start(self) -> None:
        """Start to answer requests for the allowances that this VM owns."""
        self._mesh.on(AcquireLoad, self._on_acquire)
        self._mesh.on(ReleaseLoad, self._on_release)

    async def stop(self) -> None:
        """Stop holding allowances."""
        for weight_store in list(self._held):
            self.on_lost(allowance_resource(weight_store))

    def on_taken(self, ownership) -> None:
        """Start to hold an allowance that this VM now owns."""
        weight_store = ownership.resource.partition(":")[2]
        self.on_lost(ownership.resource)
        self._held[weight_store] = LoadAllowance(
            core=self._core,
            owners=self._owners,
            order=self._order,
            weight_store=weight_store,
            ownership=ownership,
        )
        self._events.emit(
            EventKind.ALLOWANCE_OWNED, weight_store, fence=ownership.fence
        )

    def on_lost(self, resource: str) -> None:
        """Stop holding an allowance that this VM no longer owns."""
        weight_store = resource.partition(":")[2]
        allowance = self._held.pop(weight_store, None)
        if allowance is None:
            return
        allowance.stop()
        self._events.emit(EventKind.ALLOWANCE_GIVEN_UP, weight_store)

    async def acquire(
        self,
        weight_store: str,
        target: str,
        key: AdapterVersion,
        priority: int,
        wait_s: float,
        waiting: int = 1,
    ) -> Result[Permit, Failure]:
        """Request a permit for one load from the allowance's holder.

        ``waiting`` counts the requests that wait for the load, 0 for a prefetch.
        """
        owner = self._owners.owner_of(allowance_resource(weight_store))
        if owner is None:
            detail = f"the load allowance of {weight_store} has no owner"
            return Err(Failure(ErrorKind.NO_GRANT, detail, retry_after_s=1.0))
        # Read before the request is sent, so before the holder starts to count.
        sent_at = self._timers.now()
        permit_request = AcquireLoad(
            weight_store, target, key.adapter, key.version, priority, wait_s, waiting
        )
        reply = await self._mesh.call(
            owner.vm, permit_request, timeout_s=wait_s + self._settings["PEER_CALL_S"]
        )
        if isinstance(reply, Err):
            return reply
        permit = reply.ok_value
        error = self._settings["CLOCK_RATE_ERROR"]
        start_by = sent_at + permit.start_within_s * (1 - 2 * error)
        return Ok(
            Permit(
                permit.permit_id,
                weight_store,
                owner.vm,
                start_by,
                start_by + self._settings["LOAD_S"],
            )
        )

    def release(self, permit: Permit, *, loaded: bool) -> None:
        """Report to the holder that a permit's load has ended or never started.

        If the message is lost, the permit expires by itself.
        """
        message = ReleaseLoad(permit.weight_store, permit.permit_id, loaded)
        send(self._mesh, permit.holder_vm, message)

    async def _on_acquire(self, sender, permit_request: AcquireLoad):
        allowance = self._held.get(permit_request.weight_store)
        if allowance is None:
            return Failed(ErrorKind.NO_GRANT.value, "not the allowance's holder", 0.5)
        outcome = await allowance.acquire(permit_request)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            return Failed(failure.kind.value, failure.detail, failure.retry_after_s)
        return outcome.ok_value

    async def _on_release(self, sender, message: ReleaseLoad):
        allowance = self._held.get(message.weight_store)
        if allowance is not None:
            allowance.release(message.permit_id, message.loaded)
        return Done()
