"""The registrations of all VMs as this VM last saw them, and since when."""

from typing import NamedTuple

from ..stores.stores import StoredObject, WatchEvent
from .lease_objects import ENDED, KIND, LIVE, Registration, registrations


class SeenRegistration(NamedTuple):
    """A registration, the object that holds it, and since when it is unchanged."""

    registration: Registration
    shard: str
    since: float


class RegistrationTable:
    """The newest registrations known to this VM, kept current by a watch."""

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
        """Return all registrations, live and ended."""
        return tuple(seen.registration for seen in self._seen.values())

    def seen(self, incarnation: str) -> SeenRegistration | None:
        """Return the registration of an incarnation, None if none is known."""
        return self._seen.get(incarnation)

    def version(self, shard: str) -> int:
        """Return the version of an object that was applied last, 0 if none was."""
        return self._versions.get(shard, 0)

    def live(self) -> list[SeenRegistration]:
        """Return the registrations that are live as far as known."""
        return [s for s in self._seen.values() if s.registration.state == LIVE]

    def prunable(self, data_centre: str, moment: float) -> dict[str, list[str]]:
        """Return the incarnations that ended with proof before ``moment``, by object.

        One that ended without proof is kept: its VM may still serve callers behind a
        network partition, so rolls must still hear from it.
        """
        prunable: dict[str, list[str]] = {}
        for incarnation, seen in self._seen.items():
            registration = seen.registration
            if registration.data_centre != data_centre or seen.since >= moment:
                continue
            if registration.stopped:
                prunable.setdefault(seen.shard, []).append(incarnation)
        return prunable

    def ended_without_proof(self) -> list[SeenRegistration]:
        """Return those that ended without proof that their process has stopped."""
        return [
            seen
            for seen in self._seen.values()
            if seen.registration.state == ENDED and not seen.registration.stopped
        ]

    def mark_synced(self) -> None:
        """Mark that all objects have been read."""
        self._synced = True

    def apply_event(self, event: WatchEvent) -> None:
        """Apply a change that the watch reported."""
        self.apply(event.object)

    def apply(self, stored: StoredObject) -> None:
        """Apply an object that was read or written, unless a newer one is known.

        The watch's events and the answers to own writes arrive in any order.
        """
        if stored.kind != KIND or stored.version <= self.version(stored.name):
            return
        self._versions[stored.name] = stored.version
        now = self._timers.now()
        present = {}
        for registration in registrations(stored.value):
            known = self._seen.get(registration.incarnation)
            unchanged = known is not None and known.registration == registration
            since = known.since if unchanged else now
            present[registration.incarnation] = SeenRegistration(
                registration, stored.name, since
            )
        for incarnation, seen in list(self._seen.items()):
            if seen.shard == stored.name and incarnation not in present:
                del self._seen[incarnation]
        self._seen.update(present)
