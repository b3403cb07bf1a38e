"""Gateways as processes of their own, with the settings of the deploy file.

Developed from ``review/fleet.py``; each VM has an address of the store of its own::

    fleet = Fleet("127.31", folder)
    await fleet.start({"edge-1": "127.31.0.1:40001"})
"""

import asyncio
import contextlib
import os
import re
import shutil
import signal
import socket
import sys
import tomllib
from pathlib import Path

from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
READY_S = 40.0
LEAVE_S = 12.0
GRACE_S = "8"


def read_deploy() -> dict:
    """Return the deploy file."""
    return tomllib.loads((ROOT / "deploy/system.toml").read_text())


async def build() -> None:
    """Build as the deploy file says, where a source is newer than what was built."""
    built = ROOT / "target/gateway.code"
    sources = [*ROOT.glob("hawthornlead/**/*.py"), ROOT / "requirements.txt"]
    newest = max(path.stat().st_mtime for path in sources)
    if built.exists() and built.stat().st_mtime > newest:
        return
    logger.info("building as the deploy file says")
    process = await asyncio.create_subprocess_shell(read_deploy()["build"], cwd=ROOT)
    if await process.wait():
        raise RuntimeError("the build of the deploy file failed")


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
    """One VM: its addresses, its settings file and its process."""

    def __init__(self, name: str, host: str, zone: str, folder: Path, store: str):
        self.name = name
        self.host = host
        self.zone = zone
        self.store = store
        self.path = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.front, self.ready, self.directory = [
            f"{host}:{free_port(host)}" for _ in range(3)
        ]
        self.ports = [str(free_port(host)) for _ in range(2)]
        self.metrics = free_port(host)
        self.process: asyncio.subprocess.Process | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        if self.process is not None:
            await self.process.wait()


class Fleet:
    """All VMs of a run; logs go into ``folder``."""

    def __init__(self, net: str, folder: Path):
        self._net = net
        self._folder = folder
        self._role = read_deploy()["roles"]["entry"]
        self._template = (ROOT / self._role["template"]).read_text()
        self.vms: list[Vm] = []

    async def start(self, stores: dict[str, str]) -> None:
        """Start all VMs for the first time and wait until they are ready."""
        for number, (name, store) in enumerate(stores.items(), start=1):
            zone = ("hall-a", "hall-b")[number % 2]
            vm = Vm(name, f"{self._net}.1.{number}", zone, self._folder, store)
            self.vms.append(vm)
            await self.start_vm(vm, bootstrap=True)
        await self.wait_ready(self.vms)

    async def wait_ready(self, vms: list[Vm]) -> None:
        """Wait until VMs are ready."""
        async with asyncio.timeout(READY_S):
            for vm in vms:
                while not await is_ready(vm):
                    await asyncio.sleep(0.1)

    async def start_vm(self, vm: Vm, bootstrap: bool = False) -> None:
        """Start one VM's process, by the command of the deploy file."""
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
            "platform.address": vm.store,
            "bounds.graceS": GRACE_S,
        }
        text = render(self._template, values, bootstrap)
        # Another process of the machine may have the port of the metrics.
        vm.path.write_text(text.replace(":9464", f":{vm.metrics}"))
        environment = {"PATH": os.environ["PATH"]}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["HAWTHORNLEAD_SETTINGS"] = str(vm.path)
        program, *arguments = self._role["run"].split()
        with vm.log.open("ab") as log:
            vm.process = await asyncio.create_subprocess_exec(
                _system_program(program),
                *arguments,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """End all processes by their ids."""
        for vm in self.vms:
            vm.signal(signal.SIGKILL)
        for vm in self.vms:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(vm.wait(), LEAVE_S)


def _system_program(name: str) -> str:
    """Return the program's path, outside of a virtual environment."""
    outside = [
        part
        for part in os.environ["PATH"].split(os.pathsep)
        if not part.startswith(sys.prefix) or sys.prefix == sys.base_prefix
    ]
    return shutil.which(name, path=os.pathsep.join(outside)) or sys.executable


async def is_ready(vm: Vm) -> bool:
    """Ask a VM whether it is ready, as the platform does."""
    host, _, port = vm.ready.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readline()
        writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in head
