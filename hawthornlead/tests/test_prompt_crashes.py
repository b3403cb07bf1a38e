"""Prompts with one part in common that crash each engine which begins an answer."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from .gateways import MODEL, ClientAnswer, Deployment

ROUTE_PART, CRASH_PART = "a0", "bad"
ENGINES = ("v1",) * 4
# Rules with a bound in time hold this long after what they start from.
CONTACT_S = 3.0
CRASHES_BORNE, REQUESTS_AFTER = 5, 3
CRASHING, PAUSE_S = 24, 0.25


class CrashedFleet:
    """A deployment whose engines one part of a prompt crashes, under sound load.

    ``sound`` are the statuses of sound requests by the moment at which they were sent.
    """

    def __init__(self, deployment: Deployment):
        self._numbers = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self.deployment = deployment
        self.sound: list[tuple[float, int]] = []
        for engine in deployment.engines:
            engine.crash_part = CRASH_PART
            engine.event_s = 0.02
            engine.on_restarted = deployment.register

    @property
    def crashes(self) -> list[float]:
        """The moments at which engines crashed, in order."""
        return sorted(at for each in self.deployment.engines for at in each.crashes)

    @property
    def arrivals(self) -> list[float]:
        """The moments at which requests with the part reached engines, in order."""
        engines = self.deployment.engines
        return sorted(at for each in engines for at in each.crash_arrivals)

    async def ask(self, *parts: str, vm: int, path: str = "/stream/x") -> ClientAnswer:
        """Send a request whose prompt begins with some parts, unlike any other."""
        number = next(self._numbers)
        prompt = ",".join(f"{part}:100" for part in (*parts, f"{number:x}ff"))
        return await self.deployment.ask(
            path, vm=vm, body=b"%d" % number, Model=MODEL, Prompt_Prefix=prompt
        )

    async def ask_crashing(self, vm: int, path: str = "/stream/x") -> ClientAnswer:
        """Send a request that crashes its engine."""
        return await self.ask(ROUTE_PART, CRASH_PART, vm=vm, path=path)

    async def load(self) -> None:
        """Send sound requests of the same route, with the same first part."""
        vms = len(self.deployment.settings)
        for number in itertools.count():
            asyncio.get_running_loop().create_task(self._ask_sound(number % vms))
            await asyncio.sleep(0.05)

    async def _ask_sound(self, vm: int) -> None:
        sent_at = self._loop.time()
        try:
            answer = await self.ask(ROUTE_PART, f"{vm}c", vm=vm)
        except OSError:
            return
        self.sound.append((sent_at, answer.status))

    def sound_share(self, since: float, until: float) -> float:
        """Return the share of sound requests, sent within a time, that were served."""
        sent = [status for at, status in self.sound if since <= at < until]
        assert len(sent) >= 20
        return sent.count(200) / len(sent)


@asynccontextmanager
async def crashed_fleet(vms: int = 3) -> AsyncIterator[CrashedFleet]:
    """Run a fleet under sound load."""
    async with Deployment(vms=vms, software=ENGINES) as deployment:
        fleet = CrashedFleet(deployment)
        loading = asyncio.create_task(fleet.load())
        await asyncio.sleep(1.5)
        try:
            yield fleet
        finally:
            loading.cancel()
            await asyncio.sleep(0.2)


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
async def test_requests_that_share_a_crashing_part_stop_reaching_engines(path):
    """Guards against requests, no two alike, that crash engine after engine."""
    async with crashed_fleet() as fleet:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for number in range(CRASHING):
            answer = await fleet.ask_crashing(number % 3, path)
            assert answer.status in (502, 503)
            await asyncio.sleep(PAUSE_S)
        assert loop.time() - began_at > CONTACT_S
        assert len(fleet.arrivals) <= CRASHES_BORNE + REQUESTS_AFTER
        last = fleet.crashes[-1]
        await asyncio.sleep(max(0.0, last + CONTACT_S + 2.0 - loop.time()))
        calm = fleet.sound_share(0, fleet.crashes[0] - 0.2)
        assert fleet.sound_share(last + CONTACT_S, loop.time()) >= calm / 2


async def test_an_answer_without_framing_and_events_is_no_end():
    """Guards against a crash that passes for a complete answer, with status 200."""
    async with crashed_fleet() as fleet:
        for engine in fleet.deployment.engines:
            engine.unframed = True
        for number in range(CRASHES_BORNE):
            answer = await fleet.ask_crashing(number % 3)
            assert answer.status in (502, 503)
            await asyncio.sleep(PAUSE_S)
        assert len(fleet.crashes) < CRASHES_BORNE
        await asyncio.sleep(CONTACT_S)
        assert (await fleet.ask(ROUTE_PART, "1c", vm=0)).whole


async def test_a_vm_that_starts_after_the_crashes_sends_no_such_request():
    """Guards against a quarantine that only those VMs know which saw the crashes."""
    async with crashed_fleet(vms=2) as fleet:
        for number in range(CRASHES_BORNE + REQUESTS_AFTER):
            await fleet.ask_crashing(number % 2)
            await asyncio.sleep(PAUSE_S)
        deployment = fleet.deployment
        started = await deployment.add_vm("vm-3")
        await deployment.until(lambda: deployment.ready(started))
        (shown,) = started._fleet_view.snapshot()["quarantines"]
        assert (shown["part"], shown["crashes"]) == (CRASH_PART, len(fleet.crashes))
        before = len(fleet.arrivals)
        for _ in range(3):
            answer = await fleet.ask_crashing(vm=2)
            assert (answer.status, answer.headers.get("Server-Seal")) == (503, None)
        assert len(fleet.arrivals) == before


async def test_a_vm_that_starts_later_knows_the_whole_requests_that_crash_engines():
    """Guards against a quarantined request that any restarted VM lets through again."""
    async with crashed_fleet(vms=2) as fleet:
        deployment = fleet.deployment
        ask = {"body": b"the same", "Model": MODEL, "Prompt_Prefix": f"{CRASH_PART}:9"}
        for number in range(3):
            answer = await deployment.ask("/stream/x", vm=number % 2, **ask)
            assert answer.status == (502 if number < 2 else 503)
            await asyncio.sleep(PAUSE_S)
        started = await deployment.add_vm("vm-3")
        await deployment.until(lambda: deployment.ready(started))
        before = len(fleet.arrivals)
        assert (await deployment.ask("/stream/x", vm=2, **ask)).status == 503
        assert len(fleet.arrivals) == before


async def test_a_stream_that_two_engines_died_under_is_still_served():
    """Guards against a sound stream that is refused since engines crashed under it."""
    async with Deployment(vms=2, software=ENGINES) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.3
            engine.on_restarted = deployment.register
        ask = {"body": b"the same", "Model": MODEL}
        for number in range(2):
            asking = asyncio.create_task(
                deployment.ask("/stream/x", vm=number % 2, **ask)
            )
            before = sum(len(engine.ran) for engine in deployment.engines)
            await deployment.until(
                lambda before=before: (
                    sum(len(engine.ran) for engine in deployment.engines) > before
                )
            )
            running = max(deployment.engines, key=lambda engine: len(engine.ran))
            running.ran.clear()
            # Two events and a third have come by then.
            await asyncio.sleep(1.05)
            crash = asyncio.create_task(running.crash())
            assert not (await asking).whole
            await crash
            await asyncio.sleep(PAUSE_S)
        assert (await deployment.ask("/stream/x", **ask)).status == 200
