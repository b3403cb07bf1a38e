"""Tests of requests in targets that went silent, died unseen, or started again."""

import asyncio
import time

from hawthornlead.gateway.loss_detectors import ALIVE_MAX_AGE_S
from hawthornlead.gateway.records import Loss
from hawthornlead.gateway.target_liveness import Repeat
from hawthornlead.gateway.target_probes import ProbeResult
from hawthornlead.platform.objects import TARGETS_KIND

from .gateways import MODEL, Deployment
from .watched_targets import ENTRY, Watched

# A proof takes 0.35 s of silence and two probes of 0.25 s; then a request elsewhere.
SOON_S = 2.0


async def asked_in(deployment, path, **headers):
    """Ask; return the answer and how long it took."""
    began = time.monotonic()
    answer = await deployment.ask(path, **headers)
    return answer, time.monotonic() - began


async def begun(deployment):
    """Return the engine that runs a request, once one does."""
    await deployment.until(lambda: any(e.ran for e in deployment.engines))
    return next(engine for engine in deployment.engines if engine.ran)


def ids(answer):
    """Return the ids of the events of a stream."""
    return [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]


def wrong(deployment, proof):
    """Return how often a proof was wrong, as the metric tells."""
    metric = deployment.gateways[0]._parts.metrics.wrong_losses
    return metric.labels(proof)._value.get()


async def test_a_resumable_stream_leaves_an_engine_that_refuses_connections():
    """A caller waits to its deadline for the rest of a stream whose engine is gone.

    The engine's machine lost its power: the open connection says nothing any more, and
    a new one is refused. Nothing asked for a new one while the stream was silent.
    """
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.1
        asking = asyncio.create_task(asked_in(deployment, "/resume/x", Model=MODEL))
        dying = await begun(deployment)
        await asyncio.sleep(0.25)
        dying.silent = True
        dying.vanish()
        answer, took_s = await asking
        assert answer.whole
        assert ids(answer) == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
        assert took_s < 0.25 + SOON_S


async def test_a_request_that_may_not_be_repeated_ends_truly_on_strong_proof():
    """A caller waits to its deadline for an engine that was replaced long before.

    The engine died without a word and another start of it answers at its address. The
    request may have run, so its caller must not be told that it didn't, nor may it run
    again; but it can be told at once that nothing more comes.
    """
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.faults.append("replaced")
        answer, took_s = await asked_in(deployment, "/stream/x", Model=MODEL)
        assert answer.status == 502
        assert "Retry-After" in answer.headers
        assert took_s < SOON_S
        assert sum(len(engine.ran) for engine in deployment.engines) == 1


async def test_an_engine_that_is_replaced_after_a_probe_is_found_by_the_next():
    """A probe finds the engine alive a moment before it is replaced.

    Its caller waits until that answer is too old to be trusted, but no longer.
    """
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.faults.append("mute")
        alive = deployment.gateways[0]._parts.metrics.probes.labels("alive")
        asking = asyncio.create_task(asked_in(deployment, "/stream/x", Model=MODEL))
        dying = await begun(deployment)
        await deployment.until(lambda: alive._value.get())
        dying.target = "another-start"
        answer, took_s = await asking
        assert answer.status == 502
        assert took_s < ALIVE_MAX_AGE_S + SOON_S
        assert sum(len(engine.ran) for engine in deployment.engines) == 1


async def test_a_begun_stream_is_cut_at_a_silent_engine_that_refuses_connections():
    """Guards against callers that wait to their deadline for an engine that is gone."""
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.1
        asking = asyncio.create_task(asked_in(deployment, "/stream/x", Model=MODEL))
        dying = await begun(deployment)
        await asyncio.sleep(0.25)
        dying.silent = True
        dying.vanish()
        answer, took_s = await asking
        assert (answer.status, answer.whole) == (200, False)
        assert answer.body.endswith(b"\n\n")
        assert took_s < 0.25 + SOON_S
        assert sum(len(engine.ran) for engine in deployment.engines) == 1


