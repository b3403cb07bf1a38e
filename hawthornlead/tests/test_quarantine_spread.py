"""Plays of crashing prompts at VMs that miss messages, restart and are cut off."""

import random

import pytest

from .fakes_quarantines import QuarantineWorld

VMS = [f"vm-{number}" for number in range(9)]
BAD = "bad"
# The rules hold for VMs that were in touch for this long, from this long after the
# crash that they are counted from.
CONTACT_S = 3.0
CRASHES_BORNE, REQUESTS_AFTER = 5, 3
PLAYED_S, STEP_S = 40.0, 0.02
SOUND_PER_S, BAD_PER_S = 48.0, 3.0


class Play:
    """One seeded play: sound and crashing requests, and disturbances of VMs."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.world = QuarantineWorld(VMS, seed, frozenset({BAD}))
        self.in_touch_arrivals = 0
        self.wrongly_refused = 0
        self.cut: dict[str, float] = {}
        # Crashing requests come at once, or after most parts were answered.
        self._crashing_from = self.world.now + self.rng.choice((0.0, 8.0))
        self._late = 0

    async def run(self) -> None:
        """Play all steps."""
        for _ in range(int(PLAYED_S / STEP_S)):
            self._disturb()
            self._ask()
            await self.world.advance(STEP_S)
            self._judge()

    def _ask(self) -> None:
        world, rng = self.world, self.rng
        if rng.random() < SOUND_PER_S * STEP_S:
            world.send(
                rng.choice(VMS), (f"f{rng.randrange(2)}", f"s{rng.randrange(99)}")
            )
        if world.now >= self._crashing_from and rng.random() < BAD_PER_S * STEP_S:
            world.send(rng.choice(VMS), ("f0", BAD))

    def _disturb(self) -> None:
        world, rng = self.world, self.rng
        for vm, until in tuple(self.cut.items()):
            world.disturb(vm)
            if world.now >= until:
                del self.cut[vm]
                for other in VMS:
                    world.network.heal(vm, other)
        if rng.random() < 0.2 * STEP_S:
            world.start(rng.choice(VMS))
        if rng.random() < 0.2 * STEP_S:
            vm = rng.choice(VMS)
            self.cut[vm] = world.now + rng.uniform(0.2, 4.0)
            for other in VMS:
                if other != vm:
                    world.network.cut(vm, other)
        if rng.random() < 0.5 * STEP_S:
            world.lose_message(*rng.sample(VMS, 2))
        if rng.random() < 0.2 * STEP_S:
            world.crash(rng.randrange(6))

    def _in_touch(self, vm: str, now: float) -> bool:
        return now - self.world.disturbed_at[vm] >= CONTACT_S

    @staticmethod
    def _judged_from(crashes: list[float]) -> float:
        """Return from when on no more than some requests may reach targets."""
        return crashes[CRASHES_BORNE - 1] + CONTACT_S

    def _judge(self) -> None:
        world = self.world
        crashes = world.crashes[BAD]
        for at, vm, _ in world.arrivals[self._late :]:
            if len(crashes) < CRASHES_BORNE or at < self._judged_from(crashes):
                continue
            self.in_touch_arrivals += self._in_touch(vm, at)
        self._late = len(world.arrivals)
        for at, vm, parts in world.refused:
            answered = all(
                at >= world.answered_at.get(part, at) + CONTACT_S for part in parts
            )
            if answered and BAD not in parts and self._in_touch(vm, at):
                self.wrongly_refused += 1
        world.refused.clear()


@pytest.mark.parametrize("seed", range(12))
async def test_no_schedule_lets_more_than_three_through_after_the_fifth_crash(seed):
    """Guards against VMs that miss the verdict, and refusals of sound prompts."""
    play = Play(seed)
    await play.run()
    assert play.world.crashes[BAD]
    assert play.in_touch_arrivals <= REQUESTS_AFTER
    assert play.wrongly_refused == 0
    assert len(play.world.crashes[BAD]) <= CRASHES_BORNE + REQUESTS_AFTER
