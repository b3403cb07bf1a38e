"""The world of a run: store, targets, VMs, callers, and the history of them all."""

import asyncio
import itertools
import random
import time
from pathlib import Path

from loguru import logger

from .callers import Caller
from .engines import MODEL, Engine
from .fleets import Fleet, Vm
from .records import History, RouteRule, Trouble
from .stores import Store
from .targets import Target

HOST = "office.example"
TIMEOUT_MS = 8000
# From the start of the VMs to that of the traffic.
LEAD_S = 2.0
# After the last event, so that what runs late is seen.
REST_S = 2.0
CALLERS_PER_VM = 10
MOST_CALLERS = 60
SERVICES = ("plain", "other", "scribe")
# Route name: prefix, kind, service, attempts, resumable.
ROUTES = {
    "safe": ("/safe/", "safe", "plain", 2, False),
    "deep": ("/safe/deep/", "safe", "other", 2, False),
    "unsafe": ("/unsafe/", "unsafe", "other", 1, False),
    "recap": ("/recap/", "streaming", "scribe", 1, False),
    "ruling": ("/ruling/", "streaming", "scribe", 2, True),
}


def configuration() -> dict:
    """Return the operator's configuration."""
    engine = {
        "slots": 64,
        "kvTokens": 157002,
        "kvTokenBytes": 163840,
        "models": [
            {
                "name": MODEL,
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
    routes = [
        {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": service,
            "sticky": False,
            "gapTargetMs": 300,
            "attempts": attempts,
            "resumable": resumable,
        }
        for name, (prefix, kind, service, attempts, resumable) in ROUTES.items()
    ]
    common = {"healthPath": "/health", "maxConns": 370}
    return {
        "version": 3,
        "routes": routes,
        "services": [
            {"name": "plain", **common},
            {"name": "other", **common},
            {"name": "scribe", "engine": engine, **common},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }


class World:
    """Everything of a run but the VMs' own processes."""

    host = HOST
    prefixes = [each[0] for each in ROUTES.values()]

    def __init__(self, seed: int, net: str, folder: Path, kinds: list[str]):
        self.seed = seed
        self.rng = random.Random(f"{seed} events")
        self.history = History()
        self.store = Store()
        self.fleet = Fleet(net, folder)
        self.targets: list[Target] = []
        self.old_callers = "old-callers" in kinds
        self.unnamed_joined = "unnamed-joined" in kinds
        self._net = net
        self._arrivals = itertools.count(1)
        self._names = itertools.count(1)

    @property
    def vms(self) -> list[Vm]:
        """All VMs."""
        return self.fleet.vms

    def next_arrival(self) -> int:
        """Return the number of the next arrival."""
        return next(self._arrivals)

    def is_streaming(self, path: str) -> bool:
        """Whether a path is that of streams."""
        return path.startswith(("/recap/", "/ruling/"))

    def is_resumable(self, path: str) -> bool:
        """Whether a path is that of streams that may be taken up."""
        return path.startswith("/ruling/")

    async def start(self, vms: int) -> None:
        """Start store, targets and VMs."""
        now = time.monotonic()
        for prefix, kind, service, _, resumable in ROUTES.values():
            streaming = kind == "streaming"
            self.history.add(
                RouteRule(now, prefix, [service], streaming, kind == "safe", resumable)
            )
        self.store.write("config", "main", configuration())
        for service in ("plain", "other"):
            for _ in range(3):
                await self.add_target(service)
        for number in range(5):
            await self.add_target("scribe", ("v1", "v1", "v1", "v2", "v2")[number])
        stores = {}
        for number in range(1, vms + 1):
            name = f"edge-{number}"
            stores[name] = await self.store.listen(f"{self._net}.0.1", name)
        await self.fleet.start(stores)
        logger.info("{} VMs are ready", vms)
        await asyncio.sleep(LEAD_S)

    async def add_target(
        self, service: str, software: str = "v1", address: str = ""
    ) -> Target:
        """Start one more target under a new id, at a new address or a given one."""
        number = next(self._names)
        kind = Engine if service == "scribe" else Target
        host = address.rpartition(":")[0] or f"{self._net}.2.{number}"
        target = kind(f"i-{number:04x}", service, host, self)
        target.address = address
        target.software = software
        target.zone = ("hall-a", "hall-b")[number % 2]
        target.says_leaving = self.rng.random() < 0.3
        self.targets.append(target)
        await target.start()
        return target

    async def call(self, over: asyncio.Event) -> None:
        """Have all callers send requests until the run is over."""
        count = min(MOST_CALLERS, CALLERS_PER_VM * len(self.vms))
        callers = [Caller(number, self) for number in range(1, count + 1)]
        await asyncio.gather(*[each.run(over) for each in callers])
        await asyncio.sleep(REST_S)

    def record_trouble(self, since: float, kind: str, subject: str, what: str) -> None:
        """Record a disturbance that began at ``since`` and ends now."""
        now = time.monotonic()
        self.history.add(Trouble(since, now, kind, subject, what))

    async def stop(self) -> None:
        """End everything."""
        await self.fleet.stop()
        for target in self.targets:
            await target.stop()
        await self.store.close()
