"""Gateways as processes of their own, with the settings of the deploy file.

::

    fleet = Fleet(store_address)
    await fleet.start(2)
"""

import asyncio
import contextlib
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
READY_S = 25.0
LEAVE_S = 10.0


def network() -> str:
    """Return the first two numbers of loopback addresses that are this run's own."""
    return f"127.{random.randrange(20, 250)}"


def free_port(host: str) -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(template: str, values: dict[str, str], bootstrap: bool) -> str:
    """Fill in the template as the platform does, with the fields that it uses."""
    kept = r"\1" if bootstrap else ""
    text = re.sub(r"(?s){{#bootstrap}}\n(.*?){{/bootstrap}}\n", kept, template)
    return re.sub(r"{{([^{}]+)}}", lambda match: values[match[1]], text)


class Vm:
    """One machine: its addresses, its settings file and its process."""

    def __init__(self, name: str, host: str, zone: str, folder: Path):
        self.name = name
        self.host = host
        self.zone = zone
        self.path = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.front, self.ready, self.directory = [
            f"{host}:{free_port(host)}" for _ in range(3)
        ]
        self.ports = [str(free_port(host)) for _ in range(2)]
        self.metrics = free_port(host)
        self.process: asyncio.subprocess.Process | None = None


class Fleet:
    """All gateways of a run."""

    def __init__(self, store_address: str, net: str):
        self._store = store_address
        self._net = net
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["entry"]
        self._template = (ROOT / self._role["template"]).read_text()
        self.vms: list[Vm] = []

    async def start(self, count: int) -> None:
        """Start all machines for the first time and wait until they are ready."""
        for number in range(1, count + 1):
            zone = ("hall-a", "hall-b")[number % 2]
            vm = Vm(f"edge-{number}", f"{self._net}.1.{number}", zone, self._folder)
            self.vms.append(vm)
            await self.start_vm(vm, bootstrap=True)
        async with asyncio.timeout(READY_S):
            for vm in self.vms:
                while not await is_ready(vm):
                    await asyncio.sleep(0.1)

    async def start_vm(self, vm: Vm, bootstrap: bool = False) -> None:
        """Start one machine's process, by the command of the deploy file."""
        values = {
            "node": vm.name,
            "zone": vm.zone,
            "region": "region-1",
            "ip": vm.host,
            "listen.front": vm.front,
            "listen.readyAddr": vm.ready,
            "listen.directory": vm.directory,
            "portRange.0": vm.ports[0],
            "portRange.1": vm.ports[1],
            "platform.address": self._store,
            "bounds.graceS": "8",
        }
        text = render(self._template, values, bootstrap)
        # The port of the metrics may be taken on the machine of a review.
        vm.path.write_text(text.replace(":9464", f":{vm.metrics}"))
        environment = {name: os.environ[name] for name in ("PATH",)}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["HAWTHORNLEAD_SETTINGS"] = str(vm.path)
        program, *arguments = self._role["run"].split()
        with vm.log.open("ab") as log:
            vm.process = await asyncio.create_subprocess_exec(
                shutil.which(program) or sys.executable,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """End all processes by their ids."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGKILL)
        for vm in self.vms:
            if vm.process is not None:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(vm.process.wait(), LEAVE_S)
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._folder, ignore_errors=True)
        else:
            print(f"logs in {self._folder}", file=sys.stderr)


async def is_ready(vm: Vm) -> bool:
    """Ask a machine whether it is ready, as the platform does."""
    host, _, port = vm.ready.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in head
