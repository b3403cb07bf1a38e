"""Tests of requests on sound connections while other signs show a loss."""

import asyncio

import pytest

from hawthornlead.gateway.records import Loss
from hawthornlead.gateway.target_liveness import Repeat
from hawthornlead.gateway.target_probes import PROBE_TIMEOUT_S, ProbeResult
from hawthornlead.platform.objects import TARGETS_KIND

from .cut_paths import Cut, cut_paths
from .gateways import MODEL, Deployment
from .standins.platform_engine import BORN_MS
from .watched_targets import ENTRY, Watched

OTHER = ENTRY._replace(target="e2", address="127.0.0.1:10")
# Longer than the silence after which a target is probed.
EVENT_S = 0.4
# "A second or so", for which a sound target may fall silent.
PAUSE_S = 1.1
# Five probes that fail at once take less than this.
LONG_PAUSE_S = 1.4


async def test_streams_behind_a_partition_go_on_while_their_events_come():
    """Guards against unanswered probes that add up over events received in between."""
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.events, engine.event_s = 8, EVENT_S
        asking = [
            asyncio.create_task(deployment.ask("/stream/x", Model=MODEL))
            for _ in range(4)
        ]
        targets = deployment.engines + deployment.plains
        await deployment.until(lambda: sum(len(e.ran) for e in targets) == 4)
        async with cut_paths(deployment.gateways[0], targets, Cut.NO_NEW):
            answers = await asyncio.gather(*asking)
        assert all(answer.whole for answer in answers)


async def test_data_between_unanswered_probes_keeps_a_request():
    """Guards against a slow stream that is cut although its target sends data."""
    watched = Watched(ProbeResult.NOTHING)
    requests = [watched.follow(repeat) for repeat in Repeat]
    other = watched.follow(Repeat.NEVER, OTHER)
    for _ in range(20):
        await watched.advance(EVENT_S)
        watched.send_data(requests[0])
        watched.send_data(other)
    assert watched.probes.asked > 10
    assert not any(request.lost.done() for request in requests)


async def test_a_target_that_falls_silent_after_missed_probes_is_found_as_soon():
    """Guards against data that defers the next probe, so that a loss is found later."""
    watched = Watched(ProbeResult.NOTHING)
    request = watched.follow(Repeat.FREELY)
    await watched.advance(EVENT_S)
    watched.send_data(request)
    await watched.advance(1.0)
    assert request.lost.done()


async def test_streams_go_on_at_an_engine_that_has_closed_its_listener():
    """Guards against a refused connection that ends streams on other connections."""
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.1
        asking = [
            asyncio.create_task(deployment.ask(path, Model=MODEL))
            for path in ("/stream/x", "/resume/x") * 4
        ]
        engines = deployment.engines
        await deployment.until(lambda: sum(len(e.ran) for e in engines) == 8)
        await asyncio.sleep(0.15)
        leaving = engines[0]
        leaving.vanish()
        leaving.silent = True
        await asyncio.sleep(PAUSE_S)
        leaving.silent = False
        answers = await asyncio.gather(*asking)
        assert all(answer.whole for answer in answers)
        assert sum(len(e.ran) for e in engines) == 8


@pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.AFTER_END])
@pytest.mark.parametrize("found", [ProbeResult.REFUSED, ProbeResult.NOTHING])
async def test_a_pause_of_a_sound_target_ends_nothing(repeat, found):
    """Guards against probes that fail at once and so add up within a short pause."""
    watched = Watched(found)
    request, other = watched.follow(repeat), watched.follow(Repeat.NEVER, OTHER)
    for _ in range(3):
        await watched.advance(LONG_PAUSE_S)
        assert not request.lost.done()
        watched.send_data(request)
        watched.send_data(other)


