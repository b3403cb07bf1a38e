"""A stand-in of a target that restarts under its id, and whose answers go astray.

What belongs to one start is an ``Incarnation``; the id, the address and orders that
are still on their way outlive it::

    target = RestartingTarget("e1", "llm", around, link, model=MODEL)
    await target.begin()
    target.crash()
    await target.begin()
"""

import asyncio
import json
import time
from random import Random
from typing import Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from hawthornlead.gateway.caller_calls import CallerCall, CallerDispatcher

from ..soak_gateway_records import Journal, OrderSeen, SoftwareStart
from ..soak_links import Link
from .incarnations import Incarnation
from .repeated_answers import RepeatedAnswers
from .target_runs import LOST_ANSWER_S, Notice, Runs, answer
from .troubled_store import Fare, TroubledStore

HEARTBEAT_S = 1.2
MISSED_BEATS = 3
# How long a target's entry outlives it while the store is away.
STALE_S = 6.0
LATE_ORDER_S = (2.0, 12.0)
OVERLOADED_S = 1.0
CRASHED_S = 1.0


class Surroundings(NamedTuple):
    """What all targets share; ``names`` tells which VM calls from an address."""

    store: TroubledStore
    journal: Journal
    names: dict[str, str]
    rng: Random
    newest: dict[str, int]


