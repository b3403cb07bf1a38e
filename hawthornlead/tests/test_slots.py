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
    """A VM starts, joins, and a caller asks it in its first second.

    The owner told the target's state before the VM had joined, and nothing has
    changed since; until the next telling the VM would answer no-target.
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
    """A caller streams a long ruling while another adapter is wanted.

    With one slot the second must wait: evicting now would break the stream. The
    owner asks the grant back, and evicts only after the stream has ended.
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
    """The VM that carries a stream dies, freezes or is cut from the owner.

    Its grant can't be renewed and runs out, but the target still runs the stream.
    Evicting when the grant runs out would break it; the report must show it ended.
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
        # What it believes to hold has run out by its own clock.
        assert grant.start("r2").unwrap_err().kind is ErrorKind.NO_GRANT


async def test_lost_stream_is_not_given_back():
    """A VM gives up a silent stream, while the target still runs it.

    Were the grant given back as idle, the owner would evict under the running
    request. It is left to run out, and a report must show that nothing runs.
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
    """Reports are five seconds old, and show the adapter idle before the stream.

    The carrying VM dies right after it sent. A report read after the grant ran out
    but taken before the stream began must not pass as proof.
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
    """An engine restarts with empty slots while VMs hold grants.

    Nothing is loaded by itself: a stampede would take the weight store from all
    other targets. What is asked for is loaded again, once.
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

    Its requests are told; its slot and its share of the weight store are free for
    others; and the next request for it is refused until the backoff is over.
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
    """An eviction is carried out and its answer is lost.

    Granting the adapter as still resident would send requests to nothing. The slot
    is uncertain until a report taken later shows what became of it.
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
    """An eviction is written just before its timeout, and its sender gives up.

    It lands five seconds later. The report shows the adapter resident all the time,
    a caller asks for it, and its stream would be broken by the sender's own order.
    A target that restarted just before, unnoticed, has even loaded it anew.
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
    """A target is about to be replaced, and a request still begins on it.

    The request had waited for a load since before the target left. Its load ended
    later, and the grant was given without a look at the target's state.
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
