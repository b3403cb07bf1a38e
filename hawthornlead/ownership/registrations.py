"""What one VM has seen of the registrations of all VMs, and since when."""

from typing import NamedTuple

from ..stores.stores import StoredObject, WatchEvent
from .lease_objects import ENDED, KIND, LIVE, Registration, registrations


class SeenRegistration(NamedTuple):
    """A registration, the object that holds it, and since when it stands so."""

    registration: Registration
    shard: str
    since: float


class RegistrationTable:
    """The newest registrations known to this VM, fed by a watch."""

    def __init__(self, timers):
        self._timers = timers
        self._seen: dict[str, SeenRegistration] = {}
        self._versions: dict[str, int] = {}
        self._synced = False

    @property
    def synced(self) -> bool:
        """Whether all objects have been read at least once."""
        return self._synced

    def all(self) -> tuple[Registration, ...]:
        """All registrations, live and ended."""
        return tuple(seen.registration for seen in self._seen.values())

    def seen(self, incarnation: str) -> SeenRegistration | None:
        """What is known of one incarnation."""
        return self._seen.get(incarnation)

    def version(self, shard: str) -> int:
        """The version of the newest object taken in."""
        return self._versions.get(shard, 0)

    def live(self) -> list[SeenRegistration]:
        """All that are live by what is known."""
        return [s for s in self._seen.values() if s.registration.state == LIVE]

    def prunable(self, data_centre: str, moment: float) -> dict[str, list[str]]:
        """Return by object what was ended, with proof, before ``moment``.

        One ended without proof stays: rolls still count on its VM, which may be
        serving behind a cut.
        """
        found: dict[str, list[str]] = {}
        for incarnation, seen in self._seen.items():
            registration = seen.registration
            if registration.data_centre != data_centre or seen.since >= moment:
                continue
            if registration.stopped:
                found.setdefault(seen.shard, []).append(incarnation)
        return found

    def ended_without_proof(self) -> list[SeenRegistration]:
        """All that were ended without proof that their process stopped."""
        return [
            seen
            for seen in self._seen.values()
            if seen.registration.state == ENDED and not seen.registration.stopped
        ]

    def mark_synced(self) -> None:
        """Note that all objects have been read."""
        self._synced = True

    def apply_event(self, event: WatchEvent) -> None:
        """Take in a change told by the watch."""
        self.apply(event.object)

    def apply(self, stored: StoredObject) -> None:
        """Take in an object as it was read or written, unless a newer is known.

        The watch and the answers to own writes arrive in any order.
        """
        if stored.kind != KIND or stored.version <= self.version(stored.name):
            return
        self._versions[stored.name] = stored.version
        now = self._timers.now()
        present = {}
        for registration in registrations(stored.value):
            old = self._seen.get(registration.incarnation)
            same = old is not None and old.registration == registration
            since = old.since if same else now
            present[registration.incarnation] = SeenRegistration(
                registration, stored.name, since
            )
        for incarnation, seen in list(self._seen.items()):
            if seen.shard == stored.name and incarnation not in present:
                del self._seen[incarnation]
        self._seen.update(present)
