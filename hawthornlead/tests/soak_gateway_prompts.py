"""A fault and judges of prompts that crash engines; see ``soak_gateway_judges``."""

import asyncio
import time
from collections import defaultdict

from .soak_gateway_faults import fault
from .soak_gateway_judges import Case, judge
from .soak_gateway_records import CONTACT_S
from .soak_gateway_world import GatewayWorld
from .soak_judges import Verdict
from .standins.target_runs import CRASHING

CRASHES_BORNE, REQUESTS_AFTER = 5, 3
# For how long requests with a crashing part come, and how often.
COMING_S, PAUSE_S = 8.0, 0.25
QUARANTINED = b"the prompt part"


@fault("prompts-crash-engines")
async def prompts_crash_engines(world: GatewayWorld) -> None:
    """Requests come at any VM whose prompts have one part that crashes engines."""
    world.parts += 1
    part = f"{CRASHING}{world.parts:x}"
    end = time.monotonic() + COMING_S
    asking = []
    while time.monotonic() < end:
        caller = world.rng.choice(world.callers)
        asking.append(asyncio.create_task(caller.ask("stream", part=part)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*asking)
    crashed = any(each.part == part for each in world.journal.prompt_crashes)
    world.injected["prompts-crash-engines"] += crashed


@judge("crashing-parts-stopped")
def crashing_parts_stopped(case: Case) -> Verdict:
    """BUDGET: a part that crashed five engines reaches three more times at most."""
    exercised, broken = 0, []
    crashes: dict[str, list[float]] = defaultdict(list)
    for crash in case.journal.prompt_crashes:
        crashes[crash.part].append(crash.at)
    late: dict[str, int] = defaultdict(int)
    for arrival in case.journal.arrivals:
        sent = case.sent.get(arrival.request_id)
        if sent is None or len(crashes[sent.part]) < CRASHES_BORNE:
            continue
        fifth_at = sorted(crashes[sent.part])[CRASHES_BORNE - 1]
        if arrival.at <= fifth_at + CONTACT_S:
            continue
        late[sent.part] += case.in_touch(arrival.vm, arrival.at, arrival.at)
    for sent in case.journal.sent:
        known = crashes[sent.part]
        exercised += bool(known) and sent.sent_at > min(known) and sent.status == 503
    for part, count in late.items():
        if count > REQUESTS_AFTER:
            broken.append(f"{part}: {count} requests after the fifth crash")
    return Verdict(exercised, tuple(broken))


@judge("sound-prompts-served")
def sound_prompts_served(case: Case) -> Verdict:
    """LOST: no request is refused for parts that engines have answered."""
    exercised, broken = 0, []
    answered_at: dict[str, float] = {}
    for sent in sorted(case.journal.sent, key=lambda each: each.ended_at):
        if not sent.model or sent.part:
            continue
        if sent.outcome == "whole":
            answered_at.setdefault(sent.subject, sent.ended_at)
    for sent in case.journal.sent:
        since = answered_at.get(sent.subject, sent.sent_at)
        if sent.part or not sent.model or since + CONTACT_S > sent.sent_at:
            continue
        if not case.in_touch(sent.vm, sent.sent_at, sent.ended_at):
            continue
        exercised += 1
        if sent.status == 503 and QUARANTINED in sent.body:
            broken.append(f"{sent.vm}: {sent.request_id}: {sent.body.decode('latin1')}")
    return Verdict(exercised, tuple(broken))
