"""The account of each load: its wait for the order, the order, and the fetch.

::

    accounts.on_requested(key, now)
    accounts.on_order_sent(key, now)
    accounts.on_ordered(key, now)
    account = accounts.close(key, now)
    account.queued_s
"""

from typing import NamedTuple

from .engine_slots import AdapterKey


class LoadAccount(NamedTuple):
    """The parts of one load in seconds, each None if it isn't known.

    ``queued_s`` is how long the first request waited until the order was sent,
    ``order_s`` the time from there until the engine accepted it, repeated orders
    included, and ``fetch_s`` the time from there until requests can run.
    """

    queued_s: float | None
    order_s: float | None
    fetch_s: float | None

    def milliseconds(self) -> dict[str, int | None]:
        """Return the parts as fields of an event."""
        fields = {}
        for name, part in self._asdict().items():
            known = None if part is None else round(1000 * part)
            fields[name.removesuffix("_s") + "_ms"] = known
        return fields


class _Load:
    __slots__ = ("ordered_at", "requested_at", "sent_at")

    def __init__(self):
        self.requested_at: float | None = None
        self.sent_at: float | None = None
        self.ordered_at: float | None = None


class LoadAccounts:
    """The loads of one engine that are requested or under way."""

    def __init__(self):
        self._loads: dict[AdapterKey, _Load] = {}

    def on_requested(self, key: AdapterKey, now: float) -> None:
        """Record a request for an adapter that is neither ready nor arriving."""
        load = self._loads.get(key)
        if load is None or load.ordered_at is not None:
            # An ordered load that is requested again has failed.
            load = self._loads[key] = _Load()
            load.requested_at = now

    def on_order_sent(self, key: AdapterKey, now: float) -> None:
        """Record that a load is about to be ordered, perhaps not for the first time."""
        load = self._loads.setdefault(key, _Load())
        if load.sent_at is None:
            load.sent_at = now

    def on_ordered(self, key: AdapterKey, now: float) -> None:
        """Record that the engine is known to have accepted the order."""
        load = self._loads.setdefault(key, _Load())
        if load.ordered_at is None:
            load.ordered_at = now

    def on_abandoned(self, key: AdapterKey) -> None:
        """Discard a load that no request waits for any more, unless it is ordered."""
        load = self._loads.get(key)
        if load is not None and load.ordered_at is None:
            del self._loads[key]

    def close(self, key: AdapterKey, now: float) -> LoadAccount:
        """Return the account of a load that has ended, and discard it."""
        load = self._loads.pop(key, None) or _Load()
        return LoadAccount(
            _between(load.requested_at, load.sent_at),
            _between(load.sent_at, load.ordered_at),
            _between(load.ordered_at, now),
        )


def _between(begin: float | None, end: float | None) -> float | None:
    return None if begin is None or end is None else end - begin
