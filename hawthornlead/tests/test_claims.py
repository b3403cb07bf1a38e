"""Tests that claims allow at most one run, whatever fails before the outcome."""

import asyncio

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hawthornlead.errors import ErrorKind, Ran
from hawthornlead.hashes import rendezvous
from hawthornlead.tests.fakes_claims import ClaimFleet

COMMITTER = rendezvous("claims/0", ["vm-1", "vm-2", "vm-3"])[0]
FIRST, SECOND = [vm for vm in ("vm-1", "vm-2", "vm-3") if vm != COMMITTER]


@pytest.fixture
async def fleet():
    return ClaimFleet()


async def test_a_second_try_meets_the_first_at_another_vm(fleet):
    """A caller gets no answer in time and retries through another VM.

    The first try still runs, so the second must not run. Once the first has ended, a
    later try gets its answer.
    """
    assert await fleet.state(FIRST, "lap-81", "a1") == "new"
    assert await fleet.state(SECOND, "lap-81", "a2") == "running"
    await fleet.record(FIRST, "lap-81", "a1", "done", b"filed")
    again = (await fleet.claim(SECOND, "lap-81", "a3")).ok_value
    assert (again.state, again.attempt_id) == ("done", "a1")
    assert (again.status, again.content_type, again.body) == (
        200,
        "text/plain",
        b"filed",
    )


async def test_two_tries_at_once_one_is_new(fleet):
    """Tries of one request arrive at all VMs at the same time."""
    claims = [
        fleet.vms[vm].claims.claim("gijon", "k", b"f", f"a-{vm}") for vm in fleet.vms
    ]
    states = [claimed.ok_value.state for claimed in await fleet.finish(*claims)]
    assert sorted(states) == ["new", "running", "running"]


async def test_key_of_another_request_and_of_another_caller(fleet):
    assert await fleet.state(FIRST, "k", "a1", b"one") == "new"
    assert await fleet.state(SECOND, "k", "a2", b"two") == "reused"
    claims = fleet.vms[FIRST].claims
    (other,) = await fleet.finish(claims.claim("bilbao", "k", b"two", "a3"))
    assert other.ok_value.state == "new"
    assert await fleet.state(FIRST, "", "a4") == "bad-request"


async def test_vm_killed_between_claim_and_outcome(fleet):
    """A VM is killed after its claim, and it is unknown whether it sent the request.

    Later tries must be answered 'may have run' on every VM while the claim is kept,
    and must never run.
    """
    assert await fleet.state(FIRST, "k", "a1") == "new"
    fleet.kill(FIRST)
    fleet.start_vm(FIRST)
    for vm in fleet.vms:
        assert await fleet.state(vm, "k", f"again-{vm}") == "unknown"


async def test_a_request_that_did_not_run_frees_its_key(fleet):
    assert await fleet.state(FIRST, "k", "a1") == "new"
    await fleet.record(FIRST, "k", "a1", "not_run")
    assert await fleet.state(SECOND, "k", "a2") == "new"
    late = await fleet.record(FIRST, "k", "a1", "done")
    assert late.err_value.kind is ErrorKind.VERSION_CONFLICT
    assert await fleet.state(FIRST, "k", "a3") == "running"


async def test_an_answer_too_large_to_keep_still_says_that_it_ran():
    fleet = ClaimFleet(MAX_OUTCOME_BYTES=4)
    assert await fleet.state("vm-1", "k", "a1") == "new"
    await fleet.record("vm-1", "k", "a1", "done", b"12345")
    again = (await fleet.claim("vm-2", "k", "a2")).ok_value
    assert (again.state, again.body, again.content_type) == ("done", b"", "")


async def test_store_outage_refuses_as_not_run_and_frees_the_key_after(fleet):
    """The store is down when a request arrives, and back a little later.

    The request is refused as 'not run' with a time to retry. Its write may still have
    taken effect, so the claim is released when the store answers, and the caller's
    next try runs.
    """
    fleet.objects.outage = True
    refused = (await fleet.claim(FIRST, "k", "a1")).err_value
    assert refused.kind is ErrorKind.STORE_UNAVAILABLE
    assert refused.answer.ran is Ran.NOT_RUN
    assert refused.retry_after_s > 0
    fleet.objects.outage = False
    await fleet.timers.advance(3)
    assert fleet.vms[FIRST].claims.unrecorded == 0
    assert await fleet.state(SECOND, "k", "a2") == "new"


