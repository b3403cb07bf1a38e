"""Tests of the owner of a target: an adapter in use is never evicted."""

import pytest

from hawthornlead.errors import ErrorKind

from .fakes_takeovers import evictions, owned_world, streaming
from .fakes_worlds import World


async def test_an_owner_announces_the_boot_id():
    world = await owned_world()
    announced = world.vms["b"].views.view("engine").state
    assert announced.boot_id == world.engine.boot_id != ""


async def test_loads_once_for_many_requests():
    world = await owned_world()
    request = [world.acquire(vm, "tide") for vm in "abab"]
    await world.advance(2.0)
    assert all(task.result().is_ok() for task in request)
    assert len(world.engine.loads) == 1
    assert request[0].result().unwrap().loaded_s > 0


async def test_new_vm_receives_target_states_at_once():
    """Guards against no-target answers by a VM that has just started.

    The owner announced the target's state before the VM joined, and nothing has
    changed since. Until the next announcement the VM would know no target.
    """
    world = World()
    world.cuts.add(frozenset("ab"))
    world.assign("a")
    await world.advance(1.0)
    assert world.vms["b"].views.view("engine").state is None
    world.cuts.clear()
    await world.advance(0.2)
    assert world.vms["b"].views.view("engine").state is not None


async def test_eviction_waits_for_a_running_stream():
    """Guards against an eviction that breaks a running stream.

    A stream uses the only slot while a load of another adapter waits. The owner
    revokes the grant and evicts only after the stream has ended.
    """
    world = await owned_world()
    grant = await streaming(world)
    pending = world.acquire("a", "lap", wait_s=60)
    await world.advance(25)
    assert not pending.done() and evictions(world) == []
    assert world.engine.end("r1")
    grant.finish("r1", ended=True)
    await world.advance(1.0)
    assert pending.result().is_ok()
    assert world.engine.violations == []


@pytest.mark.parametrize("loss", ["dead", "frozen", "cut"])
async def test_eviction_wanted_while_the_vm_of_the_stream_is_lost(loss):
    """Guards against an eviction when the grant of a lost VM expires.

    The VM that carries a stream dies, freezes or is cut off from the owner. Its grant
    expires, but the target still runs the stream. The owner waits for a report that
    shows the end of the stream.
    """
    world = await owned_world()
    grant = await streaming(world)
    if loss == "dead":
        world.kill("b")
    elif loss == "frozen":
        world.freeze("b")
    else:
        world.cuts.add(frozenset("ab"))
    pending = world.acquire("a", "lap", wait_s=100)
    await world.advance(40)
    assert not pending.done() and evictions(world) == []
    assert world.engine.end("r1")
    await world.advance(3)
    assert pending.result().is_ok() and world.engine.violations == []
    if loss == "frozen":
        await world.thaw("b")
    if loss != "dead":
        # The grant that it still holds has expired by its own clock.
        assert grant.start("r2").unwrap_err().kind is ErrorKind.NO_GRANT


async def test_lost_stream_is_not_given_back():
    """Guards against a grant that is released while its request still runs.

    A VM abandons a silent stream that the target still runs. The grant is left to
    expire, and the owner evicts only after a report that shows nothing running.
    """
    world = await owned_world()
    grant = await streaming(world)
    grant.finish("r1")
    pending = world.acquire("a", "lap", wait_s=60)
    await world.advance(20)
    assert not pending.done()
    assert world.engine.end("r1")
    await world.advance(2)
    assert pending.result().is_ok() and world.engine.violations == []


async def test_report_that_lags_proves_nothing_of_later():
    """Guards against an old report that passes as proof of an idle adapter.

    Reports lag by five seconds. The VM dies right after it started a stream. A report
    read after the grant expired but taken before the stream started proves nothing.
    """
    world = await owned_world(GRANT_S=3.0, GRANT_RENEW_S=1.0)
    world.engine.report_lag_s = 5.0
    grant = (await world.acquired("b", "tide")).unwrap()
    await world.advance(2.5)
    assert world.send("b", grant, "tide", "r1")
    world.kill("b")
    pending = world.acquire("a", "lap", wait_s=60)
    await world.advance(20)
    assert not pending.done() and world.engine.violations == []
    world.engine.end("r1")
    await world.advance(8)
    assert pending.result().is_ok()


async def test_cold_restart_reloads_only_on_demand():
    """Guards against loads of all adapters at once after an engine's restart.

    These would keep other targets from the weight store. An adapter is loaded again
    only for a request, and once.
    """
    world = await owned_world(slots=2)
    await world.acquired("b", "tide")
    await world.acquired("b", "lap")
    world.engine.restart()
    await world.advance(10)
    assert len(world.engine.loads) == 2 and world.engine.residents == set()
    assert world.vms["b"].views.view("engine").state.residents == ()
    assert (await world.acquired("b", "tide")).is_ok()
    await world.advance(10)
    assert len(world.engine.loads) == 3


