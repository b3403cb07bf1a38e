"""The holding side of grants: this VM's right to run requests on targets.

A request needs a grant from its target's owner for its adapter version. Grants are
kept and shared, so that most requests need no round trip::

    granted = await grants.acquire("engine-3", assignment, wait_s=2.0)
    grant = granted.ok_value
    if grant.start(attempt_id).is_ok():
        ...                                     # send, relay the answer
        grant.finish(attempt_id, ended=True)    # the target is known to be done

A grant's time counts from the moment its request was *sent*, by the monotonic clock,
shortened by the rate error that two clocks may have. So it expires here before it
expires at the owner, however long the reply took.

A request may run longer than its grant. The owner does not evict before a report shows
that nothing runs, so a stream survives the loss of an owner.
"""

import asyncio
import math
import weakref
from typing import NamedTuple

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..decisions.views import target_resource
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..mesh.casts import send
from ..messages import (
    AcquireGrant,
    Done,
    GrantReply,
    ReleaseGrant,
    RenewGrants,
    RevokeGrant,
)
from ..waits import wait_done
from .grant_ledgers import AdapterVersion

# A grant with less time left than this is not handed to another request.
MIN_REMAINING_S = 0.25


class GrantKey(NamedTuple):
    """What a grant is for."""

    target: str
    key: AdapterVersion


class _RequestKey(NamedTuple):
    """What callers must have in common to share a request to the owner."""

    key: GrantKey
    load: bool
    prefetch: bool
    slot_wait_s: float


class _HeldGrant:
    """One grant of an owner, shared by up to ``count`` requests."""

    def __init__(self, key: GrantKey, reply: GrantReply, owner_vm: str, ends_at: float):
        self.key = key
        self.reply = reply
        self.owner_vm = owner_vm
        self.ends_at = ends_at
        self.running: set[str] = set()
        # Acquired and not started. Weak: a request that fails before its attempt
        # drops its ``Grant``, which frees its place.
        self.reserved: weakref.WeakSet[Grant] = weakref.WeakSet()
        self.used_at = -math.inf
        # Requests started since the last report to the owner, which itself counts
        # the first one.
        self.started = -1
        self.revoked = False
        # A request may still run under it although its attempt has ended.
        self.suspect = False

    @property
    def busy(self) -> bool:
        return bool(self.running) or len(self.reserved) > 0

    @property
    def free_places(self) -> int:
        return self.reply.count - len(self.running) - len(self.reserved)

    def drain_started(self) -> int:
        started, self.started = max(0, self.started), min(0, self.started)
        return started


class Grant:
    """One request's place under a grant, for one attempt."""

    def __init__(self, grants: "Grants", held: _HeldGrant, loaded_s: float):
        self._grants = grants
        self._held = held
        self._loaded_s = loaded_s
        held.reserved.add(self)

    @property
    def grant_id(self) -> str:
        """The grant's id at the owner."""
        return self._held.reply.grant_id

    @property
    def fence(self) -> int:
        """The fencing number of the owner that issued it."""
        return self._held.reply.fence

    @property
    def ends_at(self) -> float:
        """When it expires by this VM's clock; each renewal extends it."""
        return self._held.ends_at

    @property
    def lost_at(self) -> float:
        """When a running attempt must be aborted: never.

        No attempt may start under an expired grant. A running one goes on, since the
        owner and any successor evict only after a report that shows nothing running
        on the adapter.
        """
        return math.inf

    @property
    def loaded_s(self) -> float:
        """How long this request waited for its load, in seconds."""
        return self._loaded_s

    def start(self, attempt_id: str) -> Result[None, Failure]:
        """Start an attempt; call it right before the bytes are sent.

        Refused when the grant has expired: the process may have been frozen since
        it acquired the grant, and the adapter may have been evicted meanwhile.
        """
        return self._grants.start_attempt(self, self._held, attempt_id)

    def finish(self, attempt_id: str, *, ended: bool = False) -> None:
        """End an attempt.

        ``ended`` says that the target is known to be done with it: it answered to
        the end, refused, or was never reached. Otherwise the grant is not released
        but left to expire, so that the adapter stays until a report shows it idle.
        """
        self._grants.finish_attempt(self, self._held, attempt_id, ended)