async def test_refused_claim_whose_write_took_effect_is_released(fleet):
    """A claim's write takes effect, its reply is lost and the store goes down.

    The request was refused as 'not run', but its claim is in the store until the VM
    releases it. Otherwise the key would stay taken.
    """
    vm = fleet.vms[COMMITTER]
    vm.store.lose_next_reply = 1
    put = vm.store._put

    async def put_then_outage(*args):
        outcome = await put(*args)
        vm.store.outage = True
        return outcome

    vm.store._put = put_then_outage
    assert await fleet.state(COMMITTER, "k", "a1") == "store-unavailable"
    vm.store._put = put
    assert await fleet.state(FIRST, "k", "a2") == "running"
    vm.store.outage = False
    await fleet.timers.advance(3)
    assert await fleet.state(FIRST, "k", "a3") == "new"


async def test_lost_reply_of_a_claim_that_took_effect(fleet):
    """The store wrote the claim, but its reply was lost.

    If the VM wrote again without reading, it would find its own claim and refuse its
    request as a duplicate. It reads back and recognizes its write.
    """
    fleet.vms[COMMITTER].store.lose_next_reply = 1
    assert await fleet.state(FIRST, "k", "a1") == "new"
    assert await fleet.state(SECOND, "k", "a2") == "running"


async def test_lost_reply_of_a_write_over_the_known_head(fleet):
    """The committing VM writes over its known head, and the reply is lost.

    It reads the head, finds the claim, and must recognize it as its own.
    """
    assert await fleet.state(FIRST, "k1", "a1") == "new"
    reads = fleet.objects.reads
    assert await fleet.state(FIRST, "k2", "a2") == "new"
    assert fleet.objects.reads == reads
    fleet.vms[COMMITTER].store.lose_next_reply = 1
    assert await fleet.state(FIRST, "k3", "a3") == "new"
    assert await fleet.state(SECOND, "k3", "a4") == "running"


async def test_no_answer_depends_on_an_outdated_head(fleet):
    """Another VM releases a key directly, unnoticed by the committing VM.

    The committing VM still knows the claim as running. It has nothing to write, so no
    conditional update reveals the change: it must read before it answers.
    """
    assert await fleet.state(COMMITTER, "k", "a1") == "new"
    fleet.vms[FIRST].cut = True
    await fleet.record(FIRST, "k", "a1", "not_run")
    assert await fleet.state(COMMITTER, "k", "a2") == "new"


async def test_the_committing_vm_is_silent(fleet):
    """The committing VM of a range freezes, so claims are written directly.

    Later claims must not wait for it again, and concurrent writers must stay safe.
    """
    fleet.vms[COMMITTER].cut = True
    assert await fleet.state(FIRST, "k", "a1") == "new"
    assert await fleet.state(SECOND, "k", "a2") == "running"
    before = fleet.timers.now()
    assert await fleet.state(FIRST, "k2", "a3") == "new"
    assert fleet.timers.now() - before < 0.1


async def test_reply_of_the_committing_vm_is_lost(fleet):
    """The committing VM wrote the claim and is disconnected before it replies.

    The claimer writes directly, finds the claim, and must recognize it as its own.
    """
    committer = fleet.vms[COMMITTER]
    handlers = dict(committer.handlers)

    async def answer_then_cut(sender, message):
        reply = await handlers[type(message)](sender, message)
        committer.cut = True
        return reply

    committer.handlers = dict.fromkeys(handlers, answer_then_cut)
    assert await fleet.state(FIRST, "k", "a1") == "new"
    assert await fleet.state(SECOND, "k", "a2") == "running"


async def test_delayed_claim_does_not_take_a_freed_key_again(fleet):
    """A claim message is delayed until its request was refused and its key released.

    If it took the key then, nothing would ever release it.
    """
    assert await fleet.state(FIRST, "k", "a1") == "new"
    await fleet.record(FIRST, "k", "a1", "not_run")
    assert await fleet.state(COMMITTER, "k", "a1") == "unknown"
    assert await fleet.state(SECOND, "k", "a2") == "new"


async def test_cancelled_claim_is_released(fleet):
    """A caller disconnects while its claim is being written."""
    task = asyncio.ensure_future(
        fleet.vms[FIRST].claims.claim("gijon", "k", b"f", "a1")
    )
    await asyncio.sleep(0)
    task.cancel()
    await fleet.timers.advance(3)
    assert await fleet.state(SECOND, "k", "a2") == "new"


async def test_outcome_is_recorded_after_an_outage(fleet):
    """The store goes down while a request runs, so its outcome can't be recorded.

    Tries are refused until the store is back, and then get the outcome.
    """
    assert await fleet.state(FIRST, "k", "a1") == "new"
    fleet.objects.outage = True
    assert (await fleet.record(FIRST, "k", "a1", "done", b"ok")).is_err()
    assert await fleet.state(SECOND, "k", "a2") == "store-unavailable"
    fleet.objects.outage = False
    await fleet.timers.advance(10)
    assert (await fleet.claim(SECOND, "k", "a3")).ok_value.body == b"ok"