class RestartingTarget:
    """One target, over all its starts."""

    def __init__(
        self,
        target: str,
        service: str,
        around: Surroundings,
        link: Link,
        model: str = "",
        slots: int = 6,
        software: str = "v1",
    ):
        self._around = around
        self._model = model
        self._slots = slots
        self._server: HTTPServer | None = None
        self._beats = 0
        self._heard_at = 0.0
        self._beating: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._listed = True
        self._spoilt: Any = None
        self._runs = Runs(target, service, around.journal, around.names, around.rng)
        self.target = target
        self.service = service
        self.link = link
        # The version that it runs from its next start on.
        self.software = software
        self.state = "ready"
        self.now: Incarnation | None = None
        self.silent = False
        self.late_orders = 0
        self.mute_orders = 0

    @property
    def next_faults(self):
        """How the next requests fare; see ``Runs``."""
        return self._runs.next_faults

    @property
    def repeats(self) -> RepeatedAnswers:
        """Which answers it sends a second time."""
        return self._runs.repeats

    def say(self, notice: str, amount: float) -> None:
        """Say something of itself in all answers from now on; see ``Told``."""
        self._runs.notice = Notice(notice, amount, time.monotonic())

    def say_nothing(self) -> None:
        """Say nothing of itself any more."""
        self._runs.notice = None

    # Its life

    async def begin(self) -> None:
        """Start, empty, at the address of its link, unless it runs already."""
        if self.now is not None and not self.now.over:
            return
        earlier_ms = self.now.started_ms if self.now else 0
        started_ms = max(time.time_ns() // 1_000_000, earlier_ms + 1)
        own = self.now = Incarnation(
            self.target,
            started_ms,
            self._model,
            self._slots,
            self._around.journal,
            self._around.rng,
            self.software,
        )
        self._around.journal.software.append(
            SoftwareStart(self.target, self.service, self.software, time.monotonic())
        )
        self.state, self._listed, self._spoilt = "ready", True, None
        self.say_nothing()
        self._server = HTTPServer(
            CallerDispatcher(lambda call: self._handle(call, own), lambda: 0.0)
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        self.link.upstream = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        await self.link.restart()
        if earlier_ms:
            # It serves before its entry says that it is another start.
            self._spawn(self._publish_late(own))
        else:
            self._publish()
        self._spawn(self._restart_if_overloaded(own))
        self._spawn(self._restart_if_crashed(own))
        if self._beating is None:
            self._beating = self._spawn(self._beat())

    def crash(self) -> None:
        """End at once; the entry stays until its heartbeats are missed."""
        ended, server = self.now, self._server
        if ended is None or ended.over:
            return
        ended.over = True
        ended.awake.set()
        self.link.refuse()
        self.link.reset()
        server.stop()
        self._spawn(server.close_all_connections())

    def leave(self) -> None:
        """End, and take the entry along."""
        self.unlist()
        self.crash()

    def drain(self) -> None:
        """Tell by the entry that it takes no more."""
        self.state = "draining"
        self._publish()

    def unlist(self) -> None:
        """Take the entry away and live on."""
        self._listed = False
        self._remove()

    def relist(self) -> None:
        """Bring the entry back."""
        self._listed = True
        self._publish()

    def spoil(self, spec: Any) -> None:
        """Have another writer put something else in the entry; None ends it."""
        self._spoilt = spec
        self._publish()

    async def stop(self) -> None:
        """End all, at the end of the soak."""
        self.crash()
        for task in tuple(self._tasks):
            task.cancel()

    async def _restart_if_crashed(self, own: Incarnation) -> None:
        """Crash under a prompt, and start again unless a fault ends it meanwhile."""
        await own.crashing.wait()
        if own.over:
            return
        with self._around.journal.trouble("prompt-crash", self.target):
            self.crash()
            await asyncio.sleep(CRASHED_S)
            if own is self.now and self._listed:
                await self.begin()

    async def _restart_if_overloaded(self, own: Incarnation) -> None:
        await own.overloaded.wait()
        if own is self.now:
            self.crash()
            await asyncio.sleep(OVERLOADED_S)
            await self.begin()

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Its entry

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S * self._around.rng.uniform(0.8, 1.2))
            lives = not self.now.over and self.now.awake.is_set() and not self.silent
            reached = self._around.store.fare not in (Fare.DOWN, Fare.SILENT)
            if lives and reached:
                self._publish()
                continue
            missed_s = time.monotonic() - self._heard_at
            least_s = MISSED_BEATS * HEARTBEAT_S if reached else STALE_S
            if missed_s > least_s:
                self._remove()

    async def _publish_late(self, own: Incarnation) -> None:
        await asyncio.sleep(self._around.rng.uniform(0, HEARTBEAT_S))
        if own is self.now and not own.over:
            self._publish()

    def _publish(self) -> None:
        if not self._listed:
            return
        self._beats += 1
        self._heard_at = time.monotonic()
        spec = self.entry() if self._spoilt is None else self._spoilt
        self._around.store.write("servers", self.target, spec)
        if self.state == "ready" and self._spoilt is None:
            self._around.journal.back(self.target)
        else:
            self._around.journal.gone(self.target)

    def _remove(self) -> None:
        self._around.store.remove("servers", self.target)
        self._around.journal.gone(self.target)

    def entry(self) -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.link.address,
            "zone": "gijon",
            "version": self.now.software,
            "slots": self._slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "models": self.now.held(),
            "seq": self._beats,
            "born": self.now.started_ms,
        }

    # What it answers

    async def _handle(self, call: CallerCall, own: Incarnation) -> None:
        await own.awake.wait()
        if own.over:
            return
        self.repeats.watch(call)
        expected = call.headers.get("Expect-Instance", self.target)
        if expected != self.target:
            answer(call, 421, b"", {"Instance-Id": self.target})
        elif call.path == "/health":
            answer(call, 200, b"", {"Instance-Id": self.target})
        elif call.path == "/v1/report":
            answer(call, 200, json.dumps(own.report()).encode(), {})
        elif call.path == "/v1/order":
            await self._order(call, own)
        else:
            await self._runs.request(call, own)

    async def _order(self, call: CallerCall, own: Incarnation) -> None:
        order = json.loads(call.body)
        late = self.late_orders > 0
        self.late_orders -= late
        found, status = own.order_count, 0
        if late:
            self._spawn(self._carry_out_late(order))
        else:
            status = own.carry_out(order, self._around.newest)
        seen = OrderSeen(
            time.monotonic(),
            self.target,
            own.started_ms,
            self._around.names.get(call._connection.context.remote_ip, "?"),
            order.get("holder", ""),
            order.get("fence", -1),
            f"{order.get('op')} {order.get('adapter', '')}",
            order.get("precondition", -1),
            found,
            status,
            late,
        )
        self._around.journal.orders.append(seen)
        if late or self.mute_orders > 0:
            self.mute_orders -= not late
            await asyncio.sleep(LOST_ANSWER_S)
            call.abort()
        elif not own.over:
            answer(call, status, b"{}", {})

    async def _carry_out_late(self, order: dict) -> None:
        await asyncio.sleep(self._around.rng.uniform(*LATE_ORDER_S))
        if not self.now.over:
            self.now.carry_out(order, self._around.newest)
