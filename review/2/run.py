"""Case 2: an engine that has left is sent requests after connections went silent."""

import asyncio
import os
import random
import sys
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from clients import Attempt, Client  # noqa: E402
from fleet import Fleet, network  # noqa: E402
from standins import Engine, Fetches, Run, Store  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAY_S = float(os.environ.get("PLAY_S", "88"))
MACHINES = 2
ENGINES = 4
CLIENTS = 4
HOST = "office.example"
DEADLINE_MS = 12000
# From the start of the machines to that of the traffic.
LEAD_S = 8.0
# The bounds of the site file.
CONTACT_S = 3.0
DRAIN_S = 2.0
# An engine leaves this long after the connections went silent, serves on, and ends.
LEAVES_AFTER_S = 1.0
SERVES_ON_S = 5.0
PAUSE_S = 2.0
RECORD = Path(os.environ.get("RECORD", Path(__file__).resolve().parent / "record.txt"))


def configuration() -> dict:
    """Return the operator's configuration."""
    engine = {
        "slots": 64,
        "kvTokens": 157002,
        "kvTokenBytes": 163840,
        "models": [
            {
                "name": "daka510000",
                "weightsMb": 72700,
                "loadTimeS": 2.1,
                "adapters": 3000,
                "adapterMb": 66,
            }
        ],
        "weightsMb": 76000,
        "adapterSlots": 8,
        "loadsPerS": 4.2,
    }
    common = {
        "host": HOST,
        "kind": "streaming",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 1000,
        "priority": 0,
        "service": "race-scribe",
        "sticky": True,
        "gapTargetMs": 300,
    }
    return {
        "version": 3,
        "routes": [
            {
                "name": "ruling",
                "pathPrefix": "/ruling/",
                "attempts": 2,
                "resumable": True,
                **common,
            },
            {
                "name": "recap",
                "pathPrefix": "/recap/",
                "attempts": 1,
                "resumable": False,
                **common,
            },
        ],
        "services": [
            {
                "name": "race-scribe",
                "healthPath": "/health",
                "maxConns": 370,
                "engine": engine,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }


async def client(number: int, fleet: Fleet, until: float, attempts: list) -> None:
    """Send requests one after the other until the end."""
    rng = random.Random(SEED * 1000 + number)
    one = Client(HOST)
    count = 0
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(1.5, 4.5))
        count += 1
        attempt = Attempt(f"{number:04x}{count:06x}{SEED:04x}", f"/recap/{count}")
        attempts.append(attempt)
        headers = {
            "Model": "daka510000",
            "Token-Usage": "800,240",
            "Prompt-Prefix": f"{number:x}{count:x}:800",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        vm = rng.choice(fleet.vms)
        within_s = DEADLINE_MS / 1000
        await one.send(attempt, vm.front, "POST", headers, b"{}", within_s)
    one.close()


class World:
    """The engines of a run, one of which leaves at a time."""

    def __init__(self, store: Store, net: str):
        self._store = store
        self._net = net
        self._rng = random.Random(SEED)
        self._fetches = Fetches()
        self.runs: list[Run] = []
        self.engines: list[Engine] = []
        self.silent: list[float] = []

    async def add(self) -> Engine:
        """Start one more engine, at a new address and under a new id."""
        number = len(self.engines) + 1
        rng = random.Random(SEED * 100 + number)
        engine = Engine(f"i-{number:08x}", self._store, self.runs, rng, self._fetches)
        engine.zone = ("hall-a", "hall-b")[number % 2]
        self.engines.append(engine)
        await engine.start(f"{self._net}.2.{number}")
        return engine

    async def replace_in_turn(self) -> None:
        """Have one engine after the other leave, each after a new one has come."""
        while True:
            await asyncio.sleep(PAUSE_S)
            await self.add()
            staying = [each for each in self.engines if not each.left_at]
            leaving = self._rng.choice(staying[:-1])
            await self._all_watch()
            if TROUBLE:
                self._store.silence()
            self.silent.append(time.monotonic())
            await asyncio.sleep(LEAVES_AFTER_S)
            leaving.leave()
            await asyncio.sleep(SERVES_ON_S)
            await leaving.stop()

    async def _all_watch(self) -> None:
        """Wait until all machines wait for changes of the engines' entries."""
        while list(self._store.watches.values()).count("servers") < MACHINES:
            await asyncio.sleep(0.005)

    def judge(self, attempts: list[Attempt]) -> list[tuple[Engine, Run]]:
        """Return the runs at engines that had left more than ``DRAIN_S`` before.

        Only those count that were sent on by machines in touch.
        """
        sent = {attempt.request: attempt.sent for attempt in attempts}
        broken = []
        for engine in self.engines:
            for run in self.runs:
                if run.engine != engine.name or not engine.left_at:
                    continue
                in_touch = all(
                    not at - 0.01 < sent[run.request] < at + CONTACT_S
                    for at in self.silent
                )
                if in_touch and run.began > engine.left_at + DRAIN_S:
                    broken.append((engine, run))
        return broken


async def play() -> int:
    """Play the case; return the exit code."""
    net = network()
    store, attempts = Store(), []
    await store.listen(f"{net}.0.1")
    store.write("config", "main", configuration())
    fleet, world = Fleet(store.address, net), World(store, net)
    replacing = None
    try:
        for _ in range(ENGINES):
            await world.add()
        await fleet.start(MACHINES)
        await asyncio.sleep(LEAD_S)
        began = time.monotonic()
        replacing = asyncio.create_task(world.replace_in_turn())
        until = began + PLAY_S
        await asyncio.gather(
            *[client(n, fleet, until, attempts) for n in range(CLIENTS)]
        )
        broken = world.judge(attempts)
        write_record(began, world, attempts, broken)
    finally:
        if replacing is not None:
            replacing.cancel()
        await fleet.stop()
        for engine in world.engines:
            await engine.stop()
        await store.close()
    if sum(attempt.status == 200 for attempt in attempts) < len(attempts) / 2:
        return 2
    return 1 if broken else 0


def write_record(began, world: World, attempts, broken) -> None:
    """Write what was sent, answered and run."""
    lines = [f"seed {SEED}, trouble {TROUBLE}, {len(attempts)} requests"]
    for at in world.silent if TROUBLE else ():
        lines.append(f"connections to the store went silent at {at - began:.3f} s")
    for engine in world.engines:
        if engine.left_at:
            lines.append(f"{engine.name} left at {engine.left_at - began:.3f} s")
    lines.append(f"DRAIN is broken by {len(broken)} requests")
    for engine, run in broken:
        late_s = run.began - engine.left_at
        lines.append(f"  {describe(run, began)}; {late_s:.3f} s after it had left")
    shown = len(lines)
    lines += [f"ran {describe(run, began)}" for run in world.runs]
    for attempt in attempts:
        lines.append(
            f"sent {attempt.request} {attempt.path} at {attempt.sent - began:.3f} s,"
            f" answered {attempt.status} at {attempt.ended - began:.3f} s,"
            f" whole {attempt.whole}"
        )
    RECORD.write_text("\n".join(lines) + "\n")
    print("\n".join(lines[:shown]))


def describe(run: Run, began: float) -> str:
    """Return one run in words."""
    return (
        f"{run.request} at {run.engine}: from {run.began - began:.3f} s to"
        f" {run.worked_until - began:.3f} s, {run.events} events, {run.ended}"
    )


def main() -> int:
    """Play the case; a case that can't run is none that failed."""
    try:
        return asyncio.run(play())
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main())
