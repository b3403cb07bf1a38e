"""Tests of claims of requests: the age of keys, and what refusals may state."""

import pytest

from hawthornlead.callers.claim_rows import DONE, NOT_RUN
from hawthornlead.callers.request_claims import Keyed, Outcome, RequestClaims
from hawthornlead.errors import ErrorKind, Failure, Ran
from hawthornlead.settings import default_settings
from hawthornlead.tests.fakes_claims import ClaimFleet

KEEP_S = 600.0


@pytest.fixture
async def fleet():
    return ClaimFleet(2, CLAIM_KEEP_S=KEEP_S)


def make_claims(fleet, vm):
    return RequestClaims(
        settings=default_settings(CLAIM_KEEP_S=KEEP_S),
        timers=fleet.timers,
        claims=fleet.vms[vm].claims,
    )


def keyed(request_id, age_s=None, fleet=None):
    issued_at = None if age_s is None else fleet.timers.wall() - age_s
    return Keyed("gijon", "lap-81", b"f", request_id, issued_at)


async def claim(fleet, vm, keyed_try):
    (claimed,) = await fleet.finish(make_claims(fleet, vm).claim(keyed_try))
    return claimed


async def record(fleet, vm, keyed_try, outcome):
    await fleet.finish(make_claims(fleet, vm).record(keyed_try, outcome))


async def test_a_key_older_than_claims_are_kept_does_not_run(fleet):
    """A caller was disconnected for long and sends its request again.

    The first try ran, and its claim has been removed: the key looks new, and the
    request would run twice. It is refused by the age that the caller states.
    """
    old = await claim(fleet, "vm-1", keyed("r1", KEEP_S + 5, fleet))
    assert old.err_value.kind is ErrorKind.DUPLICATE_UNKNOWN
    assert old.err_value.answer.ran is Ran.MAY_HAVE_RUN
    assert old.err_value.claim_read
    # Without an age the caller can still choose to run it.
    assert (await claim(fleet, "vm-2", keyed("r2"))).ok_value.state == "new"


async def test_the_age_is_read_after_the_claim(fleet):
    """A process is frozen between reading a key's age and reading its claim.

    The claim expires in between, while the age read before is still below the limit.
    """
    keyed_try = keyed("r1", KEEP_S * 0.8, fleet)
    claims = make_claims(fleet, "vm-1")
    write = claims._claims.claim

    async def frozen(*arguments):
        fleet.timers._now += KEEP_S
        return await write(*arguments)

    claims._claims.claim = frozen
    (claimed,) = await fleet.finish(claims.claim(keyed_try))
    assert claimed.err_value.kind is ErrorKind.DUPLICATE_UNKNOWN


async def test_a_young_key_runs_and_one_from_the_future_is_refused(fleet):
    young = await claim(fleet, "vm-1", keyed("r1", KEEP_S / 2, fleet))
    assert young.ok_value.state == "new"
    future = await claim(fleet, "vm-1", keyed("r2", -KEEP_S, fleet))
    assert future.err_value.kind is ErrorKind.BAD_REQUEST
    assert not future.err_value.claim_read


async def test_without_the_store_refusals_state_nothing_of_other_tries(fleet):
    """The first try runs, the store fails, and the caller tries again.

    The second try is refused as "not run", which holds only for itself.
    """
    assert (await claim(fleet, "vm-1", keyed("r1"))).is_ok()
    fleet.vms["vm-2"].store.outage = True
    fleet.vms["vm-2"].cut = True
    refused = (await claim(fleet, "vm-2", keyed("r2"))).err_value
    assert refused.kind is ErrorKind.STORE_UNAVAILABLE
    assert not refused.claim_read
    fleet.vms["vm-2"].store.outage = False
    met = (await claim(fleet, "vm-2", keyed("r3"))).err_value
    assert (met.kind, met.claim_read) == (ErrorKind.DUPLICATE_RUNNING, True)


async def test_not_run_is_recorded_on_the_own_claim_only(fleet):
    """An older try resumes after a later one claimed the key, and is refused.

    If its "not run" were recorded, it would release the key while the later try
    runs, and a third would run concurrently.
    """
    older, later = keyed("r1"), keyed("r2")
    assert (await claim(fleet, "vm-1", older)).is_ok()
    await record(fleet, "vm-1", older, Outcome(NOT_RUN))
    assert (await claim(fleet, "vm-2", later)).is_ok()
    await record(fleet, "vm-1", older, Outcome(NOT_RUN))
    third = await claim(fleet, "vm-1", keyed("r3"))
    assert third.err_value.kind is ErrorKind.DUPLICATE_RUNNING
    await record(fleet, "vm-2", later, Outcome(DONE, 200, "text/plain", b"filed"))
    assert (await claim(fleet, "vm-1", keyed("r4"))).ok_value.body == b"filed"


def test_outcome_of_a_failure():
    assert Outcome.failed(Failure(ErrorKind.NO_SLOT, "")) == Outcome(NOT_RUN)
    lost = Outcome.failed(Failure(ErrorKind.TARGET_LOST, ""))
    assert lost == Outcome("unknown", 502)
