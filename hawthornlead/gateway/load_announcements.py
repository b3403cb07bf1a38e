"""How VMs tell one another of themselves and of their requests.

In a small fleet each VM tells all others. A message costs its receiver about as much
whatever it holds, and each VM takes as many as there are others. So in a large fleet
each VM tells its heads; a head gathers the words of the VMs that it feeds, exchanges
them with the other heads, and tells those VMs which members came or went and how many
requests each target has. Which adapters the requests use is told to those alone that
order the target.
"""

from collections.abc import Callable

from ..decisions.quotas import QuotaLedger
from ..fleet.fleet_meshes import FleetMesh
from ..fleet.head_subscribers import NO_SERIAL, HeadSubscriber
from ..messages.fleets import (
    FleetUpdate,
    GroupUpdate,
    MemberLoads,
    MemberState,
    MemberUpdate,
    TargetRunning,
)
from ..messages.gateways import ForwardedLoads, GatheredLoads, TargetLoad, VmLoads
from ..tasks import TaskSet
from ..timers import TimerService
from .memberships import Memberships
from .target_loads import TargetLoads

TELL_S = 0.2
# The more VMs, the seldomer each tells.
TELL_EACH_S = 0.004
# Between two words to a head, and between two messages that a head sends.
GATHER_S = 0.4
# A word waits at its VM, at the head there and at the head here.
GATHERED_STEPS = 3
# Members that come or go are passed on sooner, but not one by one.
HURRY_S = 0.1
# A head says of a VM that told it nothing for so long that it is silent.
SILENT_S = 1.0


