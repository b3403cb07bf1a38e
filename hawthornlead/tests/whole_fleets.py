"""Whole daemons and the stand-ins in one process, for tests of the whole path.

Every daemon runs all its parts over real connections on loopback, at ports that the
system chooses; times are short. Callers' requests go out by ``WholeFleet.complete``
and ``call``; the stand-ins' records say what truly ran::

    async with whole_fleet(engines={"engine-1": {}}) as fleet:
        reply = await fleet.complete("entry-1", prompt="tide?")
        assert fleet.runs("engine-1")[0]["outcome"] == "done"
"""

import asyncio
import contextvars
import json
import weakref
from collections import defaultdict
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any

from result import UnwrapError
from tornado.httpclient import AsyncHTTPClient

from hawthornlead.bundles.bundles import prepare
from hawthornlead.daemon.daemons import Daemon
from hawthornlead.errors import ErrorKind
from hawthornlead.settings import default_settings
from hawthornlead.signatures import Statement, generate_key, public_text, sign

from .deployments import bundle_document, caller_document
from .replies import Reply, fetch_reply
from .standins.launcher import StandInSet

FAST = {
    "LEASE_S": 1.5,
    "LEASE_RENEW_S": 0.3,
    "ORDER_S": 1.0,
    "HEARTBEAT_S": 0.1,
    "PEER_SILENT_S": 0.5,
    "PEER_CALL_S": 1.0,
    "VM_LIST_INTERVAL_S": 0.1,
    "STORE_TIMEOUT_S": 0.5,
    "WATCH_SILENT_S": 1.0,
    "GRANT_S": 1.5,
    "GRANT_RENEW_S": 0.4,
    "REPORT_INTERVAL_S": 0.05,
    "LOADS_PER_S": 100.0,
    "LOADS_AT_ONCE": 4,
    "LOAD_S": 3.0,
    "DEFAULT_DEADLINE_S": 6.0,
    "STREAM_SILENT_S": 1.0,
    "DOUBT_S": 0.6,
    "ISOLATION_S": 2.0,
    "ENTRY_KEEP_S": 0.3,
    "DRAIN_S": 10.0,
    "LOG_LEVEL": "ERROR",
}
WAIT_S = 15.0
POLL_S = 0.02
FIRST_ROLL_TRIES = 3
# A prompt's alias, the adapter and the version behind it.
ALIASES = {f"brief-{n}": (f"tides-{n}", "v1") for n in range(1, 7)}


# The daemon that a task belongs to; tasks and readers inherit it.
_VM: contextvars.ContextVar[str] = contextvars.ContextVar("vm", default="")


