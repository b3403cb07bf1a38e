"""Tests of one range of claims: sealing and retention."""

import pytest
from result import Err

from hawthornlead.callers.claim_ranges import HEADS, SEAL_ROWS, SEGMENTS
from hawthornlead.errors import ErrorKind
from hawthornlead.hashes import rendezvous
from hawthornlead.messages import Claim
from hawthornlead.stores.stores import unavailable
from hawthornlead.tests.fakes_claims import ClaimFleet

COMMITTER = rendezvous("claims/0", ["vm-1", "vm-2", "vm-3"])[0]
FIRST, SECOND = [vm for vm in ("vm-1", "vm-2", "vm-3") if vm != COMMITTER]


@pytest.fixture
async def fleet():
    return ClaimFleet()


async def seal(fleet, vm=COMMITTER, prefix="fill"):
    """Fill the head until it is sealed."""
    claims = fleet.vms[vm].claims
    filling = [
        claims.claim("filler", f"{prefix}-{number}", b"f", f"{prefix}-{number}")
        for number in range(SEAL_ROWS)
    ]
    await fleet.finish(*filling)
    await fleet.timers.advance(0.1)


async def test_sealed_claims_stay_and_get_their_outcome(fleet):
    """A claim is sealed while its request runs, before its outcome is recorded."""
    assert await fleet.state(FIRST, "k", "a1") == "new"
    await seal(fleet)
    head = fleet.objects.get(HEADS, "0").value
    assert (len(head["segments"]), head["claims"]) == (1, {})
    assert await fleet.state(SECOND, "k", "a2") == "running"
    await fleet.record(FIRST, "k", "a1", "done", b"ok")
    await seal(fleet, prefix="more")
    fleet.kill(COMMITTER)
    assert (await fleet.claim(SECOND, "k", "a3")).ok_value.body == b"ok"


async def test_two_vms_seal_one_head_at_once(fleet):
    """Two VMs that write directly both seal the same full head."""
    for vm in fleet.vms.values():
        vm.cut = True
    await fleet.finish(
        *[
            vm.claims.claim("gijon", f"{vm.vm}-{number}", b"f", f"{vm.vm}-{number}")
            for vm in fleet.vms.values()
            for number in range(SEAL_ROWS // 2)
        ]
    )
    await fleet.timers.advance(1)
    head = fleet.objects.get(HEADS, "0").value
    segments = [one.name for one in fleet.objects.list(SEGMENTS).items]
    assert sorted(head["segments"]) == sorted(segments)
    for vm in fleet.vms:
        for number in (0, SEAL_ROWS // 2 - 1):
            assert await fleet.state(FIRST, f"{vm}-{number}", "again") == "running"


async def test_claim_committed_while_another_vm_seals(fleet):
    """One VM seals a head; another commits a claim between its two writes.

    If sealing emptied the head unconditionally, that claim would be lost, and its
    request would run a second time.
    """
    store = fleet.vms[COMMITTER].store
    put = store._put
    between = []

    async def no_seal(value):
        pass

    async def put_then_other_commits(kind, *args):
        outcome = await put(kind, *args)
        if kind == SEGMENTS and not between:
            between.append(fleet.vms[FIRST].claims._ranges[0])
            # Act as if the other VM were killed before it seals the full head.
            between[0]._seal = no_seal
            claim = Claim("gijon", "k", b"f", "a1", FIRST, "start-1")
            between.append(await between[0].submit(claim))
        return outcome

    store._put = put_then_other_commits
    await seal(fleet)
    assert between[1].ok_value.state == "new"
    assert await fleet.state(SECOND, "k", "a2") == "running"
    claims = fleet.vms[SECOND].claims
    (filled,) = await fleet.finish(claims.claim("filler", "fill-0", b"f", "a3"))
    assert filled.ok_value.state == "running"


async def test_uncertain_write_that_arrives_after_the_claim_was_released(fleet):
    """A claim's write is delayed in transit to the store, which seems down.

    The request is refused and its claim released. Then the old write arrives: if it
    took the key, nothing would ever release it.
    """
    vm = fleet.vms[COMMITTER]
    put = vm.store._put
    delayed = []

    async def delay_write(*args):
        delayed.append(args)
        vm.store.outage = True
        return Err(unavailable("store: no reply", True))

    vm.store._put = delay_write
    assert await fleet.state(COMMITTER, "k", "a1") == "store-unavailable"
    vm.store._put = put
    vm.store.outage = False
    await fleet.timers.advance(3)
    assert (await put(*delayed[0])).err_value.kind is ErrorKind.VERSION_CONFLICT
    assert await fleet.state(SECOND, "k", "a2") == "new"


async def test_claims_are_kept_for_their_retention_and_then_removed():
    """A caller sends an old key again within and after the claims' retention.

    Within it the key is refused, however long its segment has been sealed. Afterwards
    the key is new, and its segment is deleted.
    """
    fleet = ClaimFleet(CLAIM_KEEP_S=600.0)
    assert await fleet.state(FIRST, "k", "a1") == "new"
    await seal(fleet)
    await fleet.timers.advance(595)
    assert await fleet.state(SECOND, "k", "a2") == "running"
    await fleet.timers.advance(10)
    assert await fleet.state(SECOND, "k", "a3") == "new"
    assert fleet.objects.list(SEGMENTS).items == ()


async def test_small_head_is_sealed_by_age_and_removed():
    fleet = ClaimFleet(CLAIM_KEEP_S=600.0)
    assert await fleet.state(FIRST, "k", "a1") == "new"
    for minute in range(20):
        await fleet.timers.advance(60)
        await fleet.state(FIRST, f"k-{minute}", f"b-{minute}")
    assert await fleet.state(FIRST, "k", "a2") == "new"
