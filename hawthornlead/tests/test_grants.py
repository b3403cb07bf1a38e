"""Tests of the grants that a VM holds."""

import asyncio

import pytest
from result import Err, Ok

from hawthornlead.engines.grants import Grants
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.mesh.casts import send
from hawthornlead.messages import (
    AcquireGrant,
    GrantReply,
    ReleaseGrant,
    RenewedGrants,
    RenewGrants,
    RevokeGrant,
)

from .fakes_targets import FakeOwnerRecord, make_parts
from .fakes_worlds import Assigned


class _Mesh:
    """A mesh whose only peer is an owner that answers after ``delay_s``."""

    vm = "here"

    def __init__(self, timers):
        self.timers = timers
        self.sent = []
        self.handlers = {}
        self.delay_s = 0.0
        self.renews = True
        self.failure = None

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    async def call(self, vm, message, timeout_s=None):
        self.sent.append(message)
        if self.delay_s:
            await self.timers.sleep(self.delay_s)
        if self.failure is not None:
            return Err(self.failure)
        if isinstance(message, AcquireGrant):
            count = len([m for m in self.sent if isinstance(m, AcquireGrant)])
            return Ok(GrantReply(f"g{count}", 7, 2, 10.0, self.delay_s))
        return Ok(RenewedGrants(message.grant_ids if self.renews else (), 10.0))

    def cast(self, vm, message):
        self.sent.append(message)
        return True

    def sent_of(self, message_type):
        return [message for message in self.sent if isinstance(message, message_type)]


class _Owners:
    record = FakeOwnerRecord("there", "i", 7)

    def owner_of(self, resource):
        return self.record


@pytest.fixture
def parts():
    return make_parts(VM_NAME="here")


@pytest.fixture
def mesh(parts):
    return _Mesh(parts.timers)


@pytest.fixture
def grants(parts, mesh):
    grants = Grants(
        core=parts,
        mesh=mesh,
        owners=_Owners(),
    )
    grants.start()
    return grants


async def _get(grants, adapter="tide"):
    return (await grants.acquire("engine", Assigned(adapter), wait_s=5.0)).unwrap()


async def test_held_grant_needs_no_round_trip(grants, mesh):
    first, second = await _get(grants), await _get(grants)
    assert len(mesh.sent) == 1 and first.grant_id == second.grant_id
    third = await _get(grants)
    assert third.grant_id != first.grant_id
    assert (await _get(grants, "lap")).grant_id not in (first.grant_id, third.grant_id)


async def test_dropped_grant_frees_its_place(grants, mesh):
    first = await _get(grants)
    second = await _get(grants)
    del second
    third = await _get(grants)
    assert third.grant_id == first.grant_id


async def test_grant_time_counts_from_the_request(grants, mesh, parts):
    """Guards against a grant that is valid longer here than at its owner.

    The owner's reply takes eight of the grant's ten seconds. If the time counted from
    the reply, the owner might evict while a request starts.
    """
    mesh.delay_s = 8.0
    requested_at = parts.timers.now()
    acquiring = grants.acquire("engine", Assigned("tide"), wait_s=20.0)
    task = asyncio.ensure_future(acquiring)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await parts.timers.advance(8.5)
    grant = task.result().unwrap()
    assert grant.ends_at <= requested_at + 10.0


async def test_frozen_between_acquire_and_send(grants, parts):
    """Guards against a request that is sent under an expired grant.

    A process freezes after it acquired its grant and wakes when it has expired. The
    adapter may have been evicted meanwhile, so the request is refused as not run.
    """
    grant = await _get(grants)
    parts.timers._now += 60
    assert grant.start("r1").unwrap_err().kind is ErrorKind.NO_GRANT


async def test_renewed_only_while_in_use(grants, mesh, parts):
    grant = await _get(grants)
    assert grant.start("r1").is_ok()
    ends_at = grant.ends_at
    await parts.timers.advance(20)
    assert grant.ends_at > ends_at and mesh.sent_of(RenewGrants)
    grant.finish("r1", ended=True)
    await parts.timers.advance(20)
    assert mesh.sent_of(ReleaseGrant) == [ReleaseGrant("engine", "g1", 0)]


