"""What a VM adds to an answer, and how much of a core relaying costs.

One VM process, engine stand-ins in processes of their own and one client process, on
loopback. Adapters are warm: no load is in the figures.
"""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from tempfile import mkdtemp
from typing import Any

from .deployments import Operators, bundle_document, caller_document
from .fleets import Deployment, Fleet, VmSpec
from .measure_tools import usage, waited_s, write_result

ENGINES = 4
ENGINE = {"slots": 16, "max_running": 512, "max_queued": 4096, "fencing": True}
ALIASES = 10
STREAM_TOKENS = 200
HALF_CORE = 0.5
PROMPT = "x" * 200
SETTLE_S = 3.0


class Bench:
    """A fleet of one VM with engines in other processes."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self._engines: list[asyncio.subprocess.Process] = []
        self.addresses: dict[str, str] = {}
        self.holders: dict[str, str] = {}

    @property
    def vm(self):
        """The running VM."""
        return self.fleet.vms["entry-1"]

    async def start_engines(self) -> None:
        """Start the engines and enter them in the VM list."""
        entries = (await self.fleet.record("vms"))["vms"]
        for number in range(ENGINES):
            entries.append(await self._start_engine(f"engine-{number}"))
        await self.fleet.post(
            self.fleet.addresses["vms"], "/standin/entries", {"vms": entries}
        )

    async def _start_engine(self, name: str) -> dict[str, Any]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hawthornlead.tests.measure_engines",
            "1",
            json.dumps(ENGINE),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._engines.append(process)
        line = await process.stdout.readline()
        self.addresses[name] = json.loads(line)[0]
        return {
            "name": name,
            "role": "engine",
            "address": self.addresses[name],
            "data_centre": "dc0",
            "state": "live",
            "attributes": {
                "base_models": ["base"],
                "slots": ENGINE["slots"],
                "fencing": ENGINE["fencing"],
                "max_running": ENGINE["max_running"],
                "weight_store": "",
            },
        }

    async def stop(self) -> None:
        """End the engines."""
        for process in self._engines:
            process.kill()
            await process.wait()

    async def pace(self, token_s: float) -> None:
        """Set the engines' time between tokens."""
        for address in self.addresses.values():
            await self.fleet.post(address, "/standin/faults", {"token_s": token_s})

    async def warm(self) -> None:
        """Have every adapter loaded, one or more on each engine."""
        for number in range(ALIASES):
            await self._warm_one(f"alias-{number}")
        for name, address in self.addresses.items():
            record = (await self.fleet.get(address, "/standin/record")).json
            for adapter, _version in record["residents"]:
                self.holders.setdefault(adapter, name)

    async def _warm_one(self, alias: str) -> None:
        body = {"model": alias, "prompt": "warm", "max_tokens": 2}
        token = {"Authorization": "Bearer caller-token"}
        for _ in range(100):
            reply = await self.fleet.post(
                self.vm.caller_address, "/v1/completions", body, **token
            )
            if reply.status == 200:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{alias}: {reply.status} {reply.body[:300]}")

    def calls(self, tokens: int, direct: bool = False) -> list[dict[str, str]]:
        """Return calls by way of the VM, and as many direct ones if asked."""
        calls = []
        for number in range(ALIASES):
            body = {"model": f"alias-{number}", "prompt": PROMPT, "stream": True}
            body["max_tokens"] = tokens
            calls.append(_call("vm", self.vm.caller_address, body))
            if direct:
                holder = self.holders[f"adapter-{number}"]
                calls.append(
                    _call("direct", self.addresses[holder], _direct(number, tokens))
                )
        return calls

    async def load(self, **plan: Any) -> dict[str, Any]:
        """Run one plan in a client process; return its outcome and the VM's cost."""
        pid = self.vm.process.pid
        before, waited_before = usage(pid), waited_s(pid)
        client = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hawthornlead.tests.measure_clients",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await client.communicate(json.dumps(plan).encode())
        after, waited = usage(pid), waited_s(pid) - waited_before
        outcome = json.loads(output)
        spent = after.processor_s - before.processor_s
        through = outcome["routes"]["vm"]
        return outcome | {
            "vm_core_share": round(spent / outcome["seconds"], 3),
            "vm_waited_share": round(waited / outcome["seconds"], 3),
            "requests_per_core_s": round(through["answered"] / spent, 1),
            "chunks_per_core_s": round(through["tokens"] / spent, 1),
            "requests_per_s": round(through["answered"] / outcome["seconds"], 1),
            "chunks_per_s": round(through["tokens"] / outcome["seconds"], 1),
        }


def _call(route: str, address: str, body: dict[str, Any]) -> dict[str, str]:
    data = json.dumps(body)
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n"
        "Authorization: Bearer caller-token\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    return {"route": route, "address": address, "data": head + data}