@pytest.mark.parametrize(
    ("found", "took_s", "repeat", "within_s"),
    [
        (ProbeResult.REFUSED, 0.0, Repeat.FREELY, 0.4),
        (ProbeResult.REFUSED, 0.0, Repeat.AFTER_END, 1.65),
        (ProbeResult.REFUSED, 0.0, Repeat.NEVER, 1.65),
        (ProbeResult.NOTHING, PROBE_TIMEOUT_S, Repeat.FREELY, 0.9),
        (ProbeResult.NOTHING, PROBE_TIMEOUT_S, Repeat.AFTER_END, 1.65),
        (ProbeResult.NOTHING, PROBE_TIMEOUT_S, Repeat.NEVER, 1.65),
        (ProbeResult.RESTARTED, 0.0, Repeat.FREELY, 0.4),
        (ProbeResult.RESTARTED, 0.0, Repeat.AFTER_END, 0.4),
        (ProbeResult.RESTARTED, 0.0, Repeat.NEVER, 0.4),
    ],
)
async def test_a_dead_target_is_found_in_time(found, took_s, repeat, within_s):
    """Guards against requests that wait for a target which will never answer."""
    watched = Watched(found)
    watched.probes.took_s = took_s
    request, other = watched.follow(repeat), watched.follow(Repeat.NEVER, OTHER)
    for _ in range(round(within_s / 0.05)):
        watched.send_data(other)
        await watched.advance(0.05)
    assert request.lost.done()


async def test_a_request_that_leaves_a_closed_listener_early_accuses_no_prompt():
    """Guards against prompts that count as crashing a target that only pauses."""
    watched = Watched(ProbeResult.REFUSED)
    freely, never = watched.follow(Repeat.FREELY), watched.follow(Repeat.NEVER)
    await watched.advance(0.5)
    assert freely.lost.result() is Loss.REFUSED
    assert not freely.may_have_crashed
    await watched.advance(1.5)
    assert never.lost.result() is Loss.REFUSED
    assert never.may_have_crashed


@pytest.mark.parametrize("born", [BORN_MS, None])
async def test_streams_go_on_at_an_engine_whose_entry_was_away(born):
    """Guards against an entry that went once and so speaks against each later pause."""
    deployment = Deployment(vms=1)
    for engine in deployment.engines:
        engine.events, engine.event_s, engine.born = 20, 0.1, born
    async with deployment:
        asking = [
            asyncio.create_task(deployment.ask("/stream/x", Model=MODEL))
            for _ in range(4)
        ]
        engines = deployment.engines
        await deployment.until(lambda: sum(len(e.ran) for e in engines) == 4)
        cut_off = engines[0]
        deployment.store.remove(TARGETS_KIND, cut_off.target)
        await asyncio.sleep(0.5)
        deployment.register(cut_off)
        await asyncio.sleep(0.5)
        cut_off.silent = True
        await asyncio.sleep(PAUSE_S)
        cut_off.silent = False
        answers = await asyncio.gather(*asking)
        assert all(answer.whole for answer in answers)


@pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.AFTER_END])
@pytest.mark.parametrize("found", [ProbeResult.REFUSED, ProbeResult.NOTHING])
async def test_a_pause_of_a_target_without_an_entry_ends_nothing(repeat, found):
    """Guards against an engine that is cut off from the store and loses its streams."""
    watched = Watched(found)
    request = watched.follow(repeat)
    watched.remove_entry()
    for _ in range(3):
        await watched.advance(LONG_PAUSE_S)
        assert not request.lost.done()
        watched.send_data(request)


async def test_an_entry_that_went_tells_a_dead_target_from_a_cut_of_the_path():
    """Guards against requests that wait for a dead target while no other is heard."""
    watched = Watched(ProbeResult.NOTHING)
    request = watched.follow(Repeat.NEVER)
    await watched.advance(2.5)
    assert not request.lost.done()
    watched.remove_entry()
    await watched.advance(0.5)
    assert request.lost.result() is Loss.UNANSWERED


async def test_an_entry_that_is_back_ends_nothing_any_more():
    """Guards against a fact of the store that holds after the store took it back."""
    watched = Watched(ProbeResult.NOTHING)
    request = watched.follow(Repeat.NEVER)
    watched.remove_entry()
    await watched.advance(0.5)
    watched.registered = True
    await watched.advance(2.5)
    assert not request.lost.done()