async def test_claims_of_all_vms_are_committed_together(fleet):
    claims = [
        vm.claims.claim("gijon", f"{vm.vm}-{number}", b"f", f"{vm.vm}-{number}")
        for vm in fleet.vms.values()
        for number in range(60)
    ]
    claimed = await fleet.finish(*claims)
    assert all(one.ok_value.state == "new" for one in claimed)
    assert fleet.objects.writes <= 4


class ClaimMachine(RuleBasedStateMachine):
    """Tries of a few keys through three VMs, with faults in between.

    Checks that each key never has more than one attempt that was allowed to run and
    was not recorded as not run.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = self.loop.run_until_complete(self._make())
        self.attempts = 0
        self.running: list[tuple] = []
        self.ran = {}
        self.freed = 0

    async def _make(self):
        return ClaimFleet(CLAIM_KEEP_S=86400.0)

    def teardown(self):
        self.loop.close()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(
        vms=st.lists(st.sampled_from(["vm-1", "vm-2", "vm-3"]), min_size=1, max_size=4),
        key=st.sampled_from(["k1", "k2"]),
    )
    def claim_at_once(self, vms, key):
        tries = []
        for vm in vms:
            self.attempts += 1
            tries.append((self.fleet.vms[vm], key, f"a{self.attempts}"))
        claims = [vm.claims.claim("c", key, b"f", name) for vm, key, name in tries]
        claimed = self.run(self.fleet.finish(*claims))
        for one, answer in zip(tries, claimed, strict=True):
            if answer.is_ok() and answer.ok_value.state == "new":
                self.ran.setdefault(key, set()).add(one[2])
                self.running.append(one)

    @rule(outcome=st.sampled_from(["done", "unknown", "not_run"]))
    def end_one(self, outcome):
        if not self.running:
            return
        vm, key, name = self.running.pop(0)
        if outcome == "not_run":
            # Once it is recorded as not run, another attempt may run.
            self.ran[key].discard(name)
        self.run(self.fleet.finish(vm.claims.record("c", key, name, outcome)))

    @rule(vm=st.sampled_from(["vm-1", "vm-2", "vm-3"]))
    def replace_vm(self, vm):
        old = self.fleet.vms[vm]
        self.running = [one for one in self.running if one[0] is not old]
        self.fleet.kill(vm)
        self.run(self._start(vm))

    async def _start(self, vm):
        self.fleet.start_vm(vm)

    @rule(
        vm=st.sampled_from(["vm-1", "vm-2", "vm-3"]),
        key=st.sampled_from(["k1", "k2"]),
        steps=st.integers(0, 12),
    )
    def kill_while_claiming(self, vm, key, steps):
        self.attempts += 1
        self.run(self._kill_while_claiming(vm, key, f"a{self.attempts}", steps))
        self.running = [one for one in self.running if one[0] in self._alive()]

    async def _kill_while_claiming(self, vm, key, name, steps):
        claims = self.fleet.vms[vm].claims
        claiming = asyncio.ensure_future(claims.claim("c", key, b"f", name))
        for _ in range(steps):
            await asyncio.sleep(0)
        await self.fleet.timers.advance(0.002 * (steps % 3))
        claimed = claiming.result().ok() if claiming.done() else None
        if claimed is not None and claimed.state == "new":
            # It may have sent the request before it was killed.
            self.ran.setdefault(key, set()).add(name)
        claiming.cancel()
        self.fleet.kill(vm)
        self.fleet.start_vm(vm)
        await self.fleet.timers.advance(1)

    def _alive(self):
        return list(self.fleet.vms.values())

    @rule(vm=st.sampled_from(["vm-1", "vm-2", "vm-3"]), lost=st.integers(1, 3))
    def lose_replies(self, vm, lost):
        self.fleet.vms[vm].store.lose_next_reply = lost

    @rule(vm=st.sampled_from(["vm-1", "vm-2", "vm-3"]), cut=st.booleans())
    def cut_from_peers(self, vm, cut):
        self.fleet.vms[vm].cut = cut

    @rule(vm=st.sampled_from(["vm-1", "vm-2", "vm-3"]), outage=st.booleans())
    def cut_from_store(self, vm, outage):
        self.fleet.vms[vm].store.outage = outage

    @rule(outage=st.booleans())
    def store_outage(self, outage):
        self.fleet.objects.outage = outage

    @rule(seconds=st.sampled_from([0.1, 2.0, 10.0]))
    def wait(self, seconds):
        self.run(self.fleet.timers.advance(seconds))

    @invariant()
    def at_most_once(self):
        for key, attempts in self.ran.items():
            assert len(attempts) <= 1, (key, attempts)


ClaimMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
TestClaimMachine = ClaimMachine.TestCase
