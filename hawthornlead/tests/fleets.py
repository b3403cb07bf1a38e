"""A fleet as separate processes on loopback: stand-ins in one, each VM in its own.

Used by the demo, the long randomised run and the measurements; the daemon itself
starts no process. Every process that a ``Fleet`` starts is ended by it, by its id::

    async with Fleet(deployment) as fleet:
        await fleet.start_vm("entry-1", "santander")
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from .replies import Reply, fetch_reply

READY_S = 30.0
POLL_S = 0.05


class VmSpec(NamedTuple):
    """One entry VM of a deployment."""

    name: str
    data_centre: str


class Deployment(NamedTuple):
    """What a fleet consists of.

    ``standins`` is the text that the stand-ins' launcher reads, without the VMs.
    ``settings`` are further lines of every VM's settings file, by section.
    """

    vms: tuple[VmSpec, ...]
    standins: str
    settings: dict[str, dict[str, Any]]
    operators: dict[str, str]


class RunningVm(NamedTuple):
    """A VM's process and the addresses it was given."""

    spec: VmSpec
    caller_address: str
    peer_address: str
    process: asyncio.subprocess.Process
    log: Path
    metrics_address: str = ""


class _Addresses(NamedTuple):
    """The addresses set aside for one VM."""

    callers: str
    peers: str
    metrics: str


# Answered without a signature on a VM's metrics address only.
INSIDE_PATHS = ("/metrics", "/status", "/timeline")


