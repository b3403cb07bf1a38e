"""Requests that crash their target: suspicion, quarantine, clearing.

A request is identified by its fingerprint, which covers caller, alias and body, so that
it is recognised when its caller sends it again through another VM. All requests on a
target when it dies become suspects, on every VM. A suspect may run only where no other
suspect runs, so that a second death identifies one. After ``CRASHES_TO_QUARANTINE``
deaths a request is refused for ``QUARANTINE_S``; a request that completes is cleared.
A death counts half for a request that the target had answered for a while before.
So one crashing request takes down that many targets, plus those that were already
running it when the report of the last death arrived.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..messages import CrashSuspects, Done

MAX_SUSPECTS = 8192
MAX_FINGERPRINTS = 4096
# Of more quarantines than this, a VM that starts is told of the newest.
MAX_REPORTS = 512
# A request that its target had answered before it died is likely not the cause, but may
# be: one with a long answer may exhaust the target.
ANSWERED_WEIGHT = 0.5
# Reports of one death that lack the boot id arrive within this time.
SAME_DEATH_WINDOW_S = 5.0


class _Death(NamedTuple):
    target: str
    boot_id: str


class _Suspect:
    """The deaths of targets that ran a request, and until when it is refused.

    ``deaths`` holds the weight of each.
    """

    def __init__(self):
        self.deaths: dict[_Death, float] = {}
        self.last_at = -math.inf
        self.refused_until: float | None = None


class Suspects:
    """The suspects that one VM knows of, from itself and from the other VMs."""

    def __init__(self, *, settings, timers, events, mesh=None):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        self._unnamed: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._cleared: OrderedDict[tuple[bytes, _Death], None] = OrderedDict()
        if mesh is not None:
            mesh.on(CrashSuspects, self._on_crash_suspects)

    @property
    def count(self) -> int:
        """The number of stored fingerprints."""
        return len(self._suspects)

    def check(self, fingerprint: bytes) -> Result[None, Failure]:
        """Refuse a request in quarantine, with the remaining time."""
        suspect = self._current(fingerprint)
        if suspect is None or suspect.refused_until is None:
            return Ok(None)
        left_s = suspect.refused_until - self._timers.now()
        detail = f"this request was on {len(suspect.deaths)} targets as they died"
        return Err(Failure(ErrorKind.QUARANTINED, detail, left_s))

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether a request was on a target that died, and has not completed since."""
        return self._current(fingerprint) is not None

    def may_join(self, fingerprint: bytes, running: Iterable[bytes]) -> bool:
        """Whether a request may run on a target together with those that run there.

        A suspect may not join another suspect, including another attempt of itself,
        which would reveal nothing more.
        """
        if not self.is_suspect(fingerprint):
            return True
        return not any(self.is_suspect(other) for other in running)

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear a suspect whose request completed; a quarantine is not lifted."""
        suspect = self._current(fingerprint)
        if suspect is None or suspect.refused_until is not None:
            return
        for death in suspect.deaths:
            self._cleared[fingerprint, death] = None
        while len(self._cleared) > MAX_SUSPECTS:
            self._cleared.popitem(last=False)
        del self._suspects[fingerprint]
        self._events.emit(EventKind.REQUEST_CLEARED, fingerprint.hex())

    def reports(self) -> list[CrashSuspects]:
        """Return the deaths behind the quarantines, for a VM that may not know them.

        The age of each is that of its request's last death, so that the quarantine ends
        there when it ends here.
        """
        now = self._timers.now()
        reports = []
        for fingerprint, suspect in self._suspects.items():
            if suspect.refused_until is None or suspect.refused_until <= now:
                continue
            age_s = now - suspect.last_at
            accused = (fingerprint,)
            for death, weight in suspect.deaths.items():
                report = CrashSuspects(*death, accused, age_s=age_s)
                if weight < 1.0:
                    report = report._replace(fingerprints=(), survived=accused)
                reports.append(report)
        return reports[-MAX_REPORTS:]

    def record_death(
        self,
        target: str,
        boot_id: str,
        fingerprints: Iterable[bytes],
        age_s: float = 0.0,
        survived: Iterable[bytes] = (),
    ) -> None:
        """Merge a report of the requests that were on a target as it died.

        The target had answered those in ``survived`` for a while before. Several VMs
        report one death; it counts once for each fingerprint.
        """
        died_at = self._timers.now() - age_s
        death = self._death(target, boot_id)
        weights = dict.fromkeys(survived, ANSWERED_WEIGHT)
        weights |= dict.fromkeys(fingerprints, 1.0)
        for fingerprint, weight in list(weights.items())[:MAX_FINGERPRINTS]:
            if (fingerprint, death) in self._cleared:
                # The report is outdated: the request has completed since.
                continue
            self._accuse(fingerprint, death, died_at, weight)

    async def _on_crash_suspects(self, sender, message: CrashSuspects):
        self.record_death(message.target, message.boot_id, message.fingerprints)
        return Done()

    def _accuse(
        self, fingerprint: bytes, death: _Death, died_at: float, weight: float
    ) -> None:
        suspect = self._current(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect()
            self._evict_oldest()
        if death in suspect.deaths or suspect.refused_until is not None:
            return
        suspect.deaths[death] = weight
        suspect.last_at = max(suspect.last_at, died_at)
        self._suspects.move_to_end(fingerprint)
        name = fingerprint.hex()
        weight = sum(suspect.deaths.values())
        if weight < self._settings["CRASHES_TO_QUARANTINE"]:
            self._events.emit(EventKind.REQUEST_SUSPECTED, name, target=death.target)
            return
        suspect.refused_until = suspect.last_at + self._settings["QUARANTINE_S"]
        self._events.emit(EventKind.REQUEST_QUARANTINED, name, target=death.target)

    def _death(self, target: str, boot_id: str) -> _Death:
        """Return the identity of a death; without a boot id it is based on time."""
        if boot_id:
            return _Death(target, boot_id)
        now = self._timers.now()
        at, number = self._unnamed.get(target, (now, 0))
        if now - at > SAME_DEATH_WINDOW_S:
            number += 1
            at = now
        self._unnamed[target] = (at, number)
        self._unnamed.move_to_end(target)
        if len(self._unnamed) > MAX_SUSPECTS:
            self._unnamed.popitem(last=False)
        return _Death(target, f"?{number}")

    def _current(self, fingerprint: bytes) -> _Suspect | None:
        """Return a suspect unless its suspicion or quarantine has expired."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        ends_at = suspect.refused_until
        if ends_at is None:
            ends_at = suspect.last_at + self._settings["QUARANTINE_S"]
        if suspect.deaths and self._timers.now() >= ends_at:
            del self._suspects[fingerprint]
            return None
        return suspect

    def _evict_oldest(self) -> None:
        """Bound the memory by evicting the suspects longest without a death."""
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
