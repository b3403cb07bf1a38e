"""Tests of a real gateway process under clients that keep to no limit.

Each checks what doesn't depend on the machine's speed: that the process lives, that its
memory, with what its sockets hold, and its descriptors stay under a bound, and that it
answers one ordinary request while the crowd's connections are still open.
"""

import asyncio

import pytest

from .gateways import HOST, ask
from .hostile_clients import BODY_LIMIT, PATHS, Crowd, PressedGateway

ADDRESSES = tuple(PATHS)
REQUEST_ADDRESSES = ("callers", "relay")
# The largest message between VMs.
FRAME_BYTES = 1 << 20
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
    b"Sec-WebSocket-Version: 13\r\n\r\n"
)
# A masked binary frame of the largest size.
FRAME_HEAD = b"\x82\xff" + FRAME_BYTES.to_bytes(8) + b"mask"
# Requests whose ids are as long as a head may be.
LONG_IDS = 4000
LONG_ID_BYTES = 60_000
# Twice as long as the limit that the configuration states.
LONG_BODY_BYTES = 2 * BODY_LIMIT
LARGE_CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
SMALL_CHUNK = b"100\r\n" + b"x" * 0x100 + b"\r\n"
TINY_CHUNK = b"40\r\n" + b"x" * 0x40 + b"\r\n"
HEADERS = 8000
OPEN_FILES = 256
# What a process opens for itself at any time, such as connections to targets.
SPARE_FILES = 32
SILENT_CLIENTS = 400


def head(path: str, request_id: str = "hostile", *lines: str) -> bytes:
    """Return the head of a request that has a body."""
    first = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}"]
    return "\r\n".join([*first, "Deadline-Ms: 60000", *lines, "", ""]).encode()


