"""What a request costs a VM in processor time: gateways as processes, before stand-ins.

The stand-ins of store and targets and the callers run in this process, each VM in its
own, so that a VM's processor time is its own work alone. With ``--against`` another
checkout takes turns with this one under the same load, and the ratio is printed::

    scripts/path --against ../before
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import NamedTuple

import click
from loguru import logger

from .gateways import HOST, MODEL, ask, configuration, free_ports
from .standins.platform_engine import PlatformEngine
from .standins.platform_store import PlatformStore

READY_S = 30.0
READY_POLL_S = 0.02
SETTLE_S = 2.0
IDLE_S = 5.0
# More than the engines of one small run hold, so that some have to be loaded.
ADAPTERS = 24
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
LEAVE_S = 12.0


class Costs(NamedTuple):
    """Processor time of one VM, in milliseconds."""

    start: float
    idle_second: float
    stream: float
    plain: float


class PathVm(NamedTuple):
    """One VM's process, and where callers find it."""

    address: str
    ready: str
    process: asyncio.subprocess.Process


class VmStart(NamedTuple):
    """Processor time of a VM's start, and how long it took, in milliseconds."""

    ready: float
    settled: float
    took: float


class Command(NamedTuple):
    """How a VM's interpreter is started: its options, further paths, error output."""

    options: tuple[str, ...] = ()
    paths: tuple[Path, ...] = ()
    errors: int | None = None


