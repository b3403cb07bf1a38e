"""Reads the platform's list of VMs, live and leaving; it lags behind the truth."""

import json
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger
from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest

from ..answers.whole_clients import WholeAnswerClient
from ..errors import ErrorKind, Failure
from ..resolvers import NumberResolver

NOT_MODIFIED = 304


class VmEntry(NamedTuple):
    """One VM of the list; ``role`` is "entry", "engine" or "service"."""

    name: str
    role: str
    address: str
    data_centre: str
    state: str
    attributes: dict


class VmList:
    """The newest VM list, read again every ``VM_LIST_INTERVAL_S``."""

    def __init__(
        self, *, settings, timers, events=None, metrics=None, invariants=None, rng=None
    ):
        self._timers = timers
        self._url = f"http://{settings['VM_LIST_ADDRESS']}/vms"
        self._interval = settings["VM_LIST_INTERVAL_S"]
        self._timeout_s = settings["STORE_TIMEOUT_S"]
        self._client = None
        self._entries: tuple[VmEntry, ...] = ()
        self._read_at = float("-inf")
        self._entity_tag = ""
        self._subscribers: list[Callable[[], None]] = []
        self._subscription = None

    @property
    def entries(self) -> tuple[VmEntry, ...]:
        """All VMs of the newest list, sorted by name."""
        return self._entries

    @property
    def age_s(self) -> float:
        """Seconds since the newest list was requested; infinite before the first."""
        return self._timers.now() - self._read_at

    def start(self) -> None:
        """Start to read the list."""
        self._client = WholeAnswerClient(force_instance=True, resolver=NumberResolver())
        self._timers.after(0, self.read, "VM list")
        self._subscription = self._timers.every(self._interval, self.read, "VM list")

    async def stop(self) -> None:
        """Stop reading the list."""
        if self._subscription is not None:
            self._subscription.cancel()
        if self._client is not None:
            self._client.close()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` whenever the list has changed."""
        self._subscribers.append(callback)

    def engines(self) -> tuple[VmEntry, ...]:
        """All model engines."""
        return self._with_role("engine")

    def services(self, name: str) -> tuple[VmEntry, ...]:
        """All VMs of the plain service ``name``."""
        return tuple(
            entry
            for entry in self._with_role("service")
            if entry.attributes.get("service") == name
        )

    def entry_vms(self) -> tuple[VmEntry, ...]:
        """All entry VMs."""
        return self._with_role("entry")

    def apply(self, entries: tuple[VmEntry, ...], sent_at: float) -> None:
        """Apply a list requested at ``sent_at``, unless a newer one is known."""
        if sent_at < self._read_at:
            return
        self._read_at = sent_at
        entries = tuple(sorted(entries, key=lambda entry: entry.name))
        if entries == self._entries:
            return
        self._entries = entries
        for callback in self._subscribers:
            callback()

    async def read(self) -> Result[None, Failure]:
        """Read the list once; the answer for an unchanged list is a few bytes.

        The list of a large fleet has a hundred kilobytes and changes a few times an
        hour, so if the platform sends entity tags only a newer list is requested.
        """
        sent_at = self._timers.now()
        request = HTTPRequest(
            self._url,
            headers={"If-None-Match": self._entity_tag} if self._entity_tag else None,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
            if response.code == NOT_MODIFIED and self._entity_tag:
                self.apply(self._entries, sent_at)
                return Ok(None)
            response.rethrow()
            entries = tuple(_entry(vm) for vm in json.loads(response.body)["vms"])
        except (HTTPClientError, OSError, ValueError, KeyError, TypeError) as error:
            logger.debug("reading the VM list failed: {!r}", error)
            return Err(
                Failure(ErrorKind.STORE_UNAVAILABLE, f"VM list not read: {error}", 1.0)
            )
        if sent_at >= self._read_at:
            self._entity_tag = response.headers.get("Etag", "")
        self.apply(entries, sent_at)
        return Ok(None)

    def _with_role(self, role: str) -> tuple[VmEntry, ...]:
        return tuple(entry for entry in self._entries if entry.role == role)


def _entry(vm: dict) -> VmEntry:
    return VmEntry(
        vm["name"],
        vm["role"],
        vm["address"],
        vm["data_centre"],
        vm["state"],
        dict(vm.get("attributes", {})),
    )