async def test_a_resumable_stream_goes_on_elsewhere_while_its_engine_answers_nothing():
    """A stream stays silent to its caller's deadline behind a path that is cut.

    Its route lets it go on at another engine, and probes went unanswered for long.
    """
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.1
        asking = asyncio.create_task(asked_in(deployment, "/resume/x", Model=MODEL))
        dark = await begun(deployment)
        await asyncio.sleep(0.25)
        dark.silent = True
        answer, took_s = await asking
        assert answer.whole
        assert ids(answer) == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
        assert took_s < 0.25 + SOON_S
        # Its connection was closed first, so that an engine that yet lives drops it.
        dark.silent = False
        await deployment.until(lambda: dark.cancelled)


async def test_a_request_that_may_not_be_repeated_waits_for_an_engine_that_may_live():
    """A VM is cut off from all engines for two seconds; their answers come after all.

    A request that may run only once would gain nothing by an early end, and would lose
    the answer that its engine yet gives. The wrong proof is counted.
    """
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.1
        asking = asyncio.create_task(asked_in(deployment, "/stream/x", Model=MODEL))
        frozen = await begun(deployment)
        frozen.silent = True
        await asyncio.sleep(2.0)
        assert not asking.done()
        frozen.silent = False
        answer, _ = await asking
        assert (answer.status, answer.whole) == (200, True)
        assert len(frozen.ran) == 1
        await deployment.until(lambda: wrong(deployment, "answers no calls") == 1)


async def test_silence_for_long_ends_a_request_while_other_targets_are_heard():
    """A caller waits 3 s for an engine in the dark though all others are heard.

    Its request may have run, so that nothing else can follow; it is told so at once.
    """
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.faults.append("mute")
        asking = asyncio.create_task(asked_in(deployment, "/stream/x", Model=MODEL))
        dark = await begun(deployment)
        dark.silent = True
        while not asking.done():
            assert (await deployment.ask("/safe/x", method="GET")).status == 200
            await asyncio.sleep(0.1)
        answer, took_s = await asking
        assert answer.status == 502
        assert "Retry-After" in answer.headers
        assert took_s < SOON_S
        assert sum(len(engine.ran) for engine in deployment.engines) == 1


async def test_an_engine_that_answers_again_under_another_id_is_known_as_lost():
    """An engine is dark for a second and back under another id, at its address.

    Its report goes out whoever is asked for; the request of before waited on, as if the
    engine that answers were the one that runs it.
    """
    deployment = Deployment(vms=1)
    for engine in deployment.engines:
        engine.faults.append("mute")
        engine.report_to_any = True
        # Where starts are told, a report shows by itself whose it is.
        engine.born = None
    async with deployment:
        asking = asyncio.create_task(asked_in(deployment, "/stream/x", Model=MODEL))
        dark = await begun(deployment)
        dark.silent = True
        await asyncio.sleep(1.0)
        assert not asking.done()
        dark.target = "another-start"
        dark.silent = False
        back_at = time.monotonic()
        answer, _ = await asking
        assert answer.status == 502
        assert time.monotonic() - back_at < 1.0
        assert wrong(deployment, "answers no calls") == 0


async def test_both_weak_proofs_together_end_what_may_not_be_repeated():
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.faults.append("mute")
        asking = asyncio.create_task(asked_in(deployment, "/stream/x", Model=MODEL))
        dark = await begun(deployment)
        dark.silent = True
        await asyncio.sleep(1.2)
        assert not asking.done()
        deployment.store.remove(TARGETS_KIND, dark.target)
        gone_at = time.monotonic()
        answer, _ = await asking
        assert time.monotonic() - gone_at < SOON_S
        assert answer.status == 502
        assert sum(len(engine.ran) for engine in deployment.engines) == 1


async def test_an_engine_that_leaves_without_a_word_serves_on():
    """Some engines never say that they leave: their entry goes, and they serve on."""
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.5
        asking = asyncio.create_task(asked_in(deployment, "/stream/x", Model=MODEL))
        leaving = await begun(deployment)
        deployment.store.remove(TARGETS_KIND, leaving.target)
        answer, _ = await asking
        assert (answer.status, answer.whole) == (200, True)
        assert wrong(deployment, "entry gone") == 0