async def test_failed_load_frees_its_permit_and_is_not_retried_at_once():
    """A load fails partway.

    Its requests get the failure, its slot and its permit are free for other loads, and
    the next request for the adapter is refused until the backoff is over.
    """
    world = await owned_world(LOADS_AT_ONCE=1)
    world.engine.fail_loads = 1
    failed = await world.acquired("b", "tide")
    assert failed.unwrap_err().kind is ErrorKind.LOAD_FAILED
    again = (await world.acquired("b", "tide")).unwrap_err()
    assert again.kind is ErrorKind.LOAD_FAILED and again.retry_after_s > 0
    assert (await world.acquired("b", "lap")).is_ok()
    await world.advance(2)
    assert (await world.acquired("b", "tide")).is_ok()


async def test_lost_reply_of_an_eviction_leaves_no_grant_on_it():
    """Guards against grants on an adapter that a lost order has evicted.

    An eviction is carried out and its answer is lost. The slot is uncertain until a
    later report shows whether the adapter is still there.
    """
    world = await owned_world()
    await world.acquired("b", "tide")
    await world.advance(4)
    world.engine.report_lag_s = 5.0
    world.engine.lose_replies = 1
    pending = world.acquire("a", "lap", wait_s=60)
    await world.advance(1)
    assert world.engine.residents == set()
    request = world.acquire("b", "tide", wait_s=5, load=False)
    await world.advance(0.2)
    assert request.result().is_err()
    await world.advance(20)
    assert pending.done() and world.engine.violations == []
    assert (await world.acquired("b", "lap", wait_s=30)).is_ok()


@pytest.mark.parametrize("fencing", [True, False])
@pytest.mark.parametrize("restart", [False, True])
async def test_eviction_that_takes_effect_after_its_timeout(fencing, restart):
    """Guards against a late eviction that breaks a stream of the same owner.

    An eviction is written just before its timeout and takes effect five seconds later.
    Reports show the adapter as resident meanwhile, and a request needs it. The target
    may also have restarted unnoticed just before and loaded the adapter again.
    """
    world = await owned_world(fencing=fencing)
    await world.acquired("b", "tide")
    await world.advance(4)
    world.vms["a"].client.late_evict = (7.5, 5.0)
    pending = world.acquire("a", "lap", wait_s=15)
    await world.advance(6.5)
    if restart:
        world.engine.restart()
    await world.advance(2)
    request = world.acquire("b", "tide", wait_s=40)
    for _ in range(600):
        if request.done():
            break
        await world.advance(0.1)
    grant = request.result().unwrap()
    assert world.send("b", grant, "tide", "r1")
    await world.advance(20)
    assert world.engine.end("r1") and world.engine.violations == []
    assert pending.done()


async def test_each_request_counts_once_for_its_owner():
    world = await owned_world()
    popularity = world.vms["a"].targets._policies.popularity
    counted = []
    popularity.observe = lambda adapter, now, count=1: counted.append(count)
    for number in range(3):
        grant = (await world.acquired("b", "tide")).unwrap()
        assert world.send("b", grant, "tide", f"r{number}")
        world.engine.end(f"r{number}")
        grant.finish(f"r{number}", ended=True)
    await world.advance(10)
    assert sum(counted) == 3


async def test_leaving_target_takes_no_new_work():
    world = await owned_world()
    await world.acquired("b", "tide")
    world.vm_list.entries = [
        entry._replace(state="leaving") for entry in world.vm_list.entries
    ]
    world.vm_list.changed()
    await world.advance(15)
    refused = await world.acquired("b", "tide", wait_s=5)
    assert refused.unwrap_err().kind is ErrorKind.TARGET_REFUSED


async def test_target_that_begins_to_leave_during_a_load_gets_no_new_work():
    """Guards against new work on a leaving target.

    A request waits for a load when the target starts to leave. When the load ends, the
    owner must check the target's state again before it grants.
    """
    world = await owned_world()
    world.engine.load_s = 5.0
    waiting = world.acquire("b", "tide", wait_s=60)
    await world.advance(2)
    world.vm_list.entries = [
        entry._replace(state="leaving") for entry in world.vm_list.entries
    ]
    world.vm_list.changed()
    await world.advance(8)
    assert len(world.engine.loads) == 1
    assert waiting.result().unwrap_err().kind is ErrorKind.TARGET_REFUSED


async def test_silent_target_is_announced_and_refused():
    world = await owned_world()
    await world.acquired("b", "tide")
    assert world.vms["b"].views.view("engine").state.residents
    world.engine.down = True
    await world.advance(15)
    assert world.vms["b"].views.view("engine").state.slots == 0
    refused = await world.acquired("b", "tide", wait_s=5)
    assert refused.unwrap_err().kind is ErrorKind.TARGET_UNREACHABLE
    world.engine.down = False
    await world.advance(3)
    assert (await world.acquired("b", "tide")).is_ok()


async def test_load_that_would_end_too_late_is_refused_at_once():
    world = await owned_world(LOADS_PER_S=0.5, LOADS_AT_ONCE=1)
    task = world.acquire("b", "tide", wait_s=0.3)
    await world.advance(0.1)
    refused = task.result().unwrap_err()
    assert refused.kind is ErrorKind.NO_SLOT and refused.retry_after_s > 0.3
