"""A stand-in of the platform's store that fares as badly as the pages allow.

It knows each VM by the address from which it calls, so that it may turn some away::

    store = TroubledStore(names={"127.30.1.1": "vm-1"}, rng=rng)
    store.start()
    store.fare = Fare.LATE_WRITES
"""

import asyncio
import json
import time
from enum import Enum
from random import Random

from tornado import httputil

from hawthornlead.gateway.caller_calls import CallerCall

from .platform_store import PlatformStore

HISTORY_S = 20.0
SLOW_S = (0.1, 0.8)
# "or may be executed seconds later"
LATE_WRITE_S = (0.5, 4.0)
SILENT_CALL_S = 30.0


class Fare(Enum):
    """How calls fare."""

    WELL = "well"
    DOWN = "down"
    SILENT = "silent"
    SLOW = "slow"
    LOST_ANSWERS = "lost answers"
    LATE_WRITES = "late writes"


class TroubledStore(PlatformStore):
    """``names`` tells which VM calls from an address; ``turned_away`` holds VMs.

    ``spellings`` maps an address that a VM writes to the one that the others read.
    """

    def __init__(self, names: dict[str, str], rng: Random):
        super().__init__()
        self._names = names
        self._rng = rng
        self._told_at: list[float] = []
        self._late: set[asyncio.Task] = set()
        self.fare = Fare.WELL
        self.share = 1.0
        self.turned_away: set[str] = set()
        self.spellings: dict[str, str] = {}
        self.last_writer = ""
        # How many calls have met the fare of now.
        self.met = 0

    async def stop(self) -> None:
        """Close all connections and drop what was to be carried out late."""
        for task in self._late:
            task.cancel()
        await super().stop()

    def _tell(self, kind: str, body: dict, deleted: bool) -> None:
        now = time.monotonic()
        self._told_at.append(now)
        if len(self._told_at) > len(self._log) + 1:
            # The history was dropped at once.
            self._told_at = [now]
        expired = 0
        while self._told_at[expired] < now - HISTORY_S:
            expired += 1
        if expired:
            self._oldest = self._log[expired - 1][0]
            del self._log[:expired]
            del self._told_at[:expired]
        super()._tell(kind, body, deleted)

    def forget_history(self) -> None:
        """Drop the history, so that watches end with 410."""
        self._told_at.clear()
        super().forget_history()

    async def _handle(self, call: CallerCall) -> None:
        vm = self._names.get(call._connection.context.remote_ip, "")
        if vm in self.turned_away:
            await self._turn_away(call)
            return
        fare = self.fare if self._rng.random() < self.share else Fare.WELL
        reads = call.method == "GET"
        whole = fare is Fare.WELL or (reads and fare is Fare.LATE_WRITES)
        self.met += not whole
        if fare is Fare.DOWN:
            _answer(call, 503, {})
            return
        if fare is Fare.SILENT:
            await asyncio.sleep(SILENT_CALL_S)
            call.abort()
            return
        if fare is Fare.SLOW:
            await asyncio.sleep(self._rng.uniform(*SLOW_S))
        if whole or fare is Fare.SLOW:
            self._note_writer(call, vm)
            await super()._handle(call)
            return
        if fare is Fare.LATE_WRITES:
            task = asyncio.create_task(self._write_late(call))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
        elif not reads:
            self._note_writer(call, vm)
            self._carry_out(call)
        # No answer comes on this connection any more.
        await asyncio.sleep(SILENT_CALL_S)
        call.abort()

    async def _turn_away(self, call: CallerCall) -> None:
        way = self._rng.choice((503, 429, 0, -1))
        if way > 0:
            _answer(call, way, {})
            return
        if way < 0:
            await asyncio.sleep(SILENT_CALL_S)
        call.abort()

    def _note_writer(self, call: CallerCall, vm: str) -> None:
        if call.method == "PUT":
            self.last_writer = vm

    async def _write_late(self, call: CallerCall) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_WRITE_S))
        self._carry_out(call)

    def _carry_out(self, call: CallerCall) -> None:
        parts = call.path.partition("?")[0].split("/")[3:]
        self._write(call, parts[0], parts[1] if len(parts) > 1 else "")

    def write(self, kind: str, name: str, spec: dict) -> int:
        """Write as the operator or a target does; returns the revision."""
        # What another writer spoilt may hold anything there.
        address = spec.get("peer_address") if isinstance(spec, dict) else None
        if isinstance(address, str) and address in self.spellings:
            spec = {**spec, "peer_address": self.spellings[spec["peer_address"]]}
        return super().write(kind, name, spec)


def _answer(call: CallerCall, status: int, body: dict) -> None:
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    call.answer(status, "OK", headers, json.dumps(body).encode())
