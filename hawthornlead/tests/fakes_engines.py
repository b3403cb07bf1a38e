"""A target in the test process, with a record that shows wrong evictions."""

import asyncio
from collections import deque

from result import Err, Ok

from hawthornlead.engines.grant_ledgers import AdapterVersion
from hawthornlead.engines.targets import Health, Order, OrderReply, Report
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.messages import Resident


class FakeEngine:
    """Slots and runs of a model engine, on the world's clock plus an offset.

    ``violations`` lists evictions under a running request. ``loading`` is the number
    of running loads.
    """

    def __init__(self, timers, *, slots=1, fencing=True, load_s=0.2):
        self.timers = timers
        self.slots = slots
        self.fencing = fencing
        self.load_s = load_s
        self.boots = 1
        self.report_lag_s = 0.0
        self.fail_loads = 0
        self.lose_replies = 0
        self.down = False
        self.highest_fence = 0
        self.running: dict[str, AdapterVersion] = {}
        self.residents: set[AdapterVersion] = set()
        self.loading = 0
        self.loads: list[AdapterVersion] = []
        self.orders: list[tuple] = []
        self.violations: list[str] = []
        self._started_at = timers.now() - 5e4
        self._snapshots = deque(maxlen=2000)
        self.snapshot()

    @property
    def boot_id(self):
        """The boot id of the current incarnation."""
        return f"boot-{self.boots}"

    def now(self):
        """The engine's own clock, which restarts with each incarnation."""
        return self.timers.now() - self._started_at

    def snapshot(self):
        """Record the state for reports that lag."""
        residents = []
        for key in sorted(self.residents):
            running = list(self.running.values()).count(key)
            residents.append(Resident(key.adapter, key.version, running))
        state = (self.now(), len(self.running), tuple(residents))
        self._snapshots.append(state)

    def start(self, request_id, key):
        """Start a request; False is a refusal, so nothing ran."""
        if self.down or key not in self.residents:
            return False
        self.running[request_id] = key
        self.snapshot()
        return True

    def end(self, request_id):
        """End a request; False if an eviction broke it before."""
        ended = self.running.pop(request_id, None) is not None
        self.snapshot()
        return ended

    def restart(self):
        """Restart with empty slots and no fencing number."""
        self.boots += 1
        self._started_at = self.timers.now()
        self.highest_fence = 0
        self.running.clear()
        self.residents.clear()
        self._snapshots.clear()
        self.snapshot()

    def report(self):
        """The report as it was ``report_lag_s`` ago."""
        as_of = self.now() - self.report_lag_s
        shown = (as_of, 0, ())
        for snapshot in self._snapshots:
            if snapshot[0] > as_of:
                break
            shown = snapshot
        return Report(self.boot_id, as_of, self.slots, 8, shown[1], 0, shown[2], 0, 0.0)

    async def carry_out(self, op, fence, key):
        """Carry out an order that has arrived."""
        self.orders.append((op, fence, key))
        if self.fencing and fence < self.highest_fence:
            return Err(Failure(ErrorKind.STALE_FENCE, "stale"))
        self.highest_fence = max(self.highest_fence, fence)
        if op is Order.EVICT:
            return self._evict(key)
        if op is Order.LOAD:
            return await self._load(key)
        return Ok(None)

    def _evict(self, key):
        if key not in self.residents:
            return Err(Failure(ErrorKind.NOT_FOUND, "not resident"))
        for request_id, used in list(self.running.items()):
            if used == key:
                self.violations.append(f"{key} evicted under {request_id}")
                del self.running[request_id]
        self.residents.discard(key)
        self.snapshot()
        return Ok(None)

    async def _load(self, key):
        if key in self.residents:
            return Ok(None)
        if len(self.residents) + self.loading >= self.slots:
            return Err(Failure(ErrorKind.NO_SLOT, "no free slot"))
        self.loading += 1
        boot = self.boots
        try:
            await self.timers.sleep(self.load_s)
        finally:
            self.loading -= 1
        if boot != self.boots:
            return Err(Failure(ErrorKind.TARGET_LOST, "restarted"))
        if self.fail_loads:
            self.fail_loads -= 1
            return Err(Failure(ErrorKind.LOAD_FAILED, "failed partway"))
        self.residents.add(key)
        self.loads.append(key)
        self.snapshot()
        return Ok(None)


class FakeTargetClient:
    """One VM's client of a ``FakeEngine``.

    ``awake`` is awaited before bytes are sent and after an answer came, so that a
    frozen VM neither sends nor receives. ``freeze_before_check`` is awaited while it
    connects, ``freeze_after_check`` between the last check of the right and the write.
    """

    def __init__(self, engine, awake):
        self._engine = engine
        self._awake = awake
        self.freeze_before_check = None
        self.freeze_after_check = None
        # Seconds until the next eviction is written, and then until it takes effect;
        # its sender abandons it at its timeout.
        self.late_evict: tuple[float, float] | None = None
        self._late: set[asyncio.Task] = set()
        self.cut = False

    async def order(
        self, op, fence, adapter, version, base_model, timeout_s, still_allowed
    ):
        """Send one order."""
        await self._awake()
        if self.cut or self._engine.down:
            return Err(Failure(ErrorKind.TARGET_UNREACHABLE, "down"))
        if self.freeze_before_check is not None:
            await self.freeze_before_check(op)
        late = None
        if op is Order.EVICT and self.late_evict is not None:
            late, self.late_evict = self.late_evict, None
            await self._engine.timers.sleep(late[0])
        if not still_allowed():
            return Err(Failure(ErrorKind.NO_GRANT, "the right ended"))
        if late is not None:
            self._evict_late(late[1], fence, AdapterVersion(adapter, version))
            await self._engine.timers.sleep(timeout_s - late[0])
            return Err(Failure(ErrorKind.TARGET_LOST, "no answer in time"))
        if self.freeze_after_check is not None:
            await self.freeze_after_check(op)
        key = AdapterVersion(adapter, version)
        outcome = await self._engine.carry_out(op, fence, key)
        await self._awake()
        if self._engine.lose_replies and op is not Order.FENCE:
            self._engine.lose_replies -= 1
            return Err(Failure(ErrorKind.TARGET_LOST, "no answer"))
        if isinstance(outcome, Err):
            return outcome
        return Ok(OrderReply(self._engine.now(), self._engine.boot_id))

    def _evict_late(self, seconds, fence, key):
        async def carry_out_later():
            await self._engine.timers.sleep(seconds)
            await self._engine.carry_out(Order.EVICT, fence, key)

        task = asyncio.get_running_loop().create_task(carry_out_later())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def report(self):
        """Read the report."""
        await self._awake()
        if self.cut or self._engine.down:
            return Err(Failure(ErrorKind.TARGET_UNREACHABLE, "down"))
        return Ok(self._engine.report())

    async def health(self):
        """Probe."""
        await self._awake()
        if self.cut or self._engine.down:
            return Err(Failure(ErrorKind.TARGET_UNREACHABLE, "down"))
        return Ok(Health(self._engine.boot_id, self._engine.now()))