class Grants:
    """All grants that this VM holds."""

    def __init__(self, *, core: CoreParts, mesh, owners):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._invariants = core.invariants
        self._mesh = mesh
        self._owners = owners
        self._held: dict[str, _HeldGrant] = {}
        self._by_key: dict[GrantKey, list[_HeldGrant]] = {}
        self._pending_requests: dict[_RequestKey, asyncio.Task] = {}
        self._revoked_early: dict[str, float] = {}
        self._timer = None

    def start(self) -> None:
        """Start to renew grants in use and to release idle ones."""
        self._mesh.on(RevokeGrant, self._on_revoke)
        self._timer = self._timers.every(
            self._settings["GRANT_RENEW_S"], self.renew, name="grants"
        )

    async def stop(self) -> None:
        """Release all grants under which nothing runs."""
        if self._timer is not None:
            self._timer.cancel()
        for held in list(self._held.values()):
            held.revoked = True
            self._release_if_idle(held)

    async def acquire(
        self,
        target: str,
        assignment,
        wait_s: float,
        load: bool = True,
        priority: int = 0,
        prefetch: bool = False,
        slot_wait_s: float = 3600.0,
    ) -> Result[Grant, Failure]:
        """Get a place under a held grant or under one from the target's owner.

        Concurrent callers that need the same share one request. ``prefetch`` and
        ``slot_wait_s`` (seconds) are those of ``AcquireGrant``.
        """
        key = GrantKey(target, AdapterVersion(assignment.adapter, assignment.version))
        deadline_at = self._timers.now() + wait_s
        loaded_s = 0.0
        while True:
            held = self._usable(key)
            if held is not None:
                return Ok(Grant(self, held, loaded_s))
            remaining_s = deadline_at - self._timers.now()
            if remaining_s < 0:
                return Err(_no_grant("no grant came in time"))
            request = AcquireGrant(
                target,
                assignment.adapter,
                assignment.version,
                assignment.base_model,
                self._settings["GRANT_SIZE"],
                priority,
                remaining_s,
                load,
                prefetch,
                slot_wait_s,
            )
            pending = self._request(key, request)
            if not await wait_done(self._timers, pending, remaining_s):
                return Err(_no_grant("no grant came in time"))
            outcome = pending.result()
            if isinstance(outcome, Err):
                return outcome
            loaded_s = max(loaded_s, outcome.ok_value.loaded_s)

    def start_attempt(self, grant: Grant, held: _HeldGrant, attempt_id: str) -> Result:
        """See ``Grant.start``."""
        held.reserved.discard(grant)
        now = self._timers.now()
        # GRA-2: the clock is read right before the send. GRA-10: a released grant is
        # over, whatever a late reply says of its time.
        if now >= held.ends_at or self._held.get(held.reply.grant_id) is not held:
            return Err(_no_grant("the grant expired before the request was sent"))
        held.running.add(attempt_id)
        held.used_at = now
        held.started += 1
        self._invariants.check(
            "grant-before-send",
            now < held.ends_at and len(held.running) <= held.reply.count,
            f"{attempt_id} under {held.reply.grant_id}",
        )
        return Ok(None)

    def finish_attempt(
        self, grant: Grant, held: _HeldGrant, attempt_id: str, ended: bool
    ) -> None:
        """See ``Grant.finish``."""
        held.reserved.discard(grant)
        if attempt_id in held.running:
            held.running.discard(attempt_id)
            # GRA-6: a request whose end was not seen may still run. If its grant were
            # released as idle, the owner could evict under it. The grant expires
            # instead, and the owner waits for a report that shows the adapter idle.
            held.suspect = held.suspect or not ended
        if held.revoked:
            self._release_if_idle(held)

    async def renew(self) -> None:
        """Renew grants in use, release idle ones, discard expired ones."""
        now = self._timers.now()
        for grant_id, at in list(self._revoked_early.items()):
            if now - at > self._settings["GRANT_S"]:
                del self._revoked_early[grant_id]
        in_use: dict[str, list[_HeldGrant]] = {}
        for held in list(self._held.values()):
            if now >= held.ends_at and not held.busy:
                self._discard(held)
                continue
            if held.busy and not held.suspect:
                in_use.setdefault(held.key.target, []).append(held)
            elif now - held.used_at >= self._settings["GRANT_RENEW_S"]:
                self._release_if_idle(held)
        calls = [self._renew(target, held) for target, held in in_use.items()]
        await asyncio.gather(*calls)
        self._metrics.grants_held.set(len(self._held))

    async def _renew(self, target: str, in_use: list[_HeldGrant]) -> None:
        sent_at = self._timers.now()
        renewed: tuple[str, ...] = ()
        ttl_s = 0.0
        owner = self._owners.owner_of(target_resource(target))
        if owner is not None:
            ids = tuple(held.reply.grant_id for held in in_use)
            started = tuple(held.drain_started() for held in in_use)
            reply = await self._mesh.call(owner.vm, RenewGrants(target, ids, started))
            if isinstance(reply, Ok):
                renewed, ttl_s = reply.ok_value
        for held in in_use:
            # GRA-10: it was released while the reply was under way. If extended now, a
            # request could start under it although the owner counts it as released.
            if self._held.get(held.reply.grant_id) is not held:
                continue
            if held.reply.grant_id in renewed:
                held.ends_at = max(
                    held.ends_at, sent_at + self._minus_clock_error(ttl_s)
                )
                continue
            self._events.emit(
                EventKind.GRANT_LOST,
                target,
                grant=held.reply.grant_id,
                running=len(held.running),
            )

    def _usable(self, key: GrantKey) -> _HeldGrant | None:
        """Return the held grant with a free place that expires last, or None."""
        soonest = self._timers.now() + MIN_REMAINING_S
        best = None
        for held in self._by_key.get(key, ()):
            if held.revoked or held.free_places <= 0 or held.ends_at < soonest:
                continue
            if best is None or held.ends_at > best.ends_at:
                best = held
        return best

    def _request(self, key: GrantKey, request: AcquireGrant) -> asyncio.Task:
        # Only requests with the same answer are shared: a request must not get the
        # refusal of one that waits less long for a slot, or of a prefetch.
        kind = _RequestKey(key, request.load, request.prefetch, request.slot_wait_s)
        call = self._pending_requests.get(kind)
        if call is not None and not call.done():
            return call
        call = asyncio.get_running_loop().create_task(
            self._request_from_owner(key, request)
        )
        self._pending_requests[kind] = call

        def discard(pending):
            if self._pending_requests.get(kind) is pending:
                del self._pending_requests[kind]

        call.add_done_callback(discard)
        return call

    async def _request_from_owner(
        self, key: GrantKey, request: AcquireGrant
    ) -> Result[GrantReply, Failure]:
        owner = self._owners.owner_of(target_resource(key.target))
        if owner is None:
            return Err(_no_grant(f"{key.target} has no owner"))
        # Read before the request is sent, so before the owner starts to count.
        sent_at = self._timers.now()
        timeout_s = request.wait_s + self._settings["PEER_CALL_S"]
        reply = await self._mesh.call(owner.vm, request, timeout_s=timeout_s)
        if isinstance(reply, Err):
            return reply
        grant = reply.ok_value
        held = _HeldGrant(
            key, grant, owner.vm, sent_at + self._minus_clock_error(grant.ttl_s)
        )
        # A revocation may arrive before the grant that it is for.
        held.revoked = self._revoked_early.pop(grant.grant_id, None) is not None
        held.used_at = self._timers.now()
        self._held[grant.grant_id] = held
        self._by_key.setdefault(key, []).append(held)
        if held.revoked:
            self._release_if_idle(held)
        return Ok(grant)

    def _minus_clock_error(self, ttl_s: float) -> float:
        return ttl_s * (1 - 2 * self._settings["CLOCK_RATE_ERROR"])

    async def _on_revoke(self, sender, message: RevokeGrant):
        held = self._held.get(message.grant_id)
        if held is None:
            self._revoked_early[message.grant_id] = self._timers.now()
            return Done()
        held.revoked = True
        self._release_if_idle(held)
        return Done()

    def _release_if_idle(self, held: _HeldGrant) -> None:
        """Release a grant unless a request runs, may run or may start under it."""
        if held.busy or held.suspect:
            return
        self._discard(held)
        message = ReleaseGrant(
            held.key.target, held.reply.grant_id, held.drain_started()
        )
        send(self._mesh, held.owner_vm, message)

    def _discard(self, held: _HeldGrant) -> None:
        self._held.pop(held.reply.grant_id, None)
        siblings = self._by_key.get(held.key, [])
        if held in siblings:
            siblings.remove(held)
        if not siblings:
            self._by_key.pop(held.key, None)


def _no_grant(detail: str) -> Failure:
    return Failure(ErrorKind.NO_GRANT, detail, retry_after_s=1.0)