async def test_owner_that_cannot_renew_ends_new_work_only(grants, mesh, parts):
    """The owner is lost while a stream runs.

    No request may start under the grant after its end. The stream goes on, since no
    owner evicts before a report shows nothing running.
    """
    grant = await _get(grants)
    other = await _get(grants)
    assert grant.start("r1").is_ok()
    mesh.renews = False
    await parts.timers.advance(12)
    assert other.start("r2").is_err()
    assert grant.lost_at > parts.timers.now()


async def test_grant_revoked_while_running_is_released_after(grants, mesh):
    grant = await _get(grants)
    assert grant.start("r1").is_ok()
    await mesh.handlers[RevokeGrant](None, RevokeGrant("engine", "g1"))
    assert mesh.sent_of(ReleaseGrant) == []
    assert (await _get(grants)).grant_id == "g2"
    grant.finish("r1", ended=True)
    assert mesh.sent_of(ReleaseGrant) == [ReleaseGrant("engine", "g1", 0)]
    assert grant.start("r2").is_err()


async def test_renewal_reply_after_the_grant_was_given_back(grants, mesh, parts):
    """Guards against a late renewal that extends a released grant.

    The grant is revoked and released while a renewal is under way. If the reply
    extended it, a request could start under a grant that the owner counts as released.
    """
    grant = await _get(grants)
    assert grant.start("r1").is_ok()
    ends_at = grant.ends_at
    mesh.delay_s = 1.0
    renewing = asyncio.ensure_future(grants.renew())
    await parts.timers.advance(0.5)
    assert mesh.sent_of(RenewGrants)
    await mesh.handlers[RevokeGrant](None, RevokeGrant("engine", "g1"))
    grant.finish("r1", ended=True)
    assert mesh.sent_of(ReleaseGrant) == [ReleaseGrant("engine", "g1", 0)]
    await parts.timers.advance(1.5)
    await renewing
    assert grant.ends_at == ends_at
    assert grant.start("r2").unwrap_err().kind is ErrorKind.NO_GRANT


async def test_grant_whose_end_was_not_seen_is_not_released(grants, mesh, parts):
    grant = await _get(grants)
    assert grant.start("r1").is_ok()
    grant.finish("r1")
    await mesh.handlers[RevokeGrant](None, RevokeGrant("engine", "g1"))
    await parts.timers.advance(30)
    assert mesh.sent_of(ReleaseGrant) == [] and mesh.sent_of(RenewGrants) == []


async def test_revocation_that_arrives_before_its_grant(grants, mesh):
    await mesh.handlers[RevokeGrant](None, RevokeGrant("engine", "g1"))
    assert (await _get(grants)).grant_id == "g2"
    assert mesh.sent_of(ReleaseGrant) == [ReleaseGrant("engine", "g1", 0)]


async def test_started_requests_are_reported(grants, mesh):
    for number in range(3):
        grant = await _get(grants)
        assert grant.start(f"r{number}").is_ok()
        grant.finish(f"r{number}", ended=True)
    await grants.stop()
    assert mesh.sent_of(ReleaseGrant) == [ReleaseGrant("engine", "g1", 2)]


async def test_refusals_are_returned(grants, mesh):
    mesh.failure = Failure(ErrorKind.NO_SLOT, "full", 2.0)
    refused = await grants.acquire("engine", Assigned("tide"), wait_s=5.0)
    assert refused.unwrap_err().retry_after_s == 2.0
    grants._owners.record = None
    refused = await grants.acquire("engine", Assigned("tide"), wait_s=5.0)
    assert refused.unwrap_err().kind is ErrorKind.NO_GRANT


async def test_send_reaches_the_own_vm(mesh):
    handled = []

    async def answer(sender, message):
        handled.append(message)

    mesh.myself, mesh.answer = None, answer
    send(mesh, "here", "m")
    await asyncio.sleep(0)
    assert handled == ["m"] and mesh.sent == []