async def test_an_engine_that_answers_probes_keeps_its_silent_request():
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.event_s = 1.2
        metric = deployment.gateways[0]._parts.metrics.probes
        answer = await deployment.ask("/resume/x", Model=MODEL)
        assert answer.whole
        assert len(ids(answer)) == 4
        assert sum(len(engine.ran) for engine in deployment.engines) == 1
        # One after 0.35 s of silence, then one each 1.5 s that the silence goes on.
        assert 1 <= metric.labels("alive")._value.get() <= 4


async def test_nothing_is_sent_into_an_engine_in_the_dark():
    """Requests that may run only once are lost in an engine that is long dark.

    It answers nobody, but its kept connections stand: what is sent on one of them may
    have run for all that is known, and can go nowhere else. Asking first costs less.
    """
    async with Deployment(vms=1) as deployment:
        answers = [deployment.ask("/stream/x", Model=MODEL) for _ in range(6)]
        assert all(answer.whole for answer in await asyncio.gather(*answers))
        for engine in deployment.engines:
            engine.ran.clear()
            engine.event_s = 0.2
        first = asyncio.create_task(deployment.ask("/stream/x", Model=MODEL))
        dark = await begun(deployment)
        dark.silent = True
        await asyncio.sleep(0.5)
        for engine in deployment.engines:
            engine.event_s = 0.01
        answers = [deployment.ask("/stream/x", Model=MODEL) for _ in range(6)]
        served = await asyncio.wait_for(asyncio.gather(*answers), SOON_S)
        assert all(answer.status == 200 and answer.whole for answer in served)
        assert len(dark.ran) == 1
        dark.silent = False
        await first


async def test_a_safe_request_leaves_a_plain_target_that_refuses_connections():
    """Plain services tell no report; a refused connection is proof there too."""
    async with Deployment(vms=1) as deployment:
        for plain in deployment.plains:
            plain.faults.append("mute")
        asking = asyncio.create_task(asked_in(deployment, "/safe/x", method="GET"))
        await deployment.until(lambda: any(plain.ran for plain in deployment.plains))
        gone, other = sorted(deployment.plains, key=lambda plain: not plain.ran)
        other.faults.clear()
        gone.vanish()
        answer, took_s = await asking
        assert answer.status == 200
        assert took_s < SOON_S


async def test_a_vm_that_thaws_does_not_take_its_targets_for_silent():
    """After a freeze of 3 s a VM ends all requests that it may repeat.

    No byte came while it stood still, and none was read yet when its timers went on.
    """
    watched = Watched(ProbeResult.NOTHING)
    follower = watched.follow(Repeat.FREELY)
    await asyncio.sleep(0)
    watched.timers._now += 3.0
    await watched.timers.advance(0.0)
    assert watched.probes.asked == 0
    assert not follower.lost.done()
    await watched.timers.advance(2.0)
    assert follower.lost.result() is Loss.UNANSWERED


async def test_one_unanswered_probe_ends_nothing():
    watched = Watched(ProbeResult.NOTHING, ProbeResult.ALIVE)
    follower = watched.follow(Repeat.FREELY)
    await asyncio.sleep(0)
    await watched.timers.advance(1.5)
    assert watched.probes.asked == 2
    assert not follower.lost.done()


async def test_a_target_that_was_asked_in_vain_just_now_holds_no_request_up():
    watched = Watched(ProbeResult.NOTHING)
    watched.follow(Repeat.FREELY)
    await asyncio.sleep(0)
    await watched.timers.advance(1.0)
    asked = watched.probes.asked
    assert not await watched.losses.check_healthy(ENTRY)
    assert watched.probes.asked == asked


async def test_a_start_that_is_over_by_the_watch_ends_all_requests_there():
    watched = Watched(ProbeResult.ALIVE)
    follower = watched.follow(Repeat.NEVER)
    watched.losses._on_lost(ENTRY.incarnation, Loss.RESTARTED)
    assert follower.lost.result() is Loss.RESTARTED
    watched.losses.unsubscribe(follower)
    assert not watched.losses._livenesses