class LoadAnnouncements:
    """Tells the other VMs of this VM's requests, and takes their words.

    ``on_word`` is called with each word, also with this VM's own; ``owned`` returns the
    targets that this VM orders.
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        loads: TargetLoads,
        mesh: FleetMesh,
        timers: TimerService,
        on_word: Callable[[VmLoads], None],
        owned: Callable[[], tuple[str, ...]],
        quotas: QuotaLedger,
    ):
        self._quotas = quotas
        self._memberships = memberships
        self._loads = loads
        self._mesh = mesh
        self._timers = timers
        self._on_word = on_word
        self._owned = owned
        # What a head has to pass on: words of the VMs that it feeds, and all words.
        self._near_words: dict[str, MemberLoads] = {}
        self._words: dict[str, MemberLoads] = {}
        self._told_serial = 0
        # Whether a workspace was over its limit when that was passed on last.
        self._surge_told = False
        self._passed_at = 0.0
        self._tasks = TaskSet()
        mesh.on(VmLoads, self._take_word)
        mesh.on(GatheredLoads, self._take_gathered)
        mesh.on(MemberUpdate, self._take_member)
        mesh.on(GroupUpdate, self._take_group)
        mesh.on(FleetUpdate, self._take_fleet)

    @property
    def max_report_age_s(self) -> float:
        """How old what is known of a VM's requests may be, in seconds."""
        if self._mesh.large:
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
            large = self._mesh.large
            await self._timers.sleep(GATHER_S if large else self.max_report_age_s)
            self.announce()

    def announce(self) -> None:
        """Tell of this VM and its requests once, and pass on what was gathered."""
        word = self._loads.build_update()
        self._on_word(word)
        if not self._mesh.large:
            self._count_quotas()
            self._mesh.broadcast(word._replace(quotas=self._quotas.collect_uses()))
            return
        state = self._memberships.own_state()
        if not self._mesh.is_head:
            self._tell_heads(state, word)
            return
        self._mesh.table.apply(state)
        self._count_quotas()
        told = MemberLoads(state, word.loads, self._quotas.collect_uses())
        self._note_near(told)
        self._note_silent()
        self._pass_on()

    def _count_quotas(self) -> None:
        """Count the quotas by what all VMs tell, where this VM knows who they are."""
        if self._memberships.registered_order.count:
            self._quotas.mark_counting_locally()

    def _tell_heads(self, state: MemberState, word: VmLoads) -> None:
        """Tell the heads of this data centre, one of which feeds this VM."""
        feed, serial = self._mesh.upstream_head, self._mesh.upstream_serial
        owned = self._owned()
        for head in self._mesh.links.local_heads:
            if head == feed:
                uses = self._quotas.collect_uses()
                message = MemberUpdate(state, True, serial, owned, word.loads, uses)
            else:
                message = MemberUpdate(state, False, NO_SERIAL, (), ())
            self._mesh.cast_to((head,), message)

    # What a head does

    def _note_silent(self) -> None:
        """Say once of each VM fed here that it fell silent."""
        silent_after = self._timers.now() - SILENT_S
        table = self._mesh.table
        for vm, attachment in self._mesh.subscribers.all.items():
            # Another head may feed it by now.
            if not attachment.subscribed or table.last_reported_at(vm) >= silent_after:
                continue
            state = table.states[vm]._replace(silent=True)
            if table.apply(state):
                self._note_near(MemberLoads(state, ()))

    def _note_near(self, told: MemberLoads) -> None:
        """Keep the word of a VM that is fed here, until it is passed on.

        It replaces the one before, but for the use of quotas, which adds up.
        """
        vm = told.state.vm
        earlier = self._near_words.get(vm)
        if earlier is not None:
            told = told._replace(quotas=earlier.quotas + told.quotas)
        self._near_words[vm] = told
        if not told.state.silent:
            self._words[vm] = told

    def _pass_on(self) -> None:
        self._passed_at = self._timers.now()
        self._surge_told = self._quotas.surging()
        near, self._near_words = self._near_words, {}
        words, self._words = self._words, {}
        self._mesh.cast_to(self._mesh.other_heads, GroupUpdate(tuple(near.values())))
        attached = self._mesh.subscribers.all
        if not attached:
            return
        running = self._loads.totals()
        self._tell_changes(attached, running)
        for vm, attachment in attached.items():
            if attachment.subscribed and attachment.owned:
                self._tell_uses(vm, attachment, words)

    def _tell_changes(
        self, attached: dict[str, HeadSubscriber], running: tuple[TargetRunning, ...]
    ) -> None:
        """Tell those that are fed here of members that changed, and of all targets."""
        table = self._mesh.table
        since, serial = self._told_serial, table.serial
        self._told_serial = serial
        up_to_date, behind = [], []
        for vm, attachment in attached.items():
            if not attachment.subscribed:
                continue
            (up_to_date if attachment.serial == since else behind).append(vm)
            attachment.serial = serial
        states, share = self._quotas.states(), self._memberships.seen_share
        quotas = (states, share) if states else ()
        changes = FleetUpdate(
            since, serial, table.changes_since(since), running, *quotas
        )
        self._mesh.cast_to(up_to_date, changes)
        if behind:
            living = table.live()
            whole = FleetUpdate(NO_SERIAL, serial, living, running, *quotas)
            self._mesh.cast_to(behind, whole)

    def _tell_uses(
        self, vm: str, attachment: HeadSubscriber, words: dict[str, MemberLoads]
    ) -> None:
        """Tell a VM which requests use adapters of the targets that it orders."""
        told = []
        using = set()
        for other, word in words.items():
            loads = _on_targets(word.loads, attachment.owned)
            if loads:
                using.add(other)
            if loads or other in attachment.forwarded_vms:
                told.append(ForwardedLoads(other, loads))
        attachment.forwarded_vms = (attachment.forwarded_vms - set(words)) | using
        if told:
            self._mesh.cast_to((vm,), GatheredLoads(tuple(told)))

    async def _take_member(self, sender, message: MemberUpdate) -> None:
        """Take the word of a VM that has chosen this one for a head."""
        vm = sender.vm
        attachments = self._mesh.subscribers
        begins = attachments.apply_update(
            vm, message.subscribed, message.owned, message.serial
        )
        changed = self._mesh.table.apply(message.state)
        if not message.subscribed:
            return
        self._note_near(MemberLoads(message.state, message.loads, message.quotas))
        self._quotas.apply_uses(message.quotas)
        self._take(vm, VmLoads(message.loads))
        if begins:
            self._mesh.on_subscribed(vm)
        if changed or begins or self._surges():
            self._hurry()

    def _surges(self) -> bool:
        """Whether the others don't know yet that a workspace is over its limit."""
        return not self._surge_told and self._quotas.surging()

    async def _take_group(self, sender, message: GroupUpdate) -> None:
        """Take another head's words on the VMs that it feeds."""
        self._mesh.subscribers.mark_head(sender.vm)
        if not self._mesh.is_head:
            # It hears of members from one head alone, which numbers what it tells.
            return
        changed = False
        for member in message.members:
            vm = member.state.vm
            if vm == self._mesh.vm:
                continue
            changed |= self._mesh.table.apply(member.state)
            self._quotas.apply_uses(member.quotas)
            if not member.state.silent:
                self._words[vm] = member
                self._take(vm, VmLoads(member.loads))
        if changed or self._surges():
            self._hurry()

    def _hurry(self) -> None:
        """Pass changes of members on before the next word is due."""
        if self._mesh.is_head:
            self._tasks.spawn_once("hurry", self._pass_on_soon)

    async def _pass_on_soon(self) -> None:
        await self._timers.sleep(HURRY_S)
        if self._timers.now() - self._passed_at >= HURRY_S:
            self._pass_on()

    # What the others take

    async def _take_fleet(self, sender, message: FleetUpdate) -> None:
        """Take a head's word on members and targets."""
        if sender.vm != self._mesh.upstream_head:
            return
        self._loads.apply_totals(message.running)
        self._quotas.apply_states(message.quotas, message.quota_share)
        table = self._mesh.table
        if message.since == NO_SERIAL:
            table.replace_all(message.members)
        elif message.since == self._mesh.upstream_serial:
            for state in message.members:
                table.apply(state)
        else:
            # Changes in between were lost with a connection. All members are asked for.
            self._mesh.upstream_serial = NO_SERIAL
            return
        table.confirm_all()
        self._mesh.upstream_serial = message.serial

    async def _take_word(self, sender, message: VmLoads) -> None:
        self._quotas.apply_uses(message.quotas)
        self._take(sender.vm, message)

    async def _take_gathered(self, sender, message: GatheredLoads) -> None:
        for word in message.words:
            if word.vm != self._mesh.vm:
                self._take(word.vm, VmLoads(word.loads))

    def _take(self, vm: str, word: VmLoads) -> None:
        self._loads.apply_loads(vm, word)
        self._on_word(word)


def _on_targets(
    loads: tuple[TargetLoad, ...], targets: frozenset[str]
) -> tuple[TargetLoad, ...]:
    return tuple([load for load in loads if load.target in targets])
