"""Tracks which VMs are live, draining or proved gone; chooses callers' addresses.

This is this VM's own view of the others. It decides nothing that VMs must agree on;
that goes through the store. Only ``proof_gone`` is more than a view: a successor acts
on it, so silence never counts as proof.
"""

import asyncio
import random
from typing import NamedTuple

from ..events import EventKind
from ..mesh.meshes import PeerInfo
from ..messages import Goodbye, Hello
from .lease_objects import process_of

# This many fresh connections in a row must be refused to prove that a process is gone.
MIN_REFUSALS = 2
# Absence from a VM list proves nothing if the list is older than so many intervals.
MAX_LIST_AGE_INTERVALS = 3
# Callers may keep an answer for a random time between this share of ENTRY_KEEP_S and
# all of it.
MIN_KEEP_SHARE = 0.75
# Only this many incarnations are remembered; the oldest are dropped first.
MAX_MET = 4096
# At most this many connections are probed at once when many VMs are lost.
MAX_CONCURRENT_PROBES = 64


class EntryAnswer(NamedTuple):
    """Entry addresses, best first, and for how many seconds a caller keeps them."""

    addresses: tuple[str, ...]
    keep_s: float


class _Entry(NamedTuple):
    address: str
    data_centre: str
    spare: int


class _MetIncarnation:
    """An incarnation that this VM has been connected to, and signs that it is gone."""

    def __init__(self, address: str):
        self.address = address
        self.refusals = 0
        self.listed = False
        self.absent_since: float | None = None


