"""Removal of the records of VMs that are gone for good.

::

    sweeps = OriginSweeps(vm="gijon-1", client=client, timers=timers,
                          vms=memberships.live)
    sweeps.start()
"""

from collections.abc import Callable, Collection

from ..gateway.store_clients import StoreClient
from ..tasks import TaskSet
from ..timers import TimerService
from .origin_ledgers import LASTING_S, VALID_S
from .origin_records import ORIGINS_KIND

SWEEP_INTERVAL_S = 60.0
# A VM that lives has renewed its record within this time, or relies on it no more, and
# no stream that it began can still be resumed.
GONE_S = VALID_S + LASTING_S


class OriginSweeps:
    """Removes records that nobody renews, at the first VM by name of those that serve.

    ``vms`` returns the names of these.
    """

    def __init__(
        self,
        *,
        vm: str,
        client: StoreClient,
        timers: TimerService,
        vms: Callable[[], Collection[str]],
    ):
        self._vm = vm
        self._client = client
        self._timers = timers
        self._vms = vms
        # The revision of each record, and since when this VM has seen it unchanged.
        self._unchanged: dict[str, tuple[int, float]] = {}
        self._tasks = TaskSet()

    def start(self) -> None:
        """Start to sweep periodically."""
        self._timers.every(SWEEP_INTERVAL_S, self._begin_sweep, name="origin sweeps")

    def stop(self) -> None:
        """Cancel what is under way."""
        self._tasks.cancel()

    def _begin_sweep(self) -> None:
        if self._vm == min(self._vms(), default=self._vm):
            self._tasks.spawn_once("sweep", self.sweep)

    async def sweep(self) -> None:
        """Remove the records that have been unchanged for too long."""
        listed = await self._client.list_all(ORIGINS_KIND)
        if listed.is_err():
            return
        now, serving = self._timers.now(), set(self._vms())
        before, self._unchanged = self._unchanged, {}
        for stored in listed.ok_value.events:
            revision, since = before.get(stored.name, (stored.revision, now))
            if revision != stored.revision:
                since = now
            self._unchanged[stored.name] = (stored.revision, since)
            if stored.name in serving or now - since < GONE_S:
                continue
            await self._client.delete(ORIGINS_KIND, stored.name, stored.revision)
