"""Clients that keep to no limit, and a real gateway process that they press.

The process is the program itself, on loopback addresses, with a descriptor limit of its
own. The store and the targets are stand-ins in the tests' process::

    async with PressedGateway(open_files=256) as gateway:
        crowd = await Crowd.connect(gateway.address("callers"), 24)
        await crowd.send([head, body])
        await gateway.assert_serves("callers")
"""

import asyncio
import os
import resource
import socket
import sys
import tempfile
from pathlib import Path

from tornado import httputil

from .gateways import HOST, ClientAnswer, ask, configuration, free_ports
from .standins.endless_target import EndlessStore
from .standins.platform_engine import PlatformEngine
from .standins.platform_store import PlatformStore

# The memory of the smallest VM that a deployment has, in bytes.
SMALLEST_VM_BYTES = 160 << 20
# The largest body that the operator's configuration allows.
BODY_LIMIT = 4 << 20
LONG_ANSWER_BYTES = 4 << 20
EVENT_BYTES = 1 << 14
# A little less than the longest event that a VM takes.
UNENDED_EVENT_BYTES = 1_000_000
SAMPLE_S = 0.05
# After so long without progress a client sends no more, and stays connected.
STALL_S = 3.0
LONGEST_S = 60.0
# What a client that reads nothing has the system buffer for it.
CLIENT_BUFFER_BYTES = 4096
ROLES = ("callers", "peers", "ready", "directory", "relay", "metrics")
PATHS = {
    "callers": "/safe/x",
    "relay": "/safe/x",
    "ready": "/v1/ready",
    "directory": f"/v1/resolve?name={HOST}&region=default&zone=gijon",
    "metrics": "/metrics",
}
OPTIONS = {
    "ready": "ready_address",
    "directory": "directory_address",
    "callers": "caller_address",
    "peers": "peer_address",
    "relay": "relay_address",
    "metrics": "metrics_address",
}


