"""The registration of this VM in the store.

It is written at the start, when the VM leaves, and again in each new era of the store,
which may have lost it unseen::

    registration = VmRegistration(client=client, timers=timers, rng=rng, events=events,
                                  record=lambda: record)
    registration.start()
"""

from collections.abc import Callable
from random import Random

from ..events import EventKind, EventRing
from ..platform.objects import vm_spec
from ..tasks import TaskSet
from ..timers import TimerService
from .records import VmRecord
from .store_clients import StoreClient
from .upserts import upsert

VMS_KIND = "hawthornlead-vms"
REGISTER_RETRY_S = 0.5
# All VMs write in a new era, spread over this time.
NEW_ERA_SPREAD_S = 1.0


class VmRegistration:
    """Writes what ``record`` returns until the store accepts it."""

    def __init__(
        self,
        *,
        client: StoreClient,
        timers: TimerService,
        rng: Random,
        events: EventRing,
        record: Callable[[], VmRecord],
    ):
        self._client = client
        self._timers = timers
        self._rng = rng
        self._events = events
        self._record = record
        self._registered = False
        self._tasks = TaskSet()
        self._subscribers: list[Callable[[bool], None]] = []

    def subscribe(self, on_registered: Callable[[bool], None]) -> None:
        """Call ``on_registered`` once this VM is registered.

        It is told whether an earlier process of this VM had registered.
        """
        self._subscribers.append(on_registered)

    def start(self) -> None:
        """Write the registration, and again in each new era."""
        self._client.eras.subscribe(self._on_new_era)
        self.write()

    def stop(self) -> None:
        """Cancel what is under way."""
        self._tasks.cancel()

    def write(self) -> None:
        """Write the record as it is now; a write of a former record ends."""
        self._tasks.spawn(self._write())

    def repair(self) -> None:
        """Write the record since the store holds something unreadable in its place."""
        self._tasks.spawn_once("repair", self._write)

    def _on_new_era(self) -> None:
        self._tasks.spawn_once("new era", self._write_again)

    async def _write_again(self) -> None:
        await self._timers.sleep(NEW_ERA_SPREAD_S * self._rng.random())
        await self._write()

    async def _write(self) -> None:
        record = self._record()
        spec = vm_spec(record)
        while record is self._record():
            written = await upsert(self._client, VMS_KIND, record.vm, spec)
            if written is not None:
                self._events.emit(EventKind.VM_REGISTERED, record.vm, **spec)
                self._on_written(written.created)
                return
            await self._timers.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))

    def _on_written(self, created: bool) -> None:
        if not self._registered:
            self._registered = True
            for on_registered in self._subscribers:
                on_registered(not created)