def _direct(number: int, tokens: int) -> dict[str, Any]:
    return {
        "id": f"direct-{number}",
        "adapter": f"adapter-{number}",
        "version": "v1",
        "base_model": "base",
        "prompt": PROMPT,
        "max_tokens": tokens,
        "stream": True,
        "offset": 0,
        "priority": 5,
    }


async def with_bench(work, command: list[str] | None = None) -> Any:
    """Start one VM with warm adapters, do ``work`` and end all."""
    operators = Operators(Path(mkdtemp(prefix="operators-")))
    keys = await operators.make_keys()
    standins = "[object_api store]\n[vm_list vms]\n"
    settings = {"requests": {"max_open_requests": 5000}, "grants": {"grant_size": 64}}
    deployment = Deployment((VmSpec("entry-1", "dc0"),), standins, settings, keys)
    async with Fleet(deployment, command) as fleet:
        bench = Bench(fleet)
        try:
            await bench.start_engines()
            await fleet.start_vms()
            await asyncio.sleep(SETTLE_S)
            await operators.put_in_force(bench.vm.caller_address, _document())
            await fleet.wait_ready("entry-1")
            await bench.warm()
            return await work(bench)
        finally:
            await bench.stop()


def _document() -> dict[str, Any]:
    aliases = {
        f"alias-{number}": (f"adapter-{number}", "v1") for number in range(ALIASES)
    }
    caller = caller_document(
        "caller", aliases, rate=100_000, burst=100_000, concurrency=10_000
    )
    return bundle_document("path", [caller])


async def whole(bench: Bench) -> list[dict[str, Any]]:
    """Measure the ceilings, the latencies at half of them, and memory."""
    rows = []

    def add(what: str, outcome: dict[str, Any]) -> dict[str, Any]:
        rows.append({"what": what, **outcome})
        return outcome

    add("open streams", await _memory(bench))
    await bench.pace(0.01)
    add(
        "most chunks",
        await bench.load(
            loop="closed", width=300, seconds=12, calls=bench.calls(STREAM_TOKENS)
        ),
    )
    await bench.pace(0.002)
    most = add(
        "most requests of 16 tokens",
        await bench.load(loop="closed", width=32, seconds=10, calls=bench.calls(16)),
    )
    # What the VM carried in this run, on this machine as busy as it was.
    rate = round(most["requests_per_s"] / 2, 1)
    await bench.pace(0.01)
    half = add("half load", await _paced(bench, rate))
    # Tokens that come one by one cost more than the bursts of the run before: half
    # its requests are more than half a core.
    rate = round(rate * HALF_CORE / half["vm_core_share"], 1)
    add("half a core", await _paced(bench, rate))
    add("few", await _few(bench))
    return rows


async def _paced(bench: Bench, rate: float) -> dict[str, Any]:
    """Offer ``rate`` requests a second by the VM and as many directly."""
    return {"rate_by_vm": rate} | await bench.load(
        loop="open", rate=2 * rate, seconds=20, calls=bench.calls(16, direct=True)
    )


async def _few(bench: Bench) -> dict[str, Any]:
    return await bench.load(
        loop="open", rate=20, seconds=10, calls=bench.calls(16, direct=True)
    )


async def _memory(bench: Bench) -> dict[str, Any]:
    """Hold 500 slow streams open and weigh the VM before and during."""
    await bench.pace(0.5)
    before = usage(bench.vm.process.pid).resident
    loading = asyncio.ensure_future(
        bench.load(loop="closed", width=500, seconds=1, calls=bench.calls(12))
    )
    await asyncio.sleep(5)
    during = usage(bench.vm.process.pid).resident
    outcome = await loading
    return {
        "streams": 500,
        "bytes_per_stream": round((during - before) / 500),
        "answered": outcome["routes"]["vm"]["answered"],
    }


async def measure(name: str = "path") -> None:
    """Measure and write the path's figures."""
    rows = await with_bench(whole)
    write_result(name, rows, engines=ENGINES, prompt_bytes=len(PROMPT))


async def profile(path: str, tokens: int, width: int) -> None:
    """Write a profile of the VM under ``width`` streams of ``tokens`` at a time."""
    os.environ["PROFILE"] = path

    async def work(bench: Bench) -> None:
        pid = bench.vm.process.pid
        os.kill(pid, signal.SIGUSR2)
        plan = {"loop": "closed", "width": width, "seconds": 8}
        outcome = await bench.load(**plan, calls=bench.calls(tokens))
        print(json.dumps(outcome, indent=1))
        os.kill(pid, signal.SIGUSR1)
        await asyncio.sleep(2)

    command = [sys.executable, "-m", "hawthornlead.tests.measure_profiles"]
    await with_bench(work, command)