class LongAnswers(PlatformEngine):
    """A target whose answers to requests for ``/long`` paths are long.

    A plain one answers with one body, an engine with many events. An answer for an
    ``/unended`` path stops within the body, or within an event.
    """

    async def _answer_request(self, call, request_id: str, fault: str):
        if "/unended" in call.path:
            await self._stop_inside(call, request_id)
            return
        if "/long" not in call.path:
            await super()._answer_request(call, request_id, fault)
            return
        sealed = {"Request-Id": request_id, "Server-Seal": f"seal-{self.target}"}
        if not self._model:
            self._answer(call, 200, b"x" * LONG_ANSWER_BYTES, sealed)
            return
        headers = httputil.HTTPHeaders(sealed)
        headers["Content-Type"] = "text/event-stream"
        for number in range(1, LONG_ANSWER_BYTES // EVENT_BYTES + 1):
            if call.left:
                return
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
            if call.answered:
                call.write(event)
            else:
                call.begin(200, "OK", headers, event)
            await asyncio.sleep(0)
        call.finish()

    async def _stop_inside(self, call, request_id: str) -> None:
        headers = httputil.HTTPHeaders({"Request-Id": request_id, "Server-Seal": "s"})
        size = UNENDED_EVENT_BYTES if self._model else LONG_ANSWER_BYTES
        call.begin(200, "OK", headers, b"data: " + b"x" * size)
        await call.gone


class UsageSampler:
    """What one process uses, sampled from ``start`` until ``stop``.

    ``peak_bytes`` is the most that its memory and the unread and unsent bytes of its
    sockets took together, ``peak_files`` the most descriptors that it had open.
    """

    def __init__(self, process: asyncio.subprocess.Process, ports: set[int]):
        self._process = process
        self._ports = ports
        self._sampling: asyncio.Task | None = None
        self.peak_bytes = 0
        self.peak_files = 0

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process.returncode is None

    def start(self) -> None:
        """Start to sample."""
        self._sampling = asyncio.create_task(self._sample())

    def stop(self) -> None:
        """Stop sampling."""
        if self._sampling is not None:
            self._sampling.cancel()

    def assert_within(self, most_bytes: int = SMALLEST_VM_BYTES) -> None:
        """Check that the process lives and was never over the bound of its memory."""
        assert self.alive
        assert self.peak_bytes <= most_bytes, f"{self.peak_bytes} bytes"

    async def settle(self) -> None:
        """Wait until what the process uses has not grown for a while."""
        calm, before = 0, self.peak_bytes
        while calm < 20 and self.alive:
            await asyncio.sleep(SAMPLE_S)
            grown = self.peak_bytes > before + (1 << 18)
            calm, before = (0, self.peak_bytes) if grown else (calm + 1, before)

    async def _sample(self) -> None:
        pid = self._process.pid
        while True:
            used = memory_bytes(pid) + queued_bytes(self._ports)
            self.peak_bytes = max(self.peak_bytes, used)
            self.peak_files = max(self.peak_files, open_files(pid))
            await asyncio.sleep(SAMPLE_S)


class PressedGateway:
    """One gateway process with its store and targets; ``usage`` is what it uses."""

    def __init__(
        self,
        open_files: int | None = None,
        body_limit: int = BODY_LIMIT,
        store_front: EndlessStore | None = None,
    ):
        self._store_front = store_front
        self._open_files = open_files
        self._body_limit = body_limit
        self._folder = tempfile.TemporaryDirectory(prefix="pressed-")
        self._store = PlatformStore()
        self._targets = [
            LongAnswers("e1", "llm", "tide"),
            LongAnswers("p1", "plain"),
            LongAnswers("p2", "plain"),
        ]
        self._ports = dict(zip(ROLES, free_ports(len(ROLES)), strict=True))
        self._process: asyncio.subprocess.Process | None = None
        self._requests = 0
        self.usage: UsageSampler | None = None

    async def __aenter__(self) -> "PressedGateway":
        """Start all and wait until the process serves."""
        self._store.start()
        if self._store_front is not None:
            await self._store_front.begin(self._store.address)
        first = configuration(1)
        first["limits"]["maxBodyBytes"] = self._body_limit
        self._store.write("config", "main", first)
        for target in self._targets:
            target.start()
            # Every request is served at once, so that only clients slow it down.
            target.places = 200
            self.register(target)
        path = self._write_settings()
        with open(Path(self._folder.name) / "log", "wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "hawthornlead", "gateway", "-c", str(path)),
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_files if self._open_files else None,
            )
        for role in PATHS:
            await self._until_served(role)
        self.usage = UsageSampler(self._process, set(self._ports.values()))
        self.usage.start()
        return self

    async def __aexit__(self, *error) -> None:
        """End the process by its id, and stop the stand-ins."""
        if self.usage is not None:
            self.usage.stop()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        for target in self._targets:
            await target.stop()
        if self._store_front is not None:
            await self._store_front.stop()
        await self._store.stop()
        self._folder.cleanup()

    def target(self, name: str) -> PlatformEngine:
        """Return one of its targets."""
        return next(each for each in self._targets if each.target == name)

    def register(self, target: PlatformEngine) -> None:
        """Write a target's entry to the store."""
        self._store.write("servers", target.target, target.entry())

    def remove(self, name: str) -> None:
        """Remove a target's entry from the store."""
        self._store.remove("servers", name)

    def address(self, role: str) -> str:
        """Return the process's address for callers, peers and so on."""
        return f"127.0.0.1:{self._ports[role]}"

    async def ask(self, role: str, path: str = "", **headers: str) -> ClientAnswer:
        """Send one ordinary request and read its answer."""
        self._requests += 1
        sent = {
            "Host": HOST,
            "Request-Id": f"ordinary-{self._requests}",
            "Deadline-Ms": "6000",
            "Connection": "close",
            **headers,
        }
        return await ask(self.address(role), "GET", path or PATHS[role], sent)

    async def assert_serves(self, role: str) -> None:
        """Check that the process lives and answers one ordinary request."""
        assert self.usage.alive
        answer = await self.ask(role)
        assert (answer.status, answer.whole) == (200, True)

    def _write_settings(self) -> Path:
        lines = ["[vm]", "vm_name = vm-1", "data_centre = gijon"]
        lines += [f"{OPTIONS[role]} = {self.address(role)}" for role in ROLES]
        store = (self._store_front or self._store).address
        lines += ["[platform]", f"store_address = {store}"]
        lines += [f"vm_list_address = {store}", "first_start = yes"]
        path = Path(self._folder.name) / "vm.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def _limit_files(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._open_files,) * 2)

    async def terminate(self) -> int:
        """Ask the process to stop; return its status."""
        self._process.terminate()
        return await asyncio.wait_for(self._process.wait(), LONGEST_S)

    async def _until_served(self, role: str) -> None:
        async with asyncio.timeout(LONGEST_S):
            while not await self._is_served(role):
                assert self._process.returncode is None
                await asyncio.sleep(0.05)

    async def _is_served(self, role: str) -> bool:
        try:
            return (await self.ask(role)).status == 200
        except OSError:
            return False


class Crowd:
    """Open connections of clients that read nothing unless they are asked to."""

    def __init__(self, sockets: list[socket.socket]):
        self._sockets = sockets

    def __enter__(self) -> "Crowd":
        """Return the crowd, whose connections stay open until the end."""
        return self

    def __exit__(self, *error) -> None:
        """Close all connections."""
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for each in self._sockets:
            each.close()

    @classmethod
    async def connect(cls, address: str, count: int) -> "Crowd":
        """Open connections; those that aren't accepted in time are left pending."""
        host, _, port = address.rpartition(":")
        sockets = []
        for _ in range(count):
            client = socket.socket()
            size = CLIENT_BUFFER_BYTES
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            client.setblocking(False)
            client.connect_ex((host, int(port)))
            sockets.append(client)
        await asyncio.sleep(0.5)
        return cls(sockets)

    async def send(self, parts: list[bytes]) -> None:
        """Send the same bytes on all connections, as far as they are taken.

        A connection that takes nothing for ``STALL_S`` is left as it is, open.
        """
        data = b"".join(parts)
        await asyncio.gather(*[_send(each, data) for each in self._sockets])


async def _send(client: socket.socket, data: bytes) -> None:
    loop = asyncio.get_running_loop()
    unsent = memoryview(data)
    while unsent:
        try:
            async with asyncio.timeout(STALL_S):
                await loop.sock_sendall(client, unsent[: 1 << 16])
        except (TimeoutError, OSError):
            return
        unsent = unsent[1 << 16 :]


def memory_bytes(pid: int) -> int:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/statm").read_text()
    except OSError:
        return 0
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


def queued_bytes(ports: set[int]) -> int:
    """Return the bytes that sockets at these local ports have not sent or read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) in ports and fields[3] != "0A":
            total += sum(int(size, 16) for size in fields[4].split(":"))
    return total


def open_files(pid: int) -> int:
    """Return how many descriptors a process has open, 0 if it has ended."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0