class Fleet:
    """Stand-ins and VMs as processes, with the means to hurt them.

    A VM named in ``store_addresses`` is given that address in place of the store's.
    """

    def __init__(self, deployment: Deployment, command: list[str] | None = None):
        self._deployment = deployment
        self._command = command or [sys.executable, "-m", "hawthornlead"]
        self._folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self._ports: dict[str, _Addresses] = {}
        self._standins: asyncio.subprocess.Process | None = None
        self._client = AsyncHTTPClient(force_instance=True, max_clients=5000)
        self.addresses: dict[str, str] = {}
        self.store_addresses: dict[str, str] = {}
        self.vms: dict[str, RunningVm] = {}

    @property
    def folder(self) -> Path:
        """Where settings and logs of the run are."""
        return self._folder

    @property
    def peer_addresses(self) -> dict[str, str]:
        """The address at which each VM hears the others."""
        return {name: each.peers for name, each in self._ports.items()}

    async def __aenter__(self) -> "Fleet":
        await self.start_standins()
        return self

    async def __aexit__(self, *_):
        await self.stop()

    async def start_standins(self) -> None:
        """Start the stand-ins and learn their addresses."""
        text = self._deployment.standins
        for number, spec in enumerate(self._deployment.vms, start=1):
            host = _loopback_host(number)
            addresses = _Addresses(*(_free_address(host) for _ in range(3)))
            self._ports[spec.name] = addresses
            text += (
                f"\n[vm {spec.name}]\nrole = entry\n"
                f"address = {addresses.callers}\n"
                f"data_centre = {spec.data_centre}\n"
            )
        path = self._folder / "standins.ini"
        path.write_text(text)
        self._standins = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hawthornlead.tests.standins.launcher",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            limit=1 << 20,
        )
        line = await asyncio.wait_for(self._standins.stdout.readline(), READY_S)
        self.addresses = json.loads(line)

    async def start_vms(self) -> None:
        """Start all VMs of the deployment and wait until they answer."""
        for spec in self._deployment.vms:
            await self.start_vm(spec)
        for spec in self._deployment.vms:
            await self.wait_alive(spec.name)

    async def start_vm(self, spec: VmSpec) -> RunningVm:
        """Start one VM's process, at the addresses that were set aside for it."""
        addresses = self._ports[spec.name]
        path = self._folder / f"{spec.name}.ini"
        path.write_text(self._ini(spec, addresses))
        log = self._folder / f"{spec.name}.log"
        with open(log, "ab") as output:
            process = await asyncio.create_subprocess_exec(
                *self._command, "serve", "-c", str(path), stdout=output, stderr=output
            )
        running = RunningVm(
            spec, addresses.callers, addresses.peers, process, log, addresses.metrics
        )
        self.vms[spec.name] = running
        return running

    async def wait_alive(self, name: str) -> None:
        """Wait until a VM's process answers at all."""
        await self.wait_until(name, "/healthz")

    async def wait_ready(self, name: str) -> None:
        """Wait until a VM would serve a request."""
        await self.wait_until(name, "/readyz")

    async def wait_until(self, name: str, path: str) -> None:
        """Wait until a GET of ``path`` on a VM answers 200."""
        vm = self.vms[name]
        for _ in range(int(READY_S / POLL_S)):
            if vm.process.returncode is not None:
                raise RuntimeError(f"{name} ended: {vm.log.read_text()[-3000:]}")
            reply = await self.get(vm.caller_address, path)
            if reply.status == 200:
                return
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{name}: {path} never answered 200: {reply.body[:500]}")

    async def kill_vm(self, name: str) -> None:
        """End a VM at once, as a power cut would."""
        vm = self.vms.pop(name)
        vm.process.send_signal(signal.SIGKILL)
        await vm.process.wait()

    async def terminate_vm(self, name: str) -> int:
        """Ask a VM to shut down gracefully; return its exit code."""
        vm = self.vms.pop(name)
        vm.process.send_signal(signal.SIGTERM)
        return await vm.process.wait()

    def freeze_vm(self, name: str) -> None:
        """Stop a VM's process where it is."""
        os.kill(self.vms[name].process.pid, signal.SIGSTOP)

    def thaw_vm(self, name: str) -> None:
        """Let a frozen VM's process go on."""
        os.kill(self.vms[name].process.pid, signal.SIGCONT)

    async def faults(self, name: str, **changes: Any) -> None:
        """Switch a stand-in's faults."""
        reply = await self.post(self.addresses[name], "/standin/faults", changes)
        if reply.status != 200:
            raise RuntimeError(f"{name}: {reply.status} {reply.body[:300]}")

    async def record(self, name: str) -> dict:
        """Return what a stand-in saw."""
        return (await self.get(self.addresses[name], "/standin/record")).json

    async def get(self, address: str, path: str, **headers: str) -> Reply:
        """GET a path from any process of the fleet.

        A VM's own state is asked at its metrics address.
        """
        if path.startswith(INSIDE_PATHS):
            for vm in self.vms.values():
                if vm.caller_address == address:
                    address = vm.metrics_address
        return await self.fetch("GET", address, path, None, headers)

    async def post(
        self, address: str, path: str, body: Any, timeout_s: float = 30, **headers: str
    ) -> Reply:
        """POST a JSON body to any process of the fleet."""
        data = json.dumps(body).encode()
        return await self.fetch("POST", address, path, data, headers, timeout_s)

    async def fetch(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float = 30,
    ) -> Reply:
        """Send one HTTP request and return whatever came of it."""
        return await fetch_reply(
            self._client, method, address, path, body, headers, timeout_s
        )

    async def stop(self) -> None:
        """End every process of the fleet, by its id."""
        for name, vm in list(self.vms.items()):
            if vm.process.returncode is None:
                self.thaw_vm(name)
                await self.kill_vm(name)
        if self._standins is not None and self._standins.returncode is None:
            self._standins.kill()
            await self._standins.wait()
        self._client.close()

    def _ini(self, spec: VmSpec, addresses: _Addresses) -> str:
        sections: dict[str, dict[str, Any]] = {
            "vm": {
                "vm_name": spec.name,
                "data_centre": spec.data_centre,
                "caller_address": addresses.callers,
                "peer_address": addresses.peers,
                "metrics_address": addresses.metrics,
            },
            "platform": {
                "store_address": self.store_addresses.get(
                    spec.name, self.addresses["store"]
                ),
                "vm_list_address": self.addresses["vms"],
            },
            "operators": self._deployment.operators,
        }
        for section, keys in self._deployment.settings.items():
            sections.setdefault(section, {}).update(keys)
        lines = []
        for section, keys in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        return "\n".join(lines) + "\n"


def _loopback_host(number: int) -> str:
    """Return a loopback address for one VM of this process's fleet.

    Connections go out from 127.0.0.1. A port that was free there a moment ago may
    be one of theirs by the time a VM listens; on an address of its own it can't.
    """
    return f"127.{10 + os.getpid() % 200}.{number}.1"


def _free_address(host: str) -> str:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"