class Members:
    """The other VMs as this VM sees them through its mesh and the VM list.

    ::

        proof = members.proof_gone(vm, incarnation)
        if proof is not None:
            await leases.end(vm, incarnation, proof)
    """

    def __init__(
        self,
        *,
        settings,
        timers,
        events,
        mesh,
        vm_list,
        metrics=None,
        rng: random.Random | None = None,
    ):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._mesh = mesh
        self._vm_list = vm_list
        self._rng = rng or random.Random()
        self._draining = False
        self._subscription = None
        self._met: dict[tuple[str, str], _MetIncarnation] = {}
        mesh.on(Hello, self._on_hello)
        mesh.on(Goodbye, self._on_goodbye)

    @property
    def draining(self) -> bool:
        """Whether this VM is draining and no longer in entry answers."""
        return self._draining

    def start(self) -> None:
        """Start to check lost VMs for proof that they are gone."""
        interval = self._settings["HEARTBEAT_S"]
        self._subscription = self._timers.every(
            interval, self.check_lost_vms, name="members"
        )

    async def stop(self) -> None:
        """Stop checking lost VMs."""
        if self._subscription is not None:
            self._subscription.cancel()

    def start_draining(self) -> None:
        """Remove this VM from its own answers, and by a heartbeat from all others'."""
        self._draining = True
        self._mesh.heartbeat_changed()

    def live_vms(self) -> tuple[str, ...]:
        """Return the names of this VM and those it is connected to, sorted."""
        return tuple(sorted({self._mesh.vm, *(info.vm for info in self._mesh.live)}))

    def in_data_centre(self, data_centre: str) -> tuple[str, ...]:
        """Return the names of the live VMs of a data centre, sorted."""
        names = {info.vm for info in self._mesh.live if info.data_centre == data_centre}
        if self._settings["DATA_CENTRE"] == data_centre:
            names.add(self._mesh.vm)
        return tuple(sorted(names))

    def is_silent(self, vm: str, longer_than_s: float) -> bool:
        """Whether nothing was received from a VM for longer than so many seconds."""
        if vm == self._mesh.vm:
            return False
        now = self._timers.now()
        for info in self._mesh.live:
            if info.vm == vm:
                return now - info.last_seen_at > longer_than_s
        return True

    def proof_gone(self, vm: str, incarnation: str) -> str | None:
        """Return what proves that an incarnation has stopped, None without proof.

        ``goodbye``: it announced its stop. ``refused``: fresh connections to the port
        on which it listened are refused, so its process is gone. ``absent``: a fresh VM
        list no longer contains the VM, though it did after this VM had connected to the
        incarnation. A frozen VM refuses no connection and stays listed, so neither a
        freeze nor a network partition is proof. Only ``goodbye`` counts for a VM that
        this VM was never connected to.

        The proof is for the process, whichever of its incarnations is named: a process
        that continues under a new lease has not stopped.
        """
        incarnation = process_of(incarnation)
        if self._mesh.gone(vm, incarnation):
            return "goodbye"
        met = self._met.get((vm, incarnation))
        if met is None or self._is_connected(vm, incarnation):
            return None
        if met.refusals >= MIN_REFUSALS:
            return "refused"
        if self._list_is_fresh() and self._is_long_absent(met):
            return "absent"
        return None

    def entry_answer(self, data_centre: str = "") -> EntryAnswer:
        """Return the addresses that a caller in a data centre should use, best first.

        Up to ``ENTRY_ANSWERS`` of its own data centre come first, then as many of the
        others. The order is random, weighted by spare capacity, and the time to keep
        the answer is random too. So callers that all request an answer after a failure
        neither connect to the same VM nor return at the same time.
        """
        ranked = sorted(self._entries(), key=self._random_rank, reverse=True)
        count = self._settings["ENTRY_ANSWERS"]
        local = [entry for entry in ranked if entry.data_centre == data_centre]
        remote = [entry for entry in ranked if entry.data_centre != data_centre]
        chosen = local[:count] + remote[:count]
        keep_s = self._settings["ENTRY_KEEP_S"] * self._rng.uniform(MIN_KEEP_SHARE, 1.0)
        return EntryAnswer(tuple(entry.address for entry in chosen), keep_s)

    async def check_lost_vms(self) -> None:
        """Check once for proof that lost VMs are gone."""
        listed = {entry.name for entry in self._vm_list.entries}
        connected = {(info.vm, info.incarnation) for info in self._mesh.live}
        fresh = self._list_is_fresh()
        lost = []
        for (vm, incarnation), met in self._met.items():
            if fresh:
                self._record_listed(met, vm in listed)
            if (vm, incarnation) in connected:
                met.refusals = 0
                continue
            if met.refusals < MIN_REFUSALS and not self._mesh.gone(vm, incarnation):
                lost.append(met)
        self._rng.shuffle(lost)
        await asyncio.gather(
            *(self._probe(met) for met in lost[:MAX_CONCURRENT_PROBES])
        )

    async def _probe(self, met: _MetIncarnation) -> None:
        probed = await self._mesh.probe(met.address)
        met.refusals = met.refusals + 1 if probed == "refused" else 0

    async def _on_hello(self, sender: PeerInfo, hello: Hello) -> None:
        key = (sender.vm, sender.incarnation)
        if key not in self._met:
            self._met[key] = _MetIncarnation(sender.address)
        while len(self._met) > MAX_MET:
            del self._met[next(iter(self._met))]

    async def _on_goodbye(self, sender: PeerInfo, goodbye: Goodbye) -> None:
        self._events.emit(
            EventKind.PEER_GOODBYE, sender.vm, incarnation=sender.incarnation
        )

    def _record_listed(self, met: _MetIncarnation, listed: bool) -> None:
        if listed:
            met.listed = True
            met.absent_since = None
        elif met.absent_since is None:
            met.absent_since = self._timers.now()

    def _is_long_absent(self, met: _MetIncarnation) -> bool:
        # The list lags. Just after a VM was replaced under its name, the list may lack
        # the old one and not yet have the new one. Such a gap is short, so only a long
        # absence counts.
        # OWN-4: a VM that has just started is not listed yet either. If it is cut off
        # before, it would look gone while it is live, so absence counts only after the
        # VM was listed.
        if not met.listed or met.absent_since is None:
            return False
        absent_s = self._timers.now() - met.absent_since
        return absent_s > 2 * self._settings["PEER_SILENT_S"]

    def _list_is_fresh(self) -> bool:
        max_age_s = MAX_LIST_AGE_INTERVALS * self._settings["VM_LIST_INTERVAL_S"]
        return self._vm_list.age_s <= max_age_s

    def _is_connected(self, vm: str, incarnation: str) -> bool:
        return any(
            info.vm == vm and info.incarnation == incarnation
            for info in self._mesh.live
        )

    def _entries(self) -> list[_Entry]:
        settings = self._settings
        listed = {entry.name: entry for entry in self._vm_list.entry_vms()}
        entries = []
        if not self._draining and not self._leaving(listed.get(self._mesh.vm)):
            heartbeat = self._mesh.heartbeat_source()
            entries.append(
                _Entry(
                    settings["CALLER_ADDRESS"],
                    settings["DATA_CENTRE"],
                    heartbeat.capacity - heartbeat.open_requests,
                )
            )
        for info in self._mesh.live:
            entry, heartbeat = listed.get(info.vm), info.heartbeat
            if entry is None or heartbeat is None:
                continue
            if heartbeat.draining or self._leaving(entry):
                continue
            spare = heartbeat.capacity - heartbeat.open_requests
            entries.append(_Entry(entry.address, info.data_centre, spare))
        return entries

    def _leaving(self, entry) -> bool:
        return entry is not None and entry.state == "leaving"

    def _random_rank(self, entry: _Entry) -> float:
        # Sorting by random() ** (1 / w) is a weighted draw without replacement.
        return self._rng.random() ** (1.0 / max(1, entry.spare))
