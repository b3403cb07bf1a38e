"""The owner's record of the grants that it has issued on one target.

An adapter may be evicted only when ``idle`` says so: every grant on it was released,
or it expired and a later report shows no request running. Grants of an earlier owner
are unknown and count as one grant on every adapter.
"""

import random
from typing import NamedTuple

from ..timers import TimerService
from .engine_clocks import EngineClock
from .targets import Report

# A request that starts at the end of its grant takes at most this long to reach the
# target. Only a later report proves that no request runs.
MAX_SEND_S = 1.0


class AdapterVersion(NamedTuple):
    """An adapter in one version."""

    adapter: str
    version: str


class IssuedGrant(NamedTuple):
    """A grant issued to a VM.

    ``ends_at`` is on the owner's clock and includes the error of the clocks' rates.
    """

    grant_id: str
    vm: str
    key: AdapterVersion
    count: int
    ends_at: float
    revoked: bool = False


class GrantLedger:
    """The grants issued on one target."""

    def __init__(
        self,
        *,
        settings: dict,
        timers: TimerService,
        rng: random.Random,
        clock: EngineClock,
        fence: int,
    ):
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._clock = clock
        self._fence = fence
        self._outstanding: dict[str, IssuedGrant] = {}
        # Expired, and no report has proved yet that no request runs under them.
        self._expired: dict[str, IssuedGrant] = {}
        # Earlier owners' grants: the moment by which all have expired, and the
        # adapters that a report after it showed running. None: not known yet.
        self._unknown_end_at: float | None = None
        self._unknown_running: set[AdapterVersion] | None = set()

    @property
    def fence(self) -> int:
        """The fencing number under which the grants are issued."""
        return self._fence

    @property
    def outstanding(self) -> int:
        """How many grants VMs hold."""
        return len(self._outstanding)

    @property
    def proof_required_after(self) -> float | None:
        """The latest past moment that a report must follow to prove something.

        None if no proof is required now.
        """
        moments = [self._arrived_by(grant) for grant in self._expired.values()]
        if self._unknown_end_at is not None and self._unknown_running != set():
            moments.append(self._unknown_end_at)
        past = [moment for moment in moments if moment <= self._timers.now()]
        return max(past, default=None)

    def max_lifetime_s(self) -> float:
        """Return how long a VM may use a grant, measured by the owner's clock.

        Both clocks may have a rate error, one fast and one slow.
        """
        error = self._settings["CLOCK_RATE_ERROR"]
        return self._settings["GRANT_S"] * (1 + 2 * error)

    def max_send_s(self) -> float:
        """Return the longest time from a grant's check to the request's arrival."""
        return MAX_SEND_S * (1 + 2 * self._settings["CLOCK_RATE_ERROR"])

    def assume_unknown_until(self, moment: float | None) -> None:
        """Assume that earlier owners issued grants that expire at ``moment``.

        ``None``: they may still issue grants, so nothing is idle.
        """
        if moment is not None and self._unknown_end_at is not None:
            # GRA-11: the latest of several moments counts. With an earlier one a
            # report would pass as proof while grants are still outstanding.
            moment = max(moment, self._unknown_end_at)
        self._unknown_end_at = moment
        self._unknown_running = None

    def issue(self, vm: str, key: AdapterVersion, count: int) -> IssuedGrant:
        """Record and return a grant that starts now."""
        grant_id = f"{self._fence}-{self._rng.getrandbits(64):016x}"
        ends_at = self._timers.now() + self.max_lifetime_s()
        grant = IssuedGrant(grant_id, vm, key, count, ends_at)
        self._outstanding[grant_id] = grant
        return grant

    def renew(self, grant_ids) -> tuple[str, ...]:
        """Extend grants from now on; return those that had not expired."""
        self.sweep()
        ends_at = self._timers.now() + self.max_lifetime_s()
        renewed = []
        for grant_id in grant_ids:
            if grant_id not in self._outstanding:
                continue
            self._outstanding[grant_id] = self._outstanding[grant_id]._replace(
                ends_at=ends_at
            )
            renewed.append(grant_id)
        return tuple(renewed)

    def get(self, grant_id: str) -> IssuedGrant | None:
        """Return a grant that was not released, or None."""
        return self._outstanding.get(grant_id) or self._expired.get(grant_id)

    def release(self, grant_id: str) -> None:
        """Remove a grant whose holder runs nothing under it and never will."""
        self._outstanding.pop(grant_id, None)
        self._expired.pop(grant_id, None)

    def revoke(self, key: AdapterVersion) -> list[IssuedGrant]:
        """Mark the grants on an adapter as revoked; return those newly marked."""
        newly_revoked = []
        for grant in self._outstanding.values():
            if grant.key != key or grant.revoked:
                continue
            newly_revoked.append(grant)
        for grant in newly_revoked:
            self._outstanding[grant.grant_id] = grant._replace(revoked=True)
        return newly_revoked

    def revoke_all(self) -> list[IssuedGrant]:
        """Mark all grants as revoked; return those newly marked."""
        newly_revoked = []
        for key in {grant.key for grant in self._outstanding.values()}:
            newly_revoked += self.revoke(key)
        return newly_revoked

    def sweep(self) -> None:
        """Move expired grants to those that require a proof."""
        now = self._timers.now()
        for grant in list(self._outstanding.values()):
            if now < grant.ends_at:
                continue
            del self._outstanding[grant.grant_id]
            self._expired[grant.grant_id] = grant

    def observe(self, report: Report) -> None:
        """Remove expired grants under which a report proves that nothing runs.

        A request may wait inside the engine, and the report does not say for which
        adapter. So a report with a queue proves nothing.
        """
        self.sweep()
        if report.queued > 0:
            return
        running = set()
        for resident in report.residents:
            if resident.running > 0:
                running.add(AdapterVersion(resident.adapter, resident.version))
        for grant in list(self._expired.values()):
            if grant.key in running:
                continue
            # GRA-5: a request sent at the end of the grant is under way for up to
            # MAX_SEND_S. An earlier report shows nothing running, and the request would
            # arrive after the eviction.
            if self._clock.proves_after(report.as_of, self._arrived_by(grant)):
                del self._expired[grant.grant_id]
        self._observe_unknown(report, running)

    def idle(self, key: AdapterVersion) -> bool:
        """Whether nothing runs on the adapter and no grant lets a request start."""
        self.sweep()
        if self._unknown_running is None or key in self._unknown_running:
            return False
        if any(grant.key == key for grant in self._outstanding.values()):
            return False
        return all(grant.key != key for grant in self._expired.values())

    def _arrived_by(self, grant: IssuedGrant) -> float:
        """Return when the last request under an expired grant has arrived."""
        return grant.ends_at + self.max_send_s()

    def _observe_unknown(self, report: Report, running: set[AdapterVersion]) -> None:
        if self._unknown_end_at is None:
            return
        if not self._clock.proves_after(report.as_of, self._unknown_end_at):
            return
        if self._unknown_running is None:
            self._unknown_running = running
        else:
            self._unknown_running &= running