class WholeFleet:
    """Daemons, stand-ins and callers of one test."""

    def __init__(self, standins: StandInSet, settings: dict):
        self._standins = standins
        self._settings = settings
        self._client = AsyncHTTPClient(force_instance=True, max_clients=1000)
        self._keys = {"ana": generate_key(), "bryn": generate_key()}
        self._orders = 0
        self._listed: dict[str, dict] = {}
        self._tasks: dict[str, weakref.WeakSet] = defaultdict(weakref.WeakSet)
        asyncio.get_running_loop().set_task_factory(self._make_task)
        self.daemons: dict[str, Daemon] = {}

    def standin(self, name: str) -> Any:
        """Return a stand-in by its name."""
        return self._standins.stand_ins[name]

    def runs(self, engine: str) -> list[dict]:
        """Return what an engine ran, by its own record."""
        return list(self.standin(engine).runs)

    def service_runs(self, service: str) -> list[dict]:
        """Return the calls that a plain service ran, by its own record."""
        return [call for call in self.standin(service).calls if call["ran"]]

    async def start(self, vms: dict[str, str]) -> None:
        """Start the stand-ins and a daemon for each VM, by data centre."""
        self.addresses = await self._standins.start()
        for name, data_centre in vms.items():
            await self.start_vm(name, data_centre)

    async def start_vm(self, name: str, data_centre: str, seed: int = 0) -> Daemon:
        """Start one daemon and enter it in the VM list."""
        settings = default_settings(
            **{
                **FAST,
                "VM_NAME": name,
                "DATA_CENTRE": data_centre,
                "CALLER_ADDRESS": "127.0.0.1:0",
                "PEER_ADDRESS": "127.0.0.1:0",
                "STORE_ADDRESS": self.addresses["store"],
                "VM_LIST_ADDRESS": self.addresses["vms"],
                "OPERATORS": {
                    operator: public_text(key) for operator, key in self._keys.items()
                },
                **self._settings,
            }
        )
        seed = seed or sum(name.encode())
        context = contextvars.copy_context()
        context.run(_VM.set, name)
        daemon = self.daemons[name] = Daemon(settings, seed=seed)
        loop = asyncio.get_running_loop()
        await loop.create_task(daemon.start(), context=context)
        self.list_vm(name, daemon.caller_address, data_centre)
        return daemon

    def list_vm(self, name: str, address: str, data_centre: str) -> None:
        """Enter an entry VM in the VM list."""
        self._listed[name] = {
            "name": name,
            "role": "entry",
            "address": address,
            "data_centre": data_centre,
            "state": "live",
            "attributes": {},
        }
        self._publish()

    def set_listed(self, name: str, **changes: Any) -> None:
        """Change the VM list's entry of a VM or target, such as its ``state``."""
        for entry in [*self._standins.vms, *self._listed.values()]:
            if entry["name"] == name:
                entry.update(changes)
        self._publish()

    def _publish(self) -> None:
        entries = [dict(e) for e in [*self._standins.vms, *self._listed.values()]]
        self.standin("vms").set_entries(entries)

    async def stop_vm(self, name: str) -> None:
        """Stop a daemon without draining it."""
        await self.daemons.pop(name).stop()

    async def kill_vm(self, name: str) -> None:
        """End a daemon as a power cut would: no goodbye, every connection gone."""
        daemon = self.daemons.pop(name)
        daemon._timers.stop()
        daemon._mesh._server.close()
        for connection in tuple(daemon._mesh._connections):
            connection.abort("killed")
        for server in daemon._servers:
            server.stop()
            for connection in tuple(server._connections):
                connection.stream.close()
        tasks = [task for task in self._tasks.pop(name) if not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        daemon._connections.close()

    def _make_task(self, loop, coroutine, **options) -> asyncio.Task:
        task = asyncio.Task(coroutine, loop=loop, **options)
        self._tasks[_task_vm(options.get("context"))].add(task)
        return task

    async def stop(self) -> None:
        """Stop everything."""
        for name in list(self.daemons):
            await self.stop_vm(name)
        await self._standins.stop()
        self._client.close()

    async def roll(self, document: dict, repeats: int = 0) -> int:
        """Prepare, approve and roll a bundle at the first VM; return its number.

        The same order is repeated so often if its outcome is unknown.
        """
        keeper = next(iter(self.daemons.values()))._keeper
        await until(self.met)
        made = prepare(document).unwrap()
        for chunk in made.chunks:
            (await keeper.library.put_chunk(chunk)).unwrap()
        digest = made.bundle.digest
        prepared = Statement("prepare", "ana", digest)
        (await keeper.library.prepare(sign(self._keys["ana"], prepared))).unwrap()
        approved = Statement("approve", "bryn", digest)
        (await keeper.library.approve(sign(self._keys["bryn"], approved))).unwrap()
        self._orders += 1
        order = Statement(
            "roll", "ana", digest, f"o{self._orders}", keeper.seq_in_force
        )
        rolled = await keeper.roll(sign(self._keys["ana"], order))
        for _ in range(repeats):
            if rolled.is_ok() or rolled.err_value.kind is not ErrorKind.ROLL_UNKNOWN:
                break
            rolled = await keeper.roll(sign(self._keys["ana"], order))
        outcome = rolled.unwrap()
        await until(lambda: self._serves(outcome.seq))
        return outcome.seq

    async def first_roll(self, document: dict) -> int:
        """Roll the bundle that a test starts from, as an operator does who tries again.

        On a machine with 20 busy processes the store's stand-in took longer to answer
        than a VM waits for it. Later rolls, which tests look at, aren't repeated.
        """
        for _ in range(FIRST_ROLL_TRIES - 1):
            try:
                return await self.roll(document, FIRST_ROLL_TRIES)
            except UnwrapError as error:
                if error.result.err_value.kind is not ErrorKind.STORE_UNAVAILABLE:
                    raise
        return await self.roll(document, FIRST_ROLL_TRIES)

    def met(self) -> bool:
        """Whether every daemon is registered and connected to all the others."""
        count = len(self.daemons)
        return all(
            daemon._leases.held() and len(daemon._members.live_vms()) == count
            for daemon in self.daemons.values()
        )

    def _serves(self, seq: int) -> bool:
        keepers = [daemon._keeper for daemon in self.daemons.values()]
        serving = [keeper.may_serve() for keeper in keepers]
        return all(one.is_ok() and one.unwrap().seq == seq for one in serving)

    async def owned(self) -> None:
        """Wait until every target has an owner whose state all daemons know."""
        engines = [e["name"] for e in self._standins.vms if e["role"] == "engine"]

        def known() -> bool:
            for daemon in self.daemons.values():
                views = {view.target: view for view in daemon._views.views()}
                if any(n not in views or views[n].state is None for n in engines):
                    return False
            return True

        await until(known)

    async def complete(
        self, vm: str, alias: str = "brief-1", timeout_s: float = 20, **options: Any
    ) -> Reply:
        """Ask a VM for a completion; options are fields of the body or ``headers``."""
        headers = headers_of(
            options.pop("caller", "office"), options.pop("headers", {})
        )
        body = {"model": alias, "prompt": "tide?", "max_tokens": 8} | options
        address = self.daemons[vm].caller_address
        data = json.dumps(body).encode()
        return await self.fetch(
            "POST", address, "/v1/completions", data, headers, timeout_s
        )

    async def call(
        self, vm: str, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> Reply:
        """Call a plain service through a VM."""
        address = self.daemons[vm].caller_address
        path = f"/services/bulletins{path}"
        return await self.fetch(
            method, address, path, body, headers_of("office", headers)
        )

    async def fetch(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 20,
    ) -> Reply:
        """Send one HTTP request and return whatever came of it."""
        return await fetch_reply(
            self._client, method, address, path, body, headers, timeout_s
        )


def _task_vm(context: contextvars.Context | None) -> str:
    return _VM.get() if context is None else context.get(_VM, "")


def headers_of(caller: str, more: dict[str, str]) -> dict[str, str]:
    """Return a caller's headers; underscores in names stand for hyphens."""
    headers = {"Authorization": f"Bearer {caller}-token"}
    for name, value in more.items():
        headers[name.replace("_", "-")] = value
    return headers


async def until(condition: Callable[[], Any], limit_s: float = WAIT_S) -> None:
    """Wait until a condition holds; an AssertionError if it never does."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + limit_s
    while not condition():
        assert loop.time() < ends_at, "the condition never held"
        await asyncio.sleep(POLL_S)


def description(engines: dict[str, dict], services: tuple[str, ...], settings) -> str:
    """Return the stand-ins' description; engines by name with their faults.

    The weight store allows what the settings say that it allows.
    """
    allowed = FAST | settings
    text = "[object_api store]\nbookmark_s = 0.2\n[vm_list vms]\n"
    text += "[weight_store weights]\nload_s = 0.02\n"
    text += f"loads_per_s = {allowed['LOADS_PER_S']}\n"
    text += f"at_once = {allowed['LOADS_AT_ONCE']}\n"
    for name, faults in engines.items():
        keys = {"data_centre": "santander", "slots": 4, "fencing": True} | faults
        keys.setdefault("weight_store", "weights")
        text += f"[engine {name}]\n"
        for key, value in keys.items():
            text += (
                f"{key} = {value if isinstance(value, str) else json.dumps(value)}\n"
            )
    for name in services:
        text += f"[service {name}]\nservice = bulletins\ndata_centre = santander\n"
    return text


def callers(**terms: Any) -> list[dict]:
    """Return the callers of the tests' bundle; ``terms`` are the second one's.

    The second may call no service.
    """
    return [
        caller_document("office", ALIASES),
        caller_document("harbour", ALIASES, services=[], **terms),
    ]


@asynccontextmanager
async def whole_fleet(
    *,
    engines: dict[str, dict],
    vms: dict[str, str] | None = None,
    services: tuple[str, ...] = (),
    terms: dict[str, Any] | None = None,
    **settings: Any,
):
    """Run a fleet with a bundle in force and all its targets owned."""
    standins = StandInSet.read(description(engines, services, settings))
    fleet = WholeFleet(standins, settings)
    try:
        await fleet.start(vms or {"entry-1": "santander"})
        await fleet.first_roll(bundle_document("spring", callers(**(terms or {}))))
        await fleet.owned()
        yield fleet
    finally:
        await fleet.stop()
