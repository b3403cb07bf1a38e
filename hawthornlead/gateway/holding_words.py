"""How owners tell all VMs what their engines hold: directly, or through relays.

In a small fleet an owner tells all others at each change. An engine with few slots
changes several times a second, and each change was a message to every VM: with 88 VMs
and 70 engines each VM took some 130 of them a second, the most of what it spent. So in
a large fleet a relay in each data centre gathers them, as it does with words on
requests. A VM that hasn't heard of a change yet is put right by the owner, whom it asks
before each load and each turn.
"""

from collections.abc import Callable

from ..mesh.peers import PeerMesh
from ..messages.gateways import GatheredHoldings, TargetHoldings, VmHoldings
from ..tasks import TaskSet
from ..timers import TimerService
from .memberships import Memberships
from .word_relays import WordRelays

# How long changes wait at their VM and at each of two relays. Runs last 0.3 s and more,
# so that most changes are known in time to choose by.
GATHER_S = 0.1
# What a relay had gathered when it died is told by nobody; so all is told again.
RETELL_S = 2.0


class HoldingWords:
    """Tells of the engines that this VM owns, and takes the other owners' words.

    ``own`` returns what is to be told again, ``on_told`` takes owner and word::

        words = HoldingWords(data_centre="gijon", memberships=memberships, mesh=mesh,
                             timers=timers, own=room.holdings, on_told=targets.take)
        words.tell(owner.holdings)
    """

    def __init__(
        self,
        *,
        data_centre: str,
        memberships: Memberships,
        mesh: PeerMesh,
        timers: TimerService,
        own: Callable[[], tuple[TargetHoldings, ...]],
        on_told: Callable[[str, TargetHoldings], None],
    ):
        self._relays = WordRelays(data_centre, memberships, mesh)
        self._memberships = memberships
        self._mesh = mesh
        self._timers = timers
        self._own = own
        self._on_told = on_told
        # What is to be passed on: of this data centre's owners, and of the others'.
        self._near_words: dict[str, VmHoldings] = {}
        self._far_words: dict[str, VmHoldings] = {}
        self._told_again_at = 0.0
        self._tasks = TaskSet()
        mesh.on(TargetHoldings, self._take_direct)
        mesh.on(GatheredHoldings, self._take_gathered)

    def start(self) -> None:
        """Begin to pass words on."""
        self._tasks.spawn(self._pass_on())

    def stop(self) -> None:
        """Pass nothing on any more."""
        self._tasks.cancel()

    def tell(self, holdings: TargetHoldings) -> None:
        """Tell all other VMs what an engine holds."""
        if not self._memberships.large:
            self._mesh.broadcast(holdings)
            return
        self._near_words[holdings.target] = VmHoldings(self._mesh.vm, holdings)

    async def _pass_on(self) -> None:
        while True:
            await self._timers.sleep(GATHER_S)
            if not self._memberships.large:
                continue
            now = self._timers.now()
            if now - self._told_again_at >= RETELL_S:
                self._told_again_at = now
                for holdings in self._own():
                    self.tell(holdings)
            if self._near_words or self._far_words:
                self._pass_words()

    def _pass_words(self) -> None:
        near, self._near_words = self._near_words, {}
        far, self._far_words = self._far_words, {}
        relay = self._relays.own
        if relay != self._mesh.vm:
            self._mesh.cast(relay, GatheredHoldings(tuple(near.values())))
            return
        gathered = GatheredHoldings(tuple(near.values()))
        if near:
            for other in self._relays.others:
                self._mesh.cast(other, gathered)
        both = GatheredHoldings((*far.values(), *near.values()))
        self._mesh.cast_to(self._relays.near, both)

    async def _take_direct(self, sender, message: TargetHoldings) -> None:
        self._on_told(sender.vm, message)

    async def _take_gathered(self, sender, message: GatheredHoldings) -> None:
        from_near = self._relays.is_near(sender)
        passes_on = self._relays.own == self._mesh.vm
        for word in message.words:
            if word.vm == self._mesh.vm:
                continue
            self._on_told(word.vm, word.holdings)
            if not passes_on:
                continue
            words = self._near_words if from_near else self._far_words
            words[word.holdings.target] = word
