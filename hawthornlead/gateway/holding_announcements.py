"""How owners tell all VMs what their engines hold: directly, or through heads.

In a small fleet an owner tells all others at each change. An engine with few slots
changes several times a second, and each change would be a message to every VM. So in a
large fleet heads gather them, as they do with words on requests. A VM that hasn't heard
of a change yet is put right by the owner, whom it asks before each load and each turn.
"""

from collections.abc import Callable

from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import GatheredHoldings, TargetHoldings, VmHoldings
from ..tasks import TaskSet
from ..timers import TimerService

# How long changes wait at their VM and at each of two heads. Runs last 0.3 s and more,
# so that most changes are known in time to choose by.
GATHER_S = 0.15
# What a head had gathered when it died is told by nobody; so all is told again.
RETELL_S = 4.0


class HoldingAnnouncements:
    """Tells of the engines that this VM owns, and takes the other owners' words.

    ``own`` returns what is to be told again, ``on_told`` takes owner and word::

        words = HoldingAnnouncements(mesh=mesh, timers=timers, own=room.holdings,
                             on_told=targets.take)
        words.announce(owner.holdings)
    """

    def __init__(
        self,
        *,
        mesh: FleetMesh,
        timers: TimerService,
        own: Callable[[], tuple[TargetHoldings, ...]],
        on_told: Callable[[str, TargetHoldings], None],
    ):
        self._mesh = mesh
        self._timers = timers
        self._own = own
        self._on_told = on_told
        # What is to be passed on: to heads and to the VMs that are fed here, and what
        # goes to these VMs only.
        self._near_words: dict[str, VmHoldings] = {}
        self._far_words: dict[str, VmHoldings] = {}
        # The newest word on each target, for VMs that begin to be fed here.
        self._newest: dict[str, VmHoldings] = {}
        self._tasks = TaskSet()
        mesh.on(TargetHoldings, self._take_direct)
        mesh.on(GatheredHoldings, self._take_gathered)

    def start(self) -> None:
        """Begin to tell all again from time to time."""
        self._tasks.spawn(self._tell_again())

    def stop(self) -> None:
        """Pass nothing on any more."""
        self._tasks.cancel()

    def announce(self, holdings: TargetHoldings) -> None:
        """Tell all other VMs what an engine holds."""
        if not self._mesh.large:
            self._mesh.broadcast(holdings)
            return
        word = VmHoldings(self._mesh.vm, holdings)
        self._near_words[holdings.target] = self._newest[holdings.target] = word
        self._pass_soon()

    def announce_all(self, vm: str) -> None:
        """Tell one VM all that this one knows of engines."""
        for holdings in self._own():
            self._newest[holdings.target] = VmHoldings(self._mesh.vm, holdings)
        self._mesh.cast(vm, GatheredHoldings(tuple(self._newest.values())))

    def discard(self, target: str) -> None:
        """Drop the word on a target that is gone."""
        self._newest.pop(target, None)

    async def _tell_again(self) -> None:
        while True:
            await self._timers.sleep(RETELL_S)
            if self._mesh.large:
                for holdings in self._own():
                    self.announce(holdings)

    def _pass_soon(self) -> None:
        self._tasks.spawn_once("pass", self._pass_on)

    async def _pass_on(self) -> None:
        await self._timers.sleep(GATHER_S)
        while not self._mesh.is_head and not self._mesh.upstream_head:
            await self._timers.sleep(GATHER_S)
        self._pass_words()

    def _pass_words(self) -> None:
        near, self._near_words = self._near_words, {}
        far, self._far_words = self._far_words, {}
        gathered = GatheredHoldings(tuple(near.values()))
        if not self._mesh.is_head:
            if near:
                self._mesh.cast_to((self._mesh.upstream_head,), gathered)
            return
        if near:
            self._mesh.cast_to(self._mesh.other_heads, gathered)
        both = GatheredHoldings((*far.values(), *near.values()))
        self._mesh.cast_to(self._mesh.subscribers.subscribed, both)

    async def _take_direct(self, sender, message: TargetHoldings) -> None:
        self._on_told(sender.vm, message)

    async def _take_gathered(self, sender, message: GatheredHoldings) -> None:
        from_below = sender.vm in self._mesh.subscribers.all
        passes_on = self._mesh.is_head
        for word in message.words:
            if word.vm == self._mesh.vm:
                continue
            self._on_told(word.vm, word.holdings)
            if not passes_on:
                continue
            words = self._near_words if from_below else self._far_words
            target = word.holdings.target
            words[target] = self._newest[target] = word
        if passes_on:
            self._pass_soon()
