"""Gateway processes of the soak, each at a loopback address of its own, and its links.

Every connection that a VM opens passes a link: to the store, to a target, to another
VM. Callers connect to a VM itself. Each process is ended by its id::

    fleet = GatewayFleet(folder, journal, rng, vms=6)
    await fleet.start()
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from random import Random

from .soak_addresses import CUT_SUFFIX, FIRST_TARGET_NET
from .soak_gateway_records import ENDED_BY_ITSELF, Journal, OwnEnd, Stopped
from .soak_links import Link
from .soak_links import Path as LinkPath
from .standins.troubled_store import TroubledStore

GRACE_S = 8.0
RESTART_S = 0.5
# Tornado's word for a call of the store that timed out after its task was cancelled, as
# the tasks of a process that is asked to stop are. Nobody waits for it any more.
HARMLESS = "Exception after Future was cancelled"
# How long after its grace a process that was asked to stop is killed.
GRACE_SLACK_S = 1.0
# All switches, as deploy/vm.ini.template has them.
SCHEDULING = (
    "learned_fetches",
    "measured_engines",
    "engine_places",
    "plain_places",
    "fair_shares",
    "fast_starts",
)
DATA_CENTRES = ("gijon", "bilbao", "santander")
# VMs are at .N.1, their links at .N.2, and what they open comes from .N.3.
STORE_NET = 249
MOST_VMS = 240
# All connections between VMs through links would take this process more time than it
# has in a large fleet; what VMs with a greater number hear passes none.
MESH_LINKS = 8


class GatewayVm:
    """One VM: its addresses, its settings file, its process of the moment."""

    def __init__(self, name: str, number: int, net: str):
        self.name = name
        self.number = number
        self.host = f"{net}.{number}.1"
        self.link_host = f"{net}.{number}.2"
        self.source = f"{net}.{number}.3"
        addresses = _free_addresses(self.host, 6)
        self.callers, self.peers, self.metrics, self.ready = addresses[:4]
        self.directory, self.relays = addresses[4:]
        self.mesh: Link | None = None
        self.process: asyncio.subprocess.Process | None = None
        # Set while the soak itself ends the process.
        self.ending = False


class GatewayFleet:
    """All VMs, with the means to hurt them."""

    def __init__(self, folder: Path, journal: Journal, rng: Random, vms: int):
        if vms > MOST_VMS:
            raise ValueError(f"at most {MOST_VMS} VMs have addresses")
        self._folder = folder
        self._journal = journal
        self._net = f"127.{10 + os.getpid() % 200}"
        self._watching: set[asyncio.Task] = set()
        self._lines_per_s = 120
        self.vms = {
            f"vm-{number}": GatewayVm(f"vm-{number}", number, self._net)
            for number in range(1, vms + 1)
        }
        self.names = {vm.source: vm.name for vm in self.vms.values()}
        self.store = TroubledStore(self.names, rng)
        self.store.era = 1
        # Whether all VMs were started for the first time.
        self._begun = False
        self.store_link = Link("", by_source=True)
        self.target_links: list[Link] = []

    async def start(self) -> None:
        """Start the store, all links and all VMs."""
        self.store.start()
        self.store_link.upstream = self.store.address
        await self.store_link.start(f"{self._net}.{STORE_NET}.1:0")
        for vm in self.vms.values():
            vm.mesh = Link(vm.peers, by_source=True)
            if vm.number > MESH_LINKS:
                continue
            await vm.mesh.start(f"{vm.link_host}:0")
            self.store.spellings[vm.peers] = vm.mesh.address
        for name in self.vms:
            await self.start_vm(name)
        self._begun = True

    async def new_target_link(self) -> Link:
        """Return a link at a fresh address, whose upstream is to be set."""
        link = Link("", by_source=True)
        number = len(self.target_links)
        host = f"{self._net}.{FIRST_TARGET_NET + number // 250}.{1 + number % 250}"
        await link.start(f"{host}:0")
        self.target_links.append(link)
        return link

    # Processes

    async def start_vm(self, name: str) -> None:
        """Start a VM's process, unless it runs."""
        vm = self.vms[name]
        if vm.process is not None and vm.process.returncode is None:
            return
        vm.ending = False
        path = self.write_settings(name)
        command = ("hawthornlead.tests.soak_vm", vm.source, "gateway", "-c", str(path))
        with open(self._folder / f"{name}.log", "ab") as log:
            vm.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *command, stdout=log, stderr=log
            )
        task = asyncio.create_task(self._watch(vm, vm.process))
        self._watching.add(task)
        task.add_done_callback(self._watching.discard)

    async def _watch(self, vm: GatewayVm, process) -> None:
        code = await process.wait()
        if vm.ending:
            return
        ended = OwnEnd(vm.name, process.pid, code, time.monotonic())
        self._journal.own_ends.append(ended)
        with self._journal.trouble(ENDED_BY_ITSELF, vm.name):
            # As the platform does.
            await asyncio.sleep(RESTART_S)
            await self.start_vm(vm.name)

    async def kill_vm(self, name: str) -> None:
        """End a VM's process at once."""
        vm = self.vms[name]
        vm.ending = True
        self.signal_vm(name, signal.SIGKILL)
        await vm.process.wait()

    async def terminate_vm(self, name: str) -> None:
        """Ask a VM's process to stop, and kill it when its grace is over."""
        vm = self.vms[name]
        vm.ending = True
        asked_at = time.monotonic()
        self.signal_vm(name, signal.SIGTERM)
        try:
            await asyncio.wait_for(vm.process.wait(), GRACE_S + GRACE_SLACK_S)
        except TimeoutError:
            await self.kill_vm(name)
        self._journal.stopped.append(
            Stopped(
                name,
                vm.process.pid,
                asked_at,
                time.monotonic(),
                vm.process.returncode,
            )
        )

    def signal_vm(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a VM's process, if it runs."""
        # It may have ended a moment ago, which isn't known here yet.
        with suppress(ProcessLookupError):
            self.vms[name].process.send_signal(number)

    def write_settings(self, name: str) -> Path:
        """Write a VM's settings file; each time a little different."""
        vm = self.vms[name]
        self._lines_per_s += 1
        store = self.store_link.address
        sections = {
            "vm": {
                "vm_name": name,
                "data_centre": DATA_CENTRES[vm.number % 3],
                "caller_address": vm.callers,
                "peer_address": vm.peers,
                "relay_address": vm.relays,
                "metrics_address": vm.metrics,
                "ready_address": vm.ready,
                "directory_address": vm.directory,
            },
            "platform": {
                "store_address": store,
                "vm_list_address": store,
                "grace_s": GRACE_S,
                "first_start": "no" if self._begun else "yes",
            },
            # As deploy/vm.ini.template has them.
            "peers": {"heartbeat_s": 0.9, "peer_silent_s": 2.0, "peer_call_s": 1.0},
            "requests": {"retry_share": 0.15},
            "scheduling": dict.fromkeys(SCHEDULING, "yes"),
            "logs": {"log_format": "json", "log_lines_per_s": self._lines_per_s},
        }
        lines = []
        for section, keys in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        path = self._folder / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def vm_at(self, address: str) -> tuple[str, int]:
        """Return name and process id of the VM that callers reach at an address."""
        for vm in self.vms.values():
            if vm.callers == address:
                return vm.name, vm.process.pid
        return "", 0

    # Paths

    def store_path(self, vm: str) -> LinkPath:
        """Return a VM's path to the store."""
        return self.store_link.path(self.vms[vm].source)

    @contextmanager
    def refused_by_targets(self, *vms: str):
        """Have all new connections of some VMs to targets refused."""
        files = [(self._folder / vm).with_suffix(CUT_SUFFIX) for vm in vms]
        for file in files:
            file.touch()
        try:
            yield
        finally:
            for file in files:
                file.unlink()

    def target_path(self, vm: str, link: Link) -> LinkPath:
        """Return a VM's path to a target."""
        return link.path(self.vms[vm].source)

    def mesh_paths(self, vm: str, other: str) -> list[LinkPath]:
        """Return both paths between two VMs."""
        one, two = self.vms[vm], self.vms[other]
        return [one.mesh.path(two.source), two.mesh.path(one.source)]

    def paths_of(self, vm: str) -> list[LinkPath]:
        """Return all paths that a VM's connections take."""
        return self.paths_between(vm) + [
            self.target_path(vm, link) for link in self.target_links
        ]

    def paths_between(self, vm: str) -> list[LinkPath]:
        """Return a VM's paths to the store and to other VMs, not those to targets."""
        paths = [self.store_path(vm)]
        for other in self.linked:
            if other != vm:
                paths += self.mesh_paths(vm, other)
        return paths

    @property
    def linked(self) -> list[str]:
        """The VMs whose connections to each other all pass links."""
        return list(self.vms)[:MESH_LINKS]

    def read_errors(self) -> tuple[list[str], int]:
        """Return the errors that the VMs' logs tell, and how many lines they have."""
        errors, lines = [], 0
        for name in self.vms:
            log = self._folder / f"{name}.log"
            for line in log.read_text(errors="replace").splitlines():
                lines += 1
                if not line.startswith("{"):
                    errors.append(f"{name}: {line[:300]}")
                    continue
                try:
                    told = json.loads(line)
                except ValueError:
                    # Its process was killed within the line.
                    continue
                # A numbered event tells of something foreseen, also as an error.
                if told["event"] is not None or HARMLESS in told["message"]:
                    continue
                if told["level"] in ("ERROR", "CRITICAL"):
                    message = told["message"].partition("\n")[0]
                    errors.append(f"{name}: {message}: {told.get('exception')}")
        return errors, lines

    async def stop(self) -> None:
        """End every process by its id, then links and store."""
        for name, vm in self.vms.items():
            vm.ending = True
            if vm.process is not None:
                self.signal_vm(name, signal.SIGKILL)
        for name, vm in self.vms.items():
            if vm.process is not None:
                await self.kill_vm(name)
        for vm in self.vms.values():
            if vm.mesh is not None:
                vm.mesh.stop()
        for link in (self.store_link, *self.target_links):
            link.stop()
        await self.store.stop()


def _free_addresses(host: str, count: int) -> list[str]:
    """Return addresses with ports that the system chose, each another one."""
    with ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((host, 0))
            ports.append(probe.getsockname()[1])
    return [f"{host}:{port}" for port in ports]
