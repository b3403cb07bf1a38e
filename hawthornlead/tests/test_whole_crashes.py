"""A request that crashes its target, through whole daemons."""

from .whole_fleets import whole_fleet

ENGINES = {"engine-1": {}, "engine-2": {}, "engine-3": {}}


async def test_retries_of_one_request_stop_at_its_quarantine():
    """A caller sends one request that crashes each target which runs it.

    It may be tried on three targets; its crash on the second one quarantines it. The
    third attempt of the same request took down one target more than the bound.
    """
    async with whole_fleet(engines=ENGINES) as fleet:
        for engine in ENGINES:
            faults = {"crash_marker": "BOOM", "crash_after_tokens": 1}
            fleet.standin(engine).set_faults(**faults)
        reply = await fleet.complete("entry-1", prompt="BOOM")
        assert reply.error == (502, "target-lost", "may have run")
        ran = [engine for engine in ENGINES if fleet.runs(engine)]
        assert len(ran) == 2
        again = await fleet.complete("entry-1", prompt="BOOM")
        assert again.error == (422, "quarantined", "not run")
