"""A state machine over VMs, the store, streams and releases."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from hawthornlead.provenance.origin_ledgers import LASTING_S

from .fakes_origin_records import RESUMED_S, V1, V2, RecordingWorld
from .world_machines import WorldMachine


class RecordMachine(WorldMachine):
    """Random histories of streams, releases, kills, lost writes and restored copies.

    Whatever happens, a stream is found at the version that began it or not at all.
    """

    def __init__(self):
        super().__init__()
        self.copies = []

    @initialize()
    def build(self):
        async def make():
            self.world = RecordingWorld(("a", "b", "c"))
            await self.world.advance(1.0)

        self.run(make())

    @rule(data=st.data(), origin=st.sampled_from((V1, V2)))
    @precondition(lambda self: self.world.running)
    def begin(self, data, origin):
        """Begin a stream at a version that the VM's targets need not show yet."""
        vm = data.draw(st.sampled_from(self.world.running))
        self.run(self.world.begin(vm, f"r{next(self.ids)}", origin))

    @rule(data=st.data(), named=st.booleans())
    @precondition(lambda self: self.world.began and self.world.running)
    def resume(self, data, named):
        vm = data.draw(st.sampled_from(self.world.running))
        request = data.draw(st.sampled_from(sorted(self.world.began)))
        origin, at = self.world.began[request]
        if self.world.timers.now() - at > RESUMED_S:
            return
        found = self.run(self.world.find(vm, request if named else ""))
        assert found in (None, origin)

    @rule(data=st.data(), used=st.sampled_from(((V1,), (V1, V2), (V2,))))
    @precondition(lambda self: self.world.running)
    def release(self, data, used):
        """Let one VM, or those that start later, know other versions."""
        vm = data.draw(st.sampled_from([*self.world.running, ""]))
        if vm:
            self.world.vms[vm].used = set(used)
            return
        self.world.used = set(used)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 10.0, LASTING_S + 1.0)))
    def advance(self, seconds):
        self.run(self.world.advance(seconds))

    @rule(data=st.data())
    @precondition(lambda self: self.world.running)
    def kill(self, data):
        vms = data.draw(
            st.lists(st.sampled_from(self.world.running), min_size=1, unique=True)
        )

        async def kill():
            for vm in vms:
                self.world.kill(vm)

        self.run(kill())

    @rule(vms=st.lists(st.sampled_from(("a", "b", "c")), min_size=1, unique=True))
    def start(self, vms):
        async def start():
            for vm in vms:
                if vm not in self.world.running:
                    self.world.start(vm)

        self.run(start())

    @rule(fault=st.sampled_from(("away", "back", "lost", "late", "carry out")))
    def hurt_store(self, fault):
        store = self.world.store
        if fault in ("away", "back"):
            store.away = fault == "away"
        elif fault == "carry out":
            store.carry_out_late()
        else:
            setattr(store, fault, 1)

    @rule()
    def copy(self):
        self.copies.append(self.world.store.copy())

    @rule()
    @precondition(lambda self: self.copies)
    def restore(self):
        self.world.store.restore(self.copies.pop())

    @rule()
    @precondition(lambda self: self.world.running)
    def sweep(self):
        vm = min(self.world.running)
        self.run(self.world.vms[vm].sweeps.sweep())


TestRecordMachine = RecordMachine.TestCase
TestRecordMachine.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
