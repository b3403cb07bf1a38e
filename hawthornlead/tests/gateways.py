"""A small deployment on the platform's dialect, within one process, for tests.

::

    async with Deployment(vms=2) as deployment:
        answer = await deployment.ask("/plain/x", kind="GET")
"""

import asyncio
import itertools
import socket
from typing import NamedTuple

from hawthornlead.gateway import gateways
from hawthornlead.gateway.owner_objects import OWNERS_KIND
from hawthornlead.settings import default_settings

from .standins.platform_engine import PlatformEngine
from .standins.platform_store import PlatformStore

HOST = "office.example"
MODEL = "tide"
LONGEST_S = 20.0
# The sockets of ``free_ports``.
_held: list[socket.socket] = []


class ClientAnswer(NamedTuple):
    """What a caller got; ``whole`` if its framing shows that nothing is missing."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


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
        "attempts": 1,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def configuration(version: int, *extra: dict) -> dict:
    """Return a configuration with a route of each kind, and further ones."""
    engine = {
        "slots": 8,
        "kvTokens": 10000,
        "kvTokenBytes": 100,
        "models": [
            {
                "name": MODEL,
                "weightsMb": 100,
                "loadTimeS": 0.2,
                "adapters": 50,
                "adapterMb": 1,
            }
        ],
        "weightsMb": 110,
        "adapterSlots": 3,
        "loadsPerS": 6,
    }
    return {
        "version": version,
        "routes": [
            route("safe", "/safe/", "plain", "safe", attempts=2),
            route("unsafe", "/unsafe/", "plain", "unsafe"),
            route("stream", "/stream/", "llm", "streaming"),
            route("resume", "/resume/", "llm", "streaming", attempts=2, resumable=True),
            *extra,
        ],
        "services": [
            {"name": "llm", "healthPath": "/health", "maxConns": 50, "engine": engine},
            {"name": "plain", "healthPath": "/health", "maxConns": 50},
        ],
        "limits": {"maxBodyBytes": 100000, "idleTimeoutMs": 15000},
    }


class Deployment:
    """A store, two engines, two plain targets, and VMs.

    There is an engine for each of the ``software`` versions; ``routes`` are added, and
    ``settings`` go to all VMs.
    """

    def __init__(
        self,
        vms: int = 2,
        software: tuple[str, ...] = ("v1", "v1"),
        routes: tuple[dict, ...] = (),
        **settings,
    ):
        self._more_settings = settings
        self._routes = routes
        self._vms = vms
        self._ids = itertools.count(1)
        self.store = PlatformStore()
        self.engines = []
        for number, version in enumerate(software, 1):
            engine = PlatformEngine(f"e{number}", "llm", MODEL)
            engine.software = version
            self.engines.append(engine)
        self.plains = [PlatformEngine(f"p{n}", "plain") for n in (1, 2)]
        self.gateways: list[gateways.Gateway] = []
        self.settings: list[dict] = []

    async def __aenter__(self) -> "Deployment":
        """Start all and wait until the VMs are ready and the engines owned."""
        self.store.start()
        self.store.write("config", "main", configuration(1, *self._routes))
        for target in self.engines + self.plains:
            target.start()
            self.register(target)
        for number in range(self._vms):
            await self.add_vm(f"vm-{number + 1}")
        await self.until(lambda: all(self.ready(each) for each in self.gateways))
        return self

    async def __aexit__(self, *error) -> None:
        """Stop everything."""
        for gateway in self.gateways:
            gateway.stop()
            await gateway._mesh.stop()
            await gateway._callers.close_all_connections()
        for target in self.engines + self.plains:
            await target.stop()
        await self.store.stop()

    def register(self, target: PlatformEngine, state: str = "ready") -> None:
        """Enter a target in the store."""
        self.store.write("servers", target.target, target.entry(state))

    async def ask_before(self, target, sound: PlatformEngine) -> ClientAnswer:
        """Send a safe request, which a target answers once a sound one is known too."""
        target.may_answer.clear()
        asking = asyncio.create_task(self.ask("/safe/x", "GET"))
        await self.until(lambda: target.begun)
        self.register(sound)
        known = self.gateways[0]._targets.entries
        await self.until(lambda: sound.target in known)
        target.may_answer.set()
        return await asking

    async def add_vm(self, name: str) -> gateways.Gateway:
        """Start one more VM."""
        address = [f"127.0.0.1:{port}" for port in free_ports(5)]
        settings = default_settings(
            VM_NAME=name,
            DATA_CENTRE="gijon",
            CALLER_ADDRESS=address[0],
            PEER_ADDRESS=address[1],
            READY_ADDRESS=address[2],
            DIRECTORY_ADDRESS=address[3],
            RELAY_ADDRESS=address[4],
            STORE_ADDRESS=self.store.address,
            VM_LIST_ADDRESS=self.store.address,
            HEARTBEAT_S=0.2,
            GRACE_S=3.0,
            **self._more_settings,
        )
        gateway = gateways.Gateway(settings)
        await gateway.start()
        self.gateways.append(gateway)
        self.settings.append(settings)
        return gateway

    def ready(self, gateway: gateways.Gateway) -> bool:
        """Whether a VM serves and knows who orders each engine."""
        targets = gateway._targets
        owned = all(targets.is_orderable(engine.target) for engine in self.engines)
        known = len(targets.entries) >= len(self.engines + self.plains)
        return gateway._memberships.serving and owned and known

    def owner_fence(self, target: str) -> int:
        """Return the fence under which an engine was claimed last."""
        return self.store.spec(OWNERS_KIND, target)["fence"]

    async def until(self, condition) -> None:
        """Wait for a condition, which must come about."""
        end = asyncio.get_running_loop().time() + LONGEST_S
        while not condition():
            assert asyncio.get_running_loop().time() < end, "it did not come about"
            await asyncio.sleep(0.02)

    async def ask(
        self, path: str, method: str = "POST", vm: int = 0, body: bytes = b"", **headers
    ) -> ClientAnswer:
        """Send a request as a caller does and read its answer to the end."""
        sent = {
            "Host": HOST,
            "Request-Id": f"r{next(self._ids)}",
            "Deadline-Ms": "6000",
            "Connection": "close",
            "Content-Length": str(len(body)),
        }
        sent.update({name.replace("_", "-"): text for name, text in headers.items()})
        address = self.settings[vm]["CALLER_ADDRESS"]
        return await ask(address, method, path, sent, body)


async def ask(address, method, path, headers, body=b"") -> ClientAnswer:
    """Send one request on a new connection and read the answer to its end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    try:
        return await asyncio.wait_for(_read_answer(reader), LONGEST_S)
    finally:
        writer.close()


async def _read_answer(reader) -> ClientAnswer:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return ClientAnswer(0, {}, b"", False)
    start, *lines = head.decode("latin1").strip().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    rest = await reader.read()
    status = int(start.split()[1])
    if headers.get("Transfer-Encoding") != "chunked":
        whole = len(rest) == int(headers.get("Content-Length", "-1"))
        return ClientAnswer(status, headers, rest, whole)
    body = b""
    while True:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16) if size else -1
        if length <= 0 or len(rest) < length + 2:
            return ClientAnswer(status, headers, body, length == 0)
        body += rest[:length]
        rest = rest[length + 2 :]


def free_ports(count: int) -> list[int]:
    """Return ports that the system chose and that go to nobody else in this process.

    They stay bound without a listener until the process ends. Else the system gives one
    to an outgoing connection before its VM listens there.
    """
    ports = []
    for _ in range(count):
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        _held.append(held)
        ports.append(held.getsockname()[1])
    return ports
