"""A state machine test of owners and grants, checked by the target's own record.

VMs stream, lose streams, freeze, die and are cut off; owners are replaced with and
without proof that they stopped; the target restarts, lags and loses replies. The
target's record must never show an eviction under a running request.
"""

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hawthornlead.ownership.owners import OrderRight

from .fakes_worlds import ALLOWANCE, TARGET, World

VMS = "abc"
ADAPTERS = ("tide", "lap", "heat")

FAULTS = (
    "freeze_or_thaw",
    "cut_or_heal",
    "kill",
    "proved_take_over",
    "unproved_take_over",
    "degrade_or_recover",
    "restart_target",
    "lag",
    "lose_reply",
    "fail_load",
)

vms = st.sampled_from(VMS)
adapters = st.sampled_from(ADAPTERS)


class SlotMachine(RuleBasedStateMachine):
    """Random histories around one target with one or two slots."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = None
        self.pending = []
        self.granted = []
        self.streams = {}
        self.count = 0

    def run(self, coroutine):
        """Run a coroutine on the machine's loop."""
        return self.loop.run_until_complete(coroutine)

    @initialize(fencing=st.booleans(), slots=st.integers(1, 2))
    def build(self, fencing, slots):
        self.run(self._build(fencing, slots))

    async def _build(self, fencing, slots):
        self.world = World(VMS, fencing=fencing, slots=slots)
        self.world.assign("a", ALLOWANCE)
        self.world.assign("a")
        await self.world.advance(1.0)

    @property
    def owner(self):
        """The VM that the store says owns the target."""
        return self.world.records[TARGET].vm

    def awake(self, vm):
        """Whether a VM's process runs."""
        return self.world.vms[vm].awake.is_set()

    @rule(vm=vms, adapter=adapters)
    def stream(self, vm, adapter):
        """A request is granted and sent at once, if there is a slot soon."""
        if not self.awake(vm):
            return

        async def stream():
            task = self.world.acquire(vm, adapter, 2.0)
            await self.world.advance(1.0)
            if not task.done() or task.result().is_err():
                return
            grant = task.result().ok_value
            self.count += 1
            name = f"r{self.count}"
            if self.world.send(vm, grant, adapter, name):
                self.streams[name] = (vm, grant)

        self.run(stream())

    @rule(vm=vms, adapter=adapters)
    def ask(self, vm, adapter):
        if not self.awake(vm):
            return

        async def ask():
            self.pending.append((vm, adapter, self.world.acquire(vm, adapter)))
            await self.world.advance(0.1)

        self.run(ask())

    @rule(seconds=st.sampled_from([1.0, 3.0, 12.0]))
    def pass_time(self, seconds):
        self.run(self.world.advance(seconds))
        still_pending = []
        for vm, adapter, task in self.pending:
            if not task.done():
                still_pending.append((vm, adapter, task))
            elif task.result().is_ok():
                self.granted.append((vm, adapter, task.result().ok_value))
        self.pending = still_pending

    @precondition(lambda self: self.granted)
    @rule(data=st.data())
    def send(self, data):
        index = data.draw(st.integers(0, len(self.granted) - 1))
        vm, adapter, grant = self.granted.pop(index)
        if not self.awake(vm):
            return

        async def send():
            self.count += 1
            name = f"r{self.count}"
            if self.world.send(vm, grant, adapter, name):
                self.streams[name] = (vm, grant)

        self.run(send())

    @precondition(lambda self: self.streams)
    @rule(data=st.data(), whole=st.booleans())
    def end_stream(self, data, whole):
        """A stream ends, or its VM abandons it while the target still runs it."""
        name = data.draw(st.sampled_from(sorted(self.streams)))
        vm, grant = self.streams[name]

        async def end():
            if whole:
                self.world.engine.end(name)
                del self.streams[name]
            if self.awake(vm):
                grant.finish(name, ended=whole)

        self.run(end())

    @rule(fault=st.sampled_from(FAULTS), vm=vms, other=vms)
    def fault(self, fault, vm, other):
        """Inject one fault; most steps are requests, so that faults affect some."""
        getattr(self, fault)(vm, other)

    def freeze_or_thaw(self, vm, other):
        """Freeze a process, or wake it."""
        if self.world.vms[vm].dead:
            return
        if self.awake(vm):
            self.world.freeze(vm)
        else:
            self.run(self.world.thaw(vm))

    def cut_or_heal(self, vm, other):
        """Cut two VMs apart, or join them again."""
        if vm != other:
            self.world.cuts ^= {frozenset((vm, other))}

    def kill(self, vm, other):
        """Kill a VM, but only one, so that the history goes on."""
        if not any(each.dead for each in self.world.vms.values()):
            self.world.kill(vm)

    def proved_take_over(self, vm, other):
        """Another VM takes over with proof that its predecessor stopped."""
        self.take_over(vm, True)

    def unproved_take_over(self, vm, other):
        """Another VM takes over without such a proof."""
        self.take_over(vm, False)

    def take_over(self, vm, proved):
        """The lease of the owner lapsed; another VM takes the target.

        A frozen or living predecessor without proof goes on in degraded mode.
        """
        if vm == self.owner or not self.awake(vm):
            return
        before = self.owner
        dead = self.world.vms[before].dead
        stopped = dead or proved
        right = OrderRight.NONE if stopped else OrderRight.DEGRADED

        async def take():
            for resource in (ALLOWANCE, TARGET):
                self.world.assign(vm, resource, stopped=stopped, old_right=right)
            # An owner before the last that was never proved to have stopped.
            owners = self.world.vms[vm].owners
            if self._unproved(vm):
                for resource, owned in owners.ownerships.items():
                    owners.ownerships[resource] = owned._replace(
                        predecessor_stopped=False
                    )
            await self.world.advance(0.1)

        self.run(take())

    def degrade_or_recover(self, vm, other):
        """The owner's lease lapses in an outage, or is renewed after it."""
        owners = self.world.vms[self.owner].owners
        if owners.rights[TARGET] is OrderRight.FULL:
            self.world.degrade(self.owner)
        else:
            owners.rights[TARGET] = OrderRight.FULL

    def restart_target(self, vm, other):
        """The target restarts and loses its runs, its slots and fencing numbers."""
        self.world.engine.restart()
        self.streams.clear()

    def lag(self, vm, other):
        """Reports start to lag, or stop lagging."""
        engine = self.world.engine
        engine.report_lag_s = 2.0 - engine.report_lag_s

    def lose_reply(self, vm, other):
        """The next order is carried out and its answer lost."""
        self.world.engine.lose_replies = 1

    def fail_load(self, vm, other):
        """The next load fails partway."""
        self.world.engine.fail_loads = 1

    def _unproved(self, owner):
        for name, vm in self.world.vms.items():
            if name == owner or vm.dead:
                continue
            if vm.owners.rights.get(TARGET) is OrderRight.DEGRADED:
                return True
        return False

    @invariant()
    def never_evicted_under_a_request(self):
        if self.world is not None:
            assert self.world.engine.violations == []

    def teardown(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
