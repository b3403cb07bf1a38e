"""Owners write their claims again in a new era of the store.

The store may have lost them. Until an owner has written its claim again, it goes on by
the former one at most as long as its lease lasted in the former era::

    Reassertions(eras=eras, timers=timers, outdated=ownerships.outdated,
                 reassert=ownerships.reassert)
"""

from collections.abc import Awaitable, Callable

from ..tasks import TaskSet
from ..timers import TimerService
from .store_eras import StoreEras

# Between two claims of one VM: the owners of a large fleet write at the same time, and
# have to stay below the store's rate together.
CLAIM_PAUSE_S = 0.02
# Between rounds while the store doesn't accept claims.
RETRY_S = 0.4


class Reassertions:
    """Writes claims of former eras again, one after the other, until none is left.

    ``outdated`` names the engines whose claims are of a former era and still hold.
    """

    def __init__(
        self,
        *,
        eras: StoreEras,
        timers: TimerService,
        outdated: Callable[[], tuple[str, ...]],
        reassert: Callable[[str], Awaitable[None]],
    ):
        self._timers = timers
        self._outdated = outdated
        self._reassert = reassert
        self._tasks = TaskSet()
        eras.subscribe(lambda: self._tasks.spawn_once("reassert", self._run))

    async def _run(self) -> None:
        while targets := self._outdated():
            for target in targets:
                await self._reassert(target)
                await self._timers.sleep(CLAIM_PAUSE_S)
            await self._timers.sleep(RETRY_S)
