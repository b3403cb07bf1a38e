"""Deployments for the demo, the long randomised run and the measurements."""

import asyncio
import hashlib
import json
import sys
from pathlib import Path
from typing import Any

from hawthornlead.tests.fleets import Deployment, Fleet, VmSpec

OPERATORS = ("ana", "bryn")

# Short times, so that a demonstration on one machine takes seconds.
FAST_SETTINGS: dict[str, dict[str, Any]] = {
    "lease": {"lease_s": 2.0, "lease_renew_s": 0.5, "order_s": 2.0},
    "peers": {"heartbeat_s": 0.25, "peer_silent_s": 1.0},
    "platform": {"vm_list_interval_s": 0.25, "store_timeout_s": 1.0},
    "grants": {"grant_s": 3.0, "grant_renew_s": 1.0, "report_interval_s": 0.2},
    "loads": {"load_s": 5.0},
    "entry": {"entry_keep_s": 1.0, "drain_s": 20.0},
    "logs": {"log_level": "INFO"},
}


def engine_section(name: str, data_centre: str, **faults: Any) -> str:
    """Return one engine's section of the stand-ins' description."""
    keys = {"data_centre": data_centre, "weight_store": "weights"} | faults
    lines = [f"[engine {name}]"]
    lines += [
        f"{key} = {value if isinstance(value, str) else json.dumps(value)}"
        for key, value in keys.items()
    ]
    return "\n".join(lines) + "\n"


def service_section(name: str, service: str, data_centre: str) -> str:
    """Return one plain service's section of the stand-ins' description."""
    return f"[service {name}]\nservice = {service}\ndata_centre = {data_centre}\n"


PLATFORM_SECTIONS = (
    "[object_api store]\n[vm_list vms]\n"
    "[weight_store weights]\nloads_per_s = 6\nat_once = 2\n"
)


def token_hash(token: str) -> str:
    """Return what a bundle holds of a caller's token."""
    return hashlib.sha256(token.encode()).hexdigest()


def caller_document(name: str, aliases: dict[str, tuple], **terms: Any) -> dict:
    """Return one caller of a bundle document; its token is ``NAME-token``."""
    document = {
        "name": name,
        "token_sha256": [token_hash(f"{name}-token")],
        "priority": 5,
        "rate": 1000,
        "burst": 1000,
        "concurrency": 200,
        "aliases": {
            alias: {"adapter": adapter, "version": version}
            for alias, (adapter, version) in aliases.items()
        },
        "services": ["bulletins"],
    }
    return document | terms


def bundle_document(name: str, callers: list[dict], base_model: str = "base") -> dict:
    """Return a bundle document with all adapters that its callers are assigned."""
    used = {
        (target["adapter"], target["version"])
        for caller in callers
        for target in caller["aliases"].values()
    }
    return {
        "name": name,
        "note": "",
        "adapters": [
            {"adapter": adapter, "version": version, "base_model": base_model}
            for adapter, version in sorted(used)
        ],
        "callers": callers,
        "services": [
            {
                "name": "bulletins",
                "calls": [
                    {"method": "GET", "path": "/search", "repeatable": True},
                    {"method": "POST", "path": "/file", "repeatable": False},
                ],
            }
        ],
    }


class Operators:
    """Two operators with keys, who work by the command line as people do."""

    def __init__(self, folder: Path):
        self._folder = folder
        self.public_keys: dict[str, str] = {}

    async def make_keys(self) -> dict[str, str]:
        """Make a key for each operator; return the public keys for the settings."""
        for name in OPERATORS:
            code, output = await run_cli("keys", "new", str(self._key(name)))
            if code:
                raise RuntimeError(output)
            self.public_keys[name] = output.split()[-1]
        return self.public_keys

    async def prepare(self, vm: str, document: dict) -> str:
        """Prepare a bundle as the first operator; return its digest."""
        path = self._folder / f"{document['name']}.json"
        path.write_text(json.dumps(document))
        output = await self._checked("prepare", OPERATORS[0], vm, str(path))
        return _digest_in(output)

    async def approve(self, vm: str, digest: str) -> None:
        """Approve a bundle as the second operator."""
        await self._checked("approve", OPERATORS[1], vm, digest)

    async def roll(
        self, vm: str, digest: str, *more: str, operator: int = 0
    ) -> tuple[int, str]:
        """Roll a bundle; return the exit code and what was printed."""
        return await self._run("roll", OPERATORS[operator], vm, digest, *more)

    async def put_in_force(self, vm: str, document: dict) -> str:
        """Prepare, approve and roll a bundle; return its digest."""
        digest = await self.prepare(vm, document)
        await self.approve(vm, digest)
        await self._checked("roll", OPERATORS[0], vm, digest)
        return digest

    async def ask(self, vm: str, query: str, *more: str) -> tuple[int, str]:
        """Ask a VM a query that needs a signature, at its callers' address."""
        name = OPERATORS[0]
        proof = ("--operator", name, "--key", str(self._key(name)), "--vm", vm)
        return await run_cli(query, *proof, *more)

    async def _checked(self, command: str, operator: str, vm: str, *more: str) -> str:
        code, output = await self._run(command, operator, vm, *more)
        if code:
            raise RuntimeError(f"bundle {command}: exit {code}: {output}")
        return output

    async def _run(self, command: str, operator: str, vm: str, *more: str):
        proof = ("--operator", operator, "--key", str(self._key(operator)), "--vm", vm)
        return await run_cli("bundle", command, *proof, *more)

    def _key(self, name: str) -> Path:
        return self._folder / f"{name}.key"


async def run_cli(*arguments: str) -> tuple[int, str]:
    """Run the command line in a process of its own; return exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hawthornlead",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode().strip()


async def started(fleet: Fleet) -> None:
    """Start all VMs of a fleet and wait until every one has joined."""
    await fleet.start_vms()


def three_data_centres(operators: dict[str, str], **faults: Any) -> Deployment:
    """Six VMs, eight engines (every other one fencing), two services.

    ``faults`` are set on every engine from the beginning.
    """
    data_centres = ("santander", "bilbao", "gijon")
    standins = PLATFORM_SECTIONS
    for number in range(8):
        common = {"slots": 3, "fencing": number % 2 == 0} | faults
        data_centre = data_centres[number % 3]
        standins += engine_section(f"engine-{number + 1}", data_centre, **common)
    standins += service_section("bulletins-1", "bulletins", "santander")
    standins += service_section("bulletins-2", "bulletins", "bilbao")
    vms = tuple(
        VmSpec(f"entry-{number + 1}", data_centres[number % 3]) for number in range(6)
    )
    return Deployment(vms, standins, FAST_SETTINGS, operators)


def two_data_centres(operators: dict[str, str]) -> Deployment:
    """Three VMs, three engines and two services in two data centres."""
    standins = PLATFORM_SECTIONS
    standins += engine_section("engine-1", "santander", slots=2, fencing=True)
    standins += engine_section("engine-2", "santander", slots=2)
    standins += engine_section("engine-3", "bilbao", slots=2, fencing=True)
    standins += service_section("bulletins-1", "bulletins", "santander")
    standins += service_section("bulletins-2", "bulletins", "bilbao")
    vms = (
        VmSpec("entry-1", "santander"),
        VmSpec("entry-2", "santander"),
        VmSpec("entry-3", "bilbao"),
    )
    return Deployment(vms, standins, FAST_SETTINGS, operators)


def _digest_in(output: str) -> str:
    for word in output.replace(",", " ").split():
        if len(word) == 64 and all(char in "0123456789abcdef" for char in word):
            return word
    raise RuntimeError(f"no digest in: {output}")