def _spent_ms(vm: PathVm) -> float:
    stat = Path(f"/proc/{vm.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return 1000 * (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


class PathFleet:
    """Stand-ins, and the gateways of one checkout."""

    def __init__(
        self, checkout: Path, vms: int, engines: int, profile: str, command: Command
    ):
        self._checkout = checkout
        self._count = vms
        self._profile = profile
        self._command = command
        self._folder = Path(tempfile.mkdtemp(prefix="path-"))
        self._store = PlatformStore()
        self._engines = [
            PlatformEngine(f"e{n}", "llm", MODEL, slots=8) for n in range(engines)
        ]
        self._plains = [PlatformEngine(f"p{n}", "plain") for n in range(2)]
        self.vms: list[PathVm] = []
        self.starts: list[VmStart] = []

    async def __aenter__(self) -> "PathFleet":
        self._store.start()
        body = configuration(1)
        engine = body["services"][0]["engine"]
        engine.update({"adapterSlots": 8, "kvTokens": 100000, "slots": 32})
        self._store.write("config", "main", body)
        for target in self._engines + self._plains:
            target.event_s = 0.002
            target.start()
            self._store.write("servers", target.target, target.entry())
        for number in range(self._count):
            self.vms.append(await self._start_vm(number))
        self.starts = await asyncio.gather(*map(self._settle, self.vms))
        return self

    async def __aexit__(self, *_) -> None:
        for vm in self.vms:
            vm.process.send_signal(signal.SIGTERM)
        for vm in self.vms:
            try:
                await asyncio.wait_for(vm.process.wait(), LEAVE_S)
            except TimeoutError:
                vm.process.kill()
                await vm.process.wait()
        for target in self._engines + self._plains:
            await target.stop()
        await self._store.stop()

    def spent_ms(self) -> float:
        """Return the processor time that the VMs have taken, on average."""
        return sum(map(_spent_ms, self.vms)) / len(self.vms)

    async def _start_vm(self, number: int) -> PathVm:
        peers, callers, ready, directory = [
            f"127.0.0.1:{port}" for port in free_ports(4)
        ]
        sections = {
            "vm": {
                "vm_name": f"vm-{number}",
                "data_centre": "gijon",
                "caller_address": callers,
                "peer_address": peers,
                "ready_address": ready,
                "directory_address": directory,
            },
            "platform": {
                "store_address": self._store.address,
                "vm_list_address": self._store.address,
                "grace_s": 4.0,
            },
            "logs": {"log_format": "json", "log_lines_per_s": 120},
        }
        lines = []
        for section, keys in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        path = self._folder / f"vm-{number}.ini"
        path.write_text("\n".join(lines) + "\n")
        command = ["-m", "hawthornlead.gateway"]
        if self._profile and number == 0:
            command = ["-m", "cProfile", "-o", self._profile, *command]
        paths = [str(self._checkout), *map(str, self._command.paths)]
        environment = {
            **os.environ,
            "HAWTHORNLEAD_SETTINGS": str(path),
            "PYTHONPATH": os.pathsep.join(paths),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._command.options,
            *command,
            cwd=self._checkout,
            env=environment,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=self._command.errors,
        )
        return PathVm(callers, ready, process)

    async def _settle(self, vm: PathVm) -> "VmStart":
        """Wait until a VM is ready and has settled; return what that took."""
        now = asyncio.get_running_loop().time
        started_at = now()
        await self._await_ready(vm)
        ready_ms, took_ms = _spent_ms(vm), 1000 * (now() - started_at)
        await asyncio.sleep(SETTLE_S)
        return VmStart(ready_ms, _spent_ms(vm) - ready_ms, took_ms)

    async def _await_ready(self, vm: PathVm) -> None:
        end = asyncio.get_running_loop().time() + READY_S
        headers = {"Host": HOST, "Connection": "close"}
        while asyncio.get_running_loop().time() < end:
            try:
                answer = await ask(vm.ready, "GET", "/v1/ready", headers)
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(READY_POLL_S)
        raise RuntimeError(f"{vm.address} is not ready")


async def play(fleet: PathFleet, kind: str, requests: int, at_once: int) -> int:
    """Send requests of one kind, the same for the same number; count those served."""
    rng = Random(7)
    orders = [(rng.randrange(len(fleet.vms)), rng.random()) for _ in range(requests)]
    served = 0
    queue = iter(enumerate(orders))

    async def caller() -> None:
        nonlocal served
        for number, (vm, drawn) in queue:
            headers = {
                "Host": HOST,
                "Request-Id": f"{kind}-{number}",
                "Deadline-Ms": "6000",
                "Connection": "close",
                "Content-Length": "0",
            }
            if kind == "stream":
                headers["Model"] = f"{MODEL}/a{int(ADAPTERS * drawn**3)}"
                headers["Token-Usage"] = "800,40"
            path = "/stream/x" if kind == "stream" else "/safe/x"
            answer = await ask(fleet.vms[vm].address, "POST", path, headers)
            served += answer.status == 200 and answer.whole

    await asyncio.gather(*[caller() for _ in range(at_once)])
    return served


async def measure(
    checkout: Path, vms: int, engines: int, requests: int, profile: str
) -> Costs:
    """Return what one VM of a checkout spends."""
    async with PathFleet(checkout, vms, engines, profile, Command()) as fleet:
        start = fleet.spent_ms()
        await asyncio.sleep(IDLE_S)
        idle = (fleet.spent_ms() - start) / IDLE_S
        each = []
        for kind in ("stream", "plain"):
            await play(fleet, kind, requests // 10, 8)
            before = fleet.spent_ms()
            began_at = asyncio.get_running_loop().time()
            served = await play(fleet, kind, requests, 8)
            took_s = asyncio.get_running_loop().time() - began_at
            spent = fleet.spent_ms() - before - idle * took_s
            if served < requests * 0.9:
                raise RuntimeError(f"only {served} of {requests} were served")
            each.append(spent * vms / served)
    return Costs(start, idle, *each)


@click.command()
@click.option("--vms", default=3, help="gateways")
@click.option("--engines", default=6, help="model engines")
@click.option("--requests", default=600, help="requests of each kind")
@click.option("--rounds", default=3, help="measurements of each checkout, in turn")
@click.option("--against", default="", help="another checkout to compare with")
@click.option("--profile", default="", help="where one VM's profile is written")
def main(vms, engines, requests, rounds, against, profile) -> None:
    """Print what a start, an idle second and a request cost a VM."""
    logger.remove()
    checkouts = {"this": Path.cwd()}
    if against:
        checkouts["other"] = Path(against).resolve()
    results: dict[str, list[Costs]] = {name: [] for name in checkouts}
    for _ in range(rounds):
        for name, path in checkouts.items():
            costs = asyncio.run(measure(path, vms, engines, requests, profile))
            results[name].append(costs)
            click.echo(json.dumps({"checkout": name, **costs._asdict()}))
    for field in Costs._fields:
        least = {
            name: min(getattr(costs, field) for costs in runs)
            for name, runs in results.items()
        }
        ratio = f", ratio {least['this'] / least['other']:.2f}" if against else ""
        shown = ", ".join(f"{name} {value:.2f} ms" for name, value in least.items())
        click.echo(f"{field}: {shown}{ratio}")


if __name__ == "__main__":
    main()