def bodies(path: str) -> dict[str, tuple[int, list[bytes]]]:
    """Return crowds whose bodies never end: how many clients, and what each sends."""
    chunked = head(path, "hostile", "Transfer-Encoding: chunked")
    announced = head(path, "hostile", f"Content-Length: {LONG_BODY_BYTES + 1}")
    short_by_one = head(path, "hostile", f"Content-Length: {BODY_LIMIT}")
    headers = [f"a{number}:" for number in range(HEADERS)]
    large_head = head(path, "hostile", *headers, "Content-Length: 2")
    chunks = LONG_BODY_BYTES // 0x10000
    return {
        "announced": (24, [announced, b"x" * LONG_BODY_BYTES]),
        "large chunks": (24, [chunked, LARGE_CHUNK * chunks]),
        "small chunks": (32, [chunked, SMALL_CHUNK * (BODY_LIMIT // 0x100)]),
        "tiny chunks": (160, [chunked, TINY_CHUNK * (1 << 14)]),
        "short by one byte": (48, [short_by_one, b"x" * (BODY_LIMIT - 1)]),
        "many headers": (200, [large_head, b"x"]),
    }


@pytest.mark.parametrize("role", ADDRESSES)
@pytest.mark.parametrize("how", bodies(""))
async def test_bodies_that_never_end_fill_no_memory(role, how):
    """Guards against requests that are kept for as long as their clients like."""
    async with PressedGateway() as gateway:
        count, sent = bodies(PATHS[role])[how]
        with await Crowd.connect(gateway.address(role), count) as crowd:
            await crowd.send(sent)
            await gateway.usage.settle()
            await gateway.assert_serves(role)
        gateway.usage.assert_within()


@pytest.mark.parametrize("role", REQUEST_ADDRESSES)
@pytest.mark.parametrize("path", ["/safe/long", "/stream/long"])
async def test_answers_that_are_not_read_fill_no_memory(role, path):
    """Guards against answers that are kept for as long as their clients like."""
    async with PressedGateway() as gateway:
        asked = head(path, "hostile", "Content-Length: 0", "Model: tide")
        with await Crowd.connect(gateway.address(role), 48) as crowd:
            await crowd.send([asked])
            await gateway.usage.settle()
            await gateway.assert_serves(role)
        gateway.usage.assert_within()


@pytest.mark.parametrize("role", REQUEST_ADDRESSES)
@pytest.mark.parametrize(
    ("path", "count"), [("/safe/unended", 48), ("/stream/unended", 200)]
)
async def test_answers_that_are_still_coming_fill_no_memory(role, path, count):
    """Guards against many answers that a VM has to keep until they are complete."""
    async with PressedGateway() as gateway:
        asked = head(path, "hostile", "Content-Length: 0", "Model: tide")
        with await Crowd.connect(gateway.address(role), count) as crowd:
            await crowd.send([asked])
            await gateway.usage.settle()
            await gateway.assert_serves(role)
        gateway.usage.assert_within()


@pytest.mark.parametrize("path", ["/safe/x", "/resume/x"])
async def test_what_is_remembered_of_requests_fills_no_memory(path):
    """Guards against records and tables that keep a client's headers as they came."""
    async with PressedGateway() as gateway:
        host, _, port = gateway.address("callers").rpartition(":")

        async def ask_on(client: int) -> None:
            for number in range(LONG_IDS // 8):
                identity = f"{client}-{number}-".ljust(LONG_ID_BYTES, "i")
                sent = {"Host": HOST, "Request-Id": identity, "Deadline-Ms": "6000"}
                sent |= {"Connection": "close", "Model": "tide"}
                await ask(f"{host}:{port}", "GET", path, sent)

        await asyncio.gather(*[ask_on(client) for client in range(8)])
        await gateway.usage.settle()
        await gateway.assert_serves("callers")
        gateway.usage.assert_within()


async def test_crowds_of_all_kinds_come_twice_and_the_process_still_ends_in_order():
    """Guards against memory that the first crowd leaves behind, and a stuck drain."""
    async with PressedGateway() as gateway:
        for _ in range(2):
            crowds = []
            for role in ADDRESSES:
                for count, sent in bodies(PATHS[role]).values():
                    address = gateway.address(role)
                    crowd = await Crowd.connect(address, count // 8)
                    crowds.append((crowd, sent))
            asked = head("/safe/long", "hostile", "Content-Length: 0")
            crowd = await Crowd.connect(gateway.address("callers"), 24)
            crowds.append((crowd, [asked]))
            await asyncio.gather(*[crowd.send(sent) for crowd, sent in crowds])
            await gateway.usage.settle()
            for role in ADDRESSES:
                await gateway.assert_serves(role)
            for crowd, _ in crowds[::2]:
                crowd.close()
        gateway.usage.assert_within()
        gateway.usage.stop()
        assert await gateway.terminate() == 0
        for crowd, _ in crowds:
            crowd.close()


@pytest.mark.parametrize("crowded", [*ADDRESSES, "peers"])
async def test_silent_connections_use_up_no_descriptors(crowded):
    """Guards against a process that can open nothing, on any of its addresses."""
    async with PressedGateway(open_files=OPEN_FILES) as gateway:
        with await Crowd.connect(gateway.address(crowded), SILENT_CLIENTS):
            await gateway.usage.settle()
            for role in {"callers", crowded} - {"peers"}:
                await gateway.assert_serves(role)
        gateway.usage.assert_within()
        assert gateway.usage.peak_files <= OPEN_FILES - SPARE_FILES


async def test_messages_that_never_end_fill_no_memory_at_the_address_for_vms():
    """Guards against strangers who begin large messages as if they were VMs."""
    async with PressedGateway() as gateway:
        with await Crowd.connect(gateway.address("peers"), 160) as crowd:
            await crowd.send([UPGRADE, FRAME_HEAD, b"x" * (FRAME_BYTES - 1)])
            await gateway.usage.settle()
            await gateway.assert_serves("callers")
        gateway.usage.assert_within()


@pytest.mark.parametrize("role", REQUEST_ADDRESSES)
async def test_one_slow_but_honest_caller_is_served_whole(role):
    """Guards against limits that a single request within them meets in calm."""
    body = bytes(range(256)) * (BODY_LIMIT // 256)
    async with PressedGateway() as gateway:
        host, _, port = gateway.address(role).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        announced = f"Content-Length: {len(body)}"
        writer.write(head("/safe/x", "slow", announced, "Connection: close"))
        for at in range(0, len(body), 1 << 17):
            writer.write(body[at : at + (1 << 17)])
            await writer.drain()
            await asyncio.sleep(0.02)
        answer = b""
        while part := await reader.read(1 << 16):
            answer += part
            await asyncio.sleep(0.01)
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(body)


@pytest.mark.parametrize("role", REQUEST_ADDRESSES)
async def test_a_body_over_the_limit_is_refused_as_such(role):
    """Guards against refusals that tell a caller to send the same again."""
    async with PressedGateway(body_limit=1 << 16) as gateway:
        sent = {"Host": HOST, "Request-Id": "r1", "Connection": "close"}
        body = b"x" * ((16 << 20) + 1 if role == "relay" else (1 << 16) + 1)
        sent["Content-Length"] = str(len(body))
        answer = await ask(gateway.address(role), "POST", "/safe/x", sent, body)
        assert (answer.status, answer.whole) == (413, True)
        assert answer.headers["Request-Id"] == "r1"
        await gateway.assert_serves(role)