async def test_a_request_to_another_target_shows_no_working_path():
    """Guards against a cut VM that ends its requests because it sends further ones."""
    watched = Watched(ProbeResult.NOTHING)
    request = watched.follow(Repeat.NEVER)
    await watched.advance(0.7)
    watched.follow(Repeat.NEVER, OTHER)
    await watched.advance(2.0)
    assert not request.lost.done()


@pytest.mark.parametrize("found", [ProbeResult.REFUSED, ProbeResult.NOTHING])
async def test_data_that_comes_during_a_probe_defers_no_later_one(found):
    """Guards against a target that dies behind its last data and is found late."""
    watched = Watched(found)
    watched.probes.took_s = 0.1
    request = watched.follow(Repeat.FREELY)
    await watched.advance(EVENT_S)
    watched.send_data(request)
    await watched.advance(0.2)
    assert not request.liveness.missed_probes
    await watched.advance(1.1)
    assert request.lost.done()


async def test_a_probe_that_was_under_way_takes_no_restart_back():
    """Guards against a start that is over and yet counts as wrongly lost."""
    watched = Watched(ProbeResult.ALIVE)
    watched.probes.took_s = 0.1
    request = watched.follow(Repeat.NEVER)
    await watched.advance(EVENT_S)
    watched.losses._on_lost(ENTRY.incarnation, Loss.RESTARTED)
    await watched.advance(0.2)
    assert request.lost.result() is Loss.RESTARTED
    assert request.liveness.restarted
    metric = watched.metrics.wrong_losses
    assert metric.labels(Loss.RESTARTED.value)._value.get() == 0


@pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.AFTER_END])
async def test_few_probes_that_take_long_are_no_long_silence(repeat):
    """Guards against a path with losses that ends requests after two probes."""
    watched = Watched(ProbeResult.NOTHING)
    watched.probes.took_s = 2 * PROBE_TIMEOUT_S
    request, other = watched.follow(repeat), watched.follow(Repeat.NEVER, OTHER)
    await watched.advance(1.0)
    watched.send_data(other)
    await watched.advance(1.0)
    assert not request.lost.done()


async def test_a_refusal_before_the_last_data_ends_no_request():
    """Guards against a closed listener that ends requests whose data flows."""
    watched = Watched(ProbeResult.REFUSED)
    stream = watched.follow(Repeat.NEVER)
    await watched.advance(EVENT_S)
    watched.send_data(stream)
    freely = watched.follow(Repeat.FREELY)
    watched.remove_entry()
    assert not freely.lost.done()


async def test_a_refusal_by_all_targets_is_a_fault_of_the_path():
    """Guards against the loss of runs on open connections behind a partition."""
    watched = Watched(ProbeResult.REFUSED)
    watched.paths.check.return_value = True
    request = watched.follow(Repeat.NEVER)
    await watched.advance(3.0)
    assert not request.lost.done()


async def test_a_target_that_refuses_connections_gets_no_request_while_its_data_flows():
    """Guards against requests that are sent to an engine which closed its listener."""
    watched = Watched(ProbeResult.REFUSED)
    stream = watched.follow(Repeat.NEVER)
    await watched.advance(EVENT_S)
    watched.send_data(stream)
    assert not await watched.losses.check_healthy(ENTRY)


async def test_an_answered_probe_takes_a_refusal_back():
    """Guards against an engine that gets no requests after it listens again."""
    watched = Watched(ProbeResult.REFUSED, ProbeResult.ALIVE)
    request = watched.follow(Repeat.NEVER)
    await watched.advance(EVENT_S)
    assert request.liveness.proof is Loss.REFUSED
    await watched.advance(EVENT_S)
    assert request.liveness.proof is None
    metric = watched.metrics.wrong_losses
    assert metric.labels(Loss.REFUSED.value)._value.get() == 1


async def test_a_refusal_tells_nothing_of_a_path_that_is_cut_later():
    """Guards against the loss of a run, as its target refused before a partition."""
    watched = Watched(ProbeResult.REFUSED, ProbeResult.NOTHING)
    request = watched.follow(Repeat.NEVER)
    await watched.advance(3.0)
    assert not request.lost.done()
