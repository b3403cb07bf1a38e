"""How VMs tell one another of their requests: each all others, or through relays.

In a small fleet each VM tells all others. A message costs its receiver some 60
microseconds whatever it holds, and each VM takes as many as there are others. So in a
large fleet a relay in each data centre gathers the words of its VMs and exchanges them
with the other relays; each relay passes all on to its own VMs in one message. With 87
VMs in five data centres a VM took 158 such messages a second and now takes 3, at the
price that a word may be a second old.
"""

from collections.abc import Callable

from ..mesh.peers import PeerMesh
from ..messages.gateways import GatheredLoads, VmLoads, VmWord
from ..tasks import TaskSet
from ..timers import TimerService
from .memberships import Memberships
from .target_loads import TargetLoads
from .word_relays import WordRelays

TELL_S = 0.2
# The more VMs, the seldomer each tells.
TELL_EACH_S = 0.004
# Between two words to a relay, and between two messages that a relay sends. What they
# hold is read by all VMs: with 300 requests under way that is 1.5 ms a message.
GATHER_S = 0.4
# A word waits at its VM, at the relay there and at the relay here.
GATHERED_STEPS = 3


class LoadWords:
    """Tells the other VMs of this VM's requests, and takes their words.

    ``on_word`` is called with each word, also with this VM's own.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        memberships: Memberships,
        loads: TargetLoads,
        mesh: PeerMesh,
        timers: TimerService,
        on_word: Callable[[VmLoads], None],
    ):
        self._relays = WordRelays(data_centre, memberships, mesh)
        self._memberships = memberships
        self._loads = loads
        self._mesh = mesh
        self._timers = timers
        self._on_word = on_word
        # What this VM has to pass on as a relay: words of its own data centre, and
        # words that the other relays told.
        self._own_words: dict[str, VmLoads] = {}
        self._other_words: dict[str, VmLoads] = {}
        self._tasks = TaskSet()
        mesh.on(VmLoads, self._take_word)
        mesh.on(GatheredLoads, self._take_gathered)

    @property
    def told_within_s(self) -> float:
        """How old what is known of a VM's requests may be, in seconds."""
        if self._memberships.large:
            return GATHERED_STEPS * GATHER_S
        return TELL_S + TELL_EACH_S * len(self._memberships.live())

    def start(self) -> None:
        """Begin to tell."""
        self._tasks.spawn(self._tell_on())

    def stop(self) -> None:
        """Tell no more."""
        self._tasks.cancel()

    async def _tell_on(self) -> None:
        while True:
            large = self._memberships.large
            await self._timers.sleep(GATHER_S if large else self.told_within_s)
            self.tell()

    def tell(self) -> None:
        """Tell of this VM's requests once, and pass on what was gathered."""
        word = self._loads.word()
        self._on_word(word)
        if not self._memberships.large:
            self._mesh.broadcast(word)
            return
        relay = self._relays.own
        if relay != self._mesh.vm:
            self._mesh.cast(relay, word)
            return
        self._own_words[self._mesh.vm] = word
        self._pass_on(self._relays.others)

    def _pass_on(self, other_relays: list[str]) -> None:
        own, self._own_words = self._own_words, {}
        others, self._other_words = self._other_words, {}
        gathered = _gathered(own)
        for vm in other_relays:
            self._mesh.cast(vm, gathered)
        self._mesh.cast_to(self._relays.near, _gathered({**others, **own}))

    async def _take_word(self, sender, message: VmLoads) -> None:
        self._take(sender.vm, message)
        if self._memberships.large and self._relays.is_near(sender):
            self._own_words[sender.vm] = message

    async def _take_gathered(self, sender, message: GatheredLoads) -> None:
        for word in message.words:
            if word.vm == self._mesh.vm:
                continue
            self._memberships.note_relayed(word.vm)
            loads = VmLoads(word.loads)
            if not self._relays.is_near(sender):
                self._other_words[word.vm] = loads
            self._take(word.vm, loads)

    def _take(self, vm: str, word: VmLoads) -> None:
        self._loads.take(vm, word)
        self._on_word(word)


def _gathered(words: dict[str, VmLoads]) -> GatheredLoads:
    return GatheredLoads(tuple(VmWord(vm, word.loads) for vm, word in words.items()))
