"""A state machine over several VMs: no bundle is served long after a newer one."""

import asyncio
from collections import Counter
from typing import NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from hawthornlead.messages import BundleDecided, FetchBundlePointer

from .fakes_bundles import Fleet

DOUBT_S = 3.0
NAMES = ("a", "b", "c", "d")
PAIRS = tuple(frozenset(pair) for pair in ("ab", "ac", "ad", "bc", "bd", "cd"))
names = st.sampled_from(NAMES)
# How often the run met what it is there for; none at all is a failure.
COUNTS: Counter[str] = Counter()


COUNTED = ("struck", "stale, within the bound", "refused", "accepted", "late word")


class Fault(NamedTuple):
    """What strikes when an accepting write is sent."""

    peers: bool
    store: bool
    reply: bool


faults = st.builds(Fault, st.booleans(), st.booleans(), st.booleans())


class Rolls(RuleBasedStateMachine):
    """Operators roll from any VM while VMs, the store and the network fail."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.rolls: dict[str, list[asyncio.Task]] = {name: [] for name in NAMES}
        self.highest: dict[str, int] = {}
        self.told: dict[str, int] = {}
        self.starts = 0
        self.wait(self.begin())

    def wait(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(coroutine)

    async def begin(self):
        """Start four VMs with a bundle in force."""
        self.fleet = Fleet()
        for name in NAMES:
            await self.fleet.add(name, "santander" if name in "ab" else "bilbao")
        self.digests = [await self.fleet.release(v) for v in ("v1", "v2", "v3")]
        (await self.fleet.roll("a", self.digests[0], 0)).unwrap()

    @rule(vm=names, digest=st.integers(0, 2), behind=st.booleans())
    def roll(self, vm, digest, behind):
        """An operator orders a roll, sometimes on what was in force before."""
        keeper = self.fleet.vms[vm].keeper
        expected = max(0, keeper.seq_in_force - behind)
        order = self.fleet.order(self.digests[digest], expected)
        self.rolls[vm].append(self.loop.create_task(keeper.roll(order)))
        self.pass_time(0.1)

    @rule(vm=names, digest=st.integers(0, 2), victims=st.sets(names), fault=faults)
    def roll_into_a_fault(self, vm, digest, victims, fault):
        """A roll meets a fault just before its accepting write takes effect."""
        self.heal()
        self.pass_time(1.0)
        fleet = self.fleet

        async def strike(kind):
            value = fleet.objects.values[("bundle", "pointer")].value
            if kind != "bundle" or value["staged"] is None:
                return
            fleet.vms[vm].store.before_write = None
            fleet.network.drops = [BundleDecided]
            if fault.peers:
                fleet.network.cuts.update(p for p in PAIRS if len(p & victims) == 1)
            for name in victims:
                fleet.vms[name].store.out = fault.store and name != vm
            fleet.vms[vm].store.lose_next = int(fault.reply)

        fleet.vms[vm].store.before_write = strike
        self.roll(vm, digest, False)
        self.pass_time(0.5)
        fleet.vms[vm].store.before_write = None
        COUNTS["struck"] += fleet.network.drops != []
        self.pass_time(4.0)

    @rule()
    def heal(self):
        """All faults end."""
        self.fleet.network.cuts.clear()
        self.fleet.network.drops = []
        self.fleet.network.slow_s = 0.0
        for vm in self.fleet.vms.values():
            vm.store.out, vm.store.slow_s, vm.store.lose_next = False, 0.0, 0

    @rule(pair=st.sampled_from(PAIRS), cut=st.booleans())
    def cut(self, pair, cut):
        """Two VMs lose each other, or find each other again."""
        if cut:
            self.fleet.network.cuts.add(pair)
        else:
            self.fleet.network.cuts.discard(pair)

    @rule(vm=names, out=st.booleans(), slow=st.sampled_from((0.0, 0.1, 0.7)))
    def store_of_one(self, vm, out, slow):
        """The store fails or is slow for one VM."""
        self.fleet.vms[vm].store.out = out
        self.fleet.vms[vm].store.slow_s = slow

    @rule(out=st.booleans())
    def store_of_all(self, out):
        """The store fails, or comes back, for all."""
        for vm in self.fleet.vms.values():
            vm.store.out = out

    @rule(vm=names)
    def lose_reply(self, vm):
        """The next write takes effect, its reply is lost, and the store with it."""
        self.fleet.vms[vm].store.lose_next = 1

    @rule(dropped=st.booleans(), slow=st.sampled_from((0.0, 0.05, 0.6)))
    def network(self, dropped, slow):
        """Words on decisions are lost; messages are slow."""
        self.fleet.network.drops = [BundleDecided] if dropped else []
        self.fleet.network.slow_s = slow

    @rule(vm=names, sender=names, newest=st.integers(0, 3))
    def late_word(self, vm, sender, newest):
        """A word on an earlier decision arrives long after it was sent."""
        value = self.fleet.objects.values[("bundle", "pointer")].value
        roll = value["past"][min(newest, len(value["past"]) - 1)]
        word = BundleDecided(roll["seq"], roll["digest"], roll["accepted"])
        take = self.fleet.vms[vm].mesh.handlers[BundleDecided]
        self.wait(take(self.fleet.vms[sender].mesh, word))
        COUNTS["late word"] += roll["seq"] < self.fleet.vms[vm].keeper.seq_in_force
        self.look(vm)

    @rule(vm=names)
    def replace(self, vm):
        """A VM is killed and another started in its place."""
        self.starts += 1
        self.highest.pop(vm, None)
        self.told.pop(vm, None)
        for task in self.rolls.pop(vm):
            task.cancel()
        self.rolls[vm] = []
        data_centre = "santander" if vm in "ab" else "bilbao"
        self.wait(self.fleet.kill(vm, proved=True))
        self.wait(self.fleet.add(vm, data_centre, f"again-{self.starts}"))

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0, 6.0)))
    def pass_time(self, seconds):
        """Let time pass and look at what every VM serves in each step."""
        for _ in range(round(seconds / 0.1)):
            self.wait(self.fleet.run(0.1))
            for vm in NAMES:
                self.look(vm)

    def look(self, vm):
        """Check what one VM serves now."""
        served = self.fleet.served(vm)
        in_force = self.fleet.vms[vm].keeper.seq_in_force
        assert served == 0 or served in self.fleet.objects.accepted_at
        answer = self.fleet.vms[vm].mesh.handlers[FetchBundlePointer]
        told = self.wait(answer(None, FetchBundlePointer())).seq
        assert told >= in_force >= self.highest.get(vm, 0)
        assert told >= self.told.get(vm, 0)
        self.highest[vm], self.told[vm] = in_force, told
        stale_s = self.fleet.stale_for(vm)
        assert stale_s <= DOUBT_S + 0.01
        COUNTS["stale, within the bound"] += stale_s > 0
        COUNTS["refused"] += served == 0

    def teardown(self):
        """Heal all: every VM must come to serve what is in force."""
        self.heal()
        self.pass_time(30.0)
        newest = max(self.fleet.objects.accepted_at)
        COUNTS["accepted"] += len(self.fleet.objects.accepted_at) - 2
        served = [self.fleet.served(vm) for vm in NAMES]
        ended = [task.done() for tasks in self.rolls.values() for task in tasks]
        for vm in NAMES:
            self.wait(self.fleet.kill(vm))
        self.loop.close()
        assert served == [newest] * len(NAMES)
        assert all(ended)


Rolls.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)


def test_rolls_under_faults():
    COUNTS.clear()
    Rolls.TestCase("runTest").runTest()
    for name in COUNTED:
        assert COUNTS[name] > 0
