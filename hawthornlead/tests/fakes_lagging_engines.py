"""An engine with lagging reports in played time, and requests for its adapters."""

import asyncio
from random import Random

from result import Err

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventKind
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.records import OrderKind, OrderOutcome

from .fakes_clocks import PlayedTimers
from .fakes_owned_engines import Bed, FakeEngine

FETCH_S = 0.288
REPEATED_S = 0.029
REMEMBERED = 48
ORDER_S = 0.003
# From an owner's reply to the arrival of the request at the engine.
SEND_S = 0.005
BACKOFF_S = 0.05
RUN_S = 0.6


class LaggingEngine(FakeEngine):
    """Reports what it held ``lag_s`` ago; a fetch takes ``slowdown`` times as long.

    While ``reporting`` is False no report is answered. Of the orders, ``mute_share``
    are carried out without an answer, and of the others ``lost_share`` never arrive.
    """

    def __init__(self, lag_s, rng):
        super().__init__()
        self.lag_s = lag_s
        self.slowdown = 1.0
        self.reporting = True
        self.mute_share = 0.0
        self.lost_share = 0.0
        self.reports = 0
        self._rng = rng
        self._recent = {}
        self._states = []
        self._keep()

    def _keep(self):
        state = (self.count, dict(self.held), dict(self.arriving))
        now = asyncio.get_running_loop().time()
        self._states.append((now, state))

    async def report(self, address, target):
        """Report the state of ``lag_s`` ago."""
        self.reports += 1
        await asyncio.sleep(ORDER_S)
        if not self.reporting:
            return Err(Failure(ErrorKind.TARGET_LOST, "no report"))
        due = asyncio.get_running_loop().time() - self.lag_s
        past = [state for at, state in self._states if at <= due]
        shown = past[-1] if past else self._states[0][1]
        del self._states[: max(0, len(past) - 1)]
        current = self.count, self.held, self.arriving
        self.count, self.held, self.arriving = shown
        read = await super().report(address, target)
        self.count, self.held, self.arriving = current
        return read

    async def order(self, address, target, order, allowed, timeout_s=0.1):
        """Take an order, and answer it unless it is muted or lost."""
        await asyncio.sleep(ORDER_S / 2)
        if self._rng.random() < self.lost_share:
            await asyncio.sleep(timeout_s)
            return OrderOutcome.UNKNOWN
        muted = self._rng.random() < self.mute_share
        outcome = await super().order(address, target, order, allowed)
        if muted:
            await asyncio.sleep(timeout_s)
            return OrderOutcome.UNKNOWN
        await asyncio.sleep(ORDER_S / 2)
        return outcome

    def carry_out(self, order):
        """Carry out an order if its count is valid."""
        if order.kind is OrderKind.UNLOAD or order.order_count != self.count:
            outcome = super().carry_out(order)
            self._keep()
            return outcome
        self.count += 1
        name = order.adapter
        base_s = REPEATED_S if name in self._recent else FETCH_S
        self._recent.pop(name, None)
        self._recent[name] = None
        while len(self._recent) > REMEMBERED:
            del self._recent[next(iter(self._recent))]
        self.arriving[name] = order.version or 1
        self.most = max(self.most, len(self.held.keys() | self.arriving.keys()))
        fetch_s = base_s * self.slowdown * self._rng.uniform(0.98, 1.03)
        loop = asyncio.get_running_loop()
        loop.call_later(fetch_s, self._arrive, name, self.starts)
        self._keep()
        return OrderOutcome.STARTED

    def _arrive(self, adapter, start):
        super()._arrive(adapter, start)
        self._keep()


class Load:
    """What one request met: its times in seconds since it was sent to the owner."""

    def __init__(self, at, repeated):
        self.at = at
        self.repeated = repeated
        self.absent = False
        self.early = 0
        self.started_s = None


class LaggingBed(Bed):
    """An owner of a lagging engine, and requests that load adapters and run."""

    def __init__(self, lag_s, learned=True, seed=1):
        self.rng = Random(seed)
        engine = LaggingEngine(lag_s, self.rng)
        super().__init__(engine, learned, PlayedTimers())
        self.loads = []
        # The fields of the events that report ready adapters.
        self.ready = []
        self.events.emit = self._keep_event

    def _keep_event(self, kind, subject, **fields):
        if kind is EventKind.ADAPTER_READY:
            self.ready.append(fields)

    async def play(self, seconds, per_s=2.5, adapters=400):
        """Send requests for random adapters, and return what they met."""
        first = len(self.loads)
        running = []
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            await asyncio.sleep(self.rng.expovariate(per_s))
            name = f"a{self.rng.randrange(adapters)}"
            running.append(asyncio.create_task(self.request(name)))
        await asyncio.gather(*running)
        return self.loads[first:]

    async def request(self, name):
        """Send one request as a VM does, with one retry if it is too early."""
        load = Load(self.timers.now(), name in self.engine._recent)
        load.absent = name not in self.engine.held
        self.loads.append(load)
        key = AdapterKey("tide", name)
        for _ in range(2):
            loaded = await self.load(name)
            if loaded.is_err():
                return load
            await asyncio.sleep(SEND_S)
            if name in self.engine.held:
                load.started_s = self.timers.now() - load.at
                await self._run(key)
                return load
            load.early += 1
            self.owner.on_adapter_missing(key)
            await asyncio.sleep(BACKOFF_S)
        return load

    async def _run(self, key):
        """Run a request, which its VM announces."""
        using = self.in_use.adapters
        using[key] = using.get(key, 0) + 1
        await asyncio.sleep(RUN_S)
        using[key] -= 1
        if not using[key]:
            del using[key]
