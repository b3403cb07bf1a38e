"""What the cases of the second review share: a small deployment between stand-ins.

The gateways are started by the command of the deploy file (``conformance.fleets``).
Store and targets are those of ``conformance``. A case adds targets and callers::

    async with Rig("127.44", Path("record.txt")) as rig:
        await rig.start(["edge-1", "edge-2"], configuration(routes, services))
"""

import asyncio
import itertools
import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

from conformance.fleets import Fleet, Vm
from conformance.records import History
from conformance.stores import Store
from conformance.targets import Target

HOST = "office.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The zone of all VMs.
ZONE = "hall-a"
# From the readiness of the VMs to the first request.
LEAD_S = 2.0


def has_trouble() -> bool:
    """Whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, prefix: str, service: str, kind: str, **fields) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        "sticky": False,
        "resumable": False,
        "gapTargetMs": 300,
        **fields,
    }


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return the operator's configuration."""
    return {
        "version": 3,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4 << 20,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }


def plain_service(name: str) -> dict:
    """Return a service without models."""
    return {"name": name, "healthPath": "/health", "maxConns": 370}


class Rig:
    """Store, targets and gateways of one case; ``note`` adds a line to its record."""

    unnamed_joined = False

    def __init__(self, net: str, record: Path, seed: int = 1):
        self.seed = seed
        self.rng = random.Random(seed)
        self.history = History()
        self.store = Store()
        self.targets: list[Target] = []
        self._net = net
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.fleet = Fleet(net, Path(self._folder.name))
        self._arrivals = itertools.count(1)
        self._record = record.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    async def __aenter__(self) -> "Rig":
        """Return the rig; ``start`` starts it."""
        return self

    async def __aexit__(self, *error) -> None:
        """End all processes by their ids, and all stand-ins."""
        await self.fleet.stop()
        for target in self.targets:
            await target.stop()
        await self.store.close()
        self._folder.cleanup()
        self._record.close()

    def note(self, what: str, **fields) -> None:
        """Write a line to the record."""
        at = round(time.monotonic() - self._began_at, 3)
        self._record.write(f"{at:8.3f} {what} {json.dumps(fields)}\n")
        self._record.flush()

    def next_arrival(self) -> int:
        """Return the number of the next arrival at a target."""
        return next(self._arrivals)

    async def add(self, target: Target) -> Target:
        """Start a target and have it register."""
        self.targets.append(target)
        await target.start()
        return target

    def target_host(self) -> str:
        """Return the address of the next target."""
        return f"{self._net}.2.{len(self.targets) + 1}"

    async def start(self, names: list[str], body: dict) -> list[Vm]:
        """Write the configuration, and start the VMs until all are ready."""
        self.store.write("config", "main", body)
        for number, name in enumerate(names, start=1):
            store = await self.store.listen(f"{self._net}.0.1", name)
            host = f"{self._net}.1.{number}"
            vm = Vm(name, host, ZONE, Path(self._folder.name), store)
            self.fleet.vms.append(vm)
            await self.fleet.start_vm(vm, bootstrap=True)
        await self.fleet.wait_ready(self.fleet.vms)
        await asyncio.sleep(LEAD_S)
        return self.fleet.vms


def run(case) -> None:
    """Run a case, a coroutine that returns the exit status, for 110 s at most."""
    try:
        status = asyncio.run(asyncio.wait_for(case, 110))
    except (OSError, RuntimeError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        status = NOT_RUN
    sys.exit(status)
