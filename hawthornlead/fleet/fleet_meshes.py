"""How one VM speaks with all others, though it is connected with few of them.

What is said to all goes through heads: from a VM to the head that feeds it, from there
to the other heads and to the VMs that each of them feeds. What is said to one VM goes
on a connection of its own, opened when it is first needed. The parts of a VM see one
mesh, with the VMs that live in it::

    mesh.on(TargetReleased, take_released)
    mesh.broadcast(TargetReleased("i-7f3a", 812))
    reply = await mesh.call("gijon-7", ReservePrompt(...), 0.1)

A message to all that a head had when it died is lost, as one is that was in the queue
of a connection: whoever must know tells again, or counts what was told.
"""

from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Result

from ..errors import ErrorKind, Failure
from ..mesh.calls import unavailable
from ..mesh.codecs import decode
from ..mesh.meshes import Handler, PeerInfo
from ..mesh.sparse_peers import SparsePeerMesh
from ..messages import Heartbeat
from ..messages.fleets import ForwardedMessage, MemberState
from ..tasks import TaskSet
from ..timers import Subscription, TimerService
from .attachments import NOTHING_TOLD, Attachments
from .head_links import HeadLinks
from .member_tables import MemberTable
from .rosters import Roster

# Up to so many VMs each keeps a connection with all others, and a message to all takes
# one step.
MOST_SMALL = 24
LOOK_S = 0.2
# A connection that was opened for a question is kept for so long after the last one.
USED_KEPT_S = 20.0
CALL_S = 1.0
# How long a message that needs no reply waits for its connection.
CAST_WAIT_S = 1.0
# The legs of a message to all: from a VM to its head, between heads, from a head down.
UP, ACROSS, DOWN = range(3)


class FleetMesh:
    """The mesh of one VM with the fleet; ``transport`` carries it.

    ``on_fed`` is called with each VM that begins to hear of the fleet from this one.
    ``on_feed_changed`` is called with the head that feeds this one now, empty for none.
    """

    def __init__(
        self,
        *,
        transport: SparsePeerMesh,
        data_centre: str,
        roster: Roster,
        timers: TimerService,
        message_bytes: int,
    ):
        self._transport = transport
        self._roster = roster
        self._timers = timers
        self._message_bytes = message_bytes
        self._used_at: dict[str, float] = {}
        self._looking: Subscription | None = None
        self._tasks = TaskSet()
        self.table = MemberTable(timers)
        # The number of the last change of members that the feeding head told.
        self.fed_serial = NOTHING_TOLD
        self.attachments = Attachments(timers)
        self.links = HeadLinks(
            vm=transport.vm,
            data_centre=data_centre,
            roster=roster,
            timers=timers,
            heard_at=transport.heard_at,
            told_silent=self._told_silent,
            has_followers=lambda: bool(self.attachments.fed),
            told_living=self._told_living,
        )
        self.on_fed: Callable[[str], None] = lambda vm: None
        self.on_feed_changed: Callable[[str], None] = lambda head: None
        transport.on(ForwardedMessage, self._on_passed)
        transport.beat_only(self._beaten)

    @property
    def vm(self) -> str:
        """The name of this VM."""
        return self._transport.vm

    @property
    def incarnation(self) -> str:
        """The incarnation of this VM's process."""
        return self._transport.incarnation

    @property
    def address(self) -> str:
        """The address on which this VM hears other VMs."""
        return self._transport.address

    @property
    def myself(self) -> PeerInfo:
        """This VM, as the sender of what it says to itself."""
        return self._transport.myself

    @property
    def large(self) -> bool:
        """Whether there are so many VMs that they hear of each other through heads."""
        return self._roster.count > MOST_SMALL

    @property
    def is_head(self) -> bool:
        """Whether this VM passes on what others tell."""
        return self.links.is_head

    @property
    def feed(self) -> str:
        """The head from which this VM hears of the fleet, empty if there is none."""
        return self.links.feed

    @property
    def other_heads(self) -> list[str]:
        """The connected heads that a head tells of the VMs that it feeds."""
        heads = dict.fromkeys((*self.links.kept, *self.attachments.heads))
        return [vm for vm in heads if self._transport.connected(vm)]

    @property
    def live(self) -> tuple[PeerInfo, ...]:
        """The other VMs that live, as far as this one knows.

        They are those it is connected with, and those that heads have told of.
        """
        direct = {peer.vm: peer for peer in self._transport.live}
        if not self.large:
            return tuple(direct.values())
        for state in self.table.living():
            if state.vm == self.vm:
                continue
            known = direct.get(state.vm)
            if known is not None and known.incarnation != state.incarnation:
                # It has started again, which the heads will tell.
                continue
            told = self._told_info(state)
            if told is not None:
                heard_at = max(told.heard_at, known.heard_at if known else 0.0)
                direct[state.vm] = told._replace(heard_at=heard_at)
        return tuple(direct.values())

    def on(self, message_type: type, handler: Handler) -> None:
        """Let ``handler`` answer messages of a type; there is one for each type."""
        self._transport.on(message_type, handler)

    async def answer(self, sender: PeerInfo, message: Any) -> Any:
        """Return this VM's own reply to a message."""
        return await self._transport.answer(sender, message)

    async def listen(self) -> None:
        """Open the port for other VMs; raises ``OSError`` when it is taken."""
        await self._transport.listen()

    def start(self) -> None:
        """Begin to connect with other VMs."""
        self._transport.start()
        self._looking = self._timers.every(LOOK_S, self.look, name="links")

    async def stop(self) -> None:
        """Close all connections."""
        if self._looking is not None:
            self._looking.cancel()
        self._tasks.cancel()
        await self._transport.stop()

    def heartbeat_changed(self) -> None:
        """Tell the connected VMs at once what this VM's heartbeat says."""
        self._transport.heartbeat_changed()

    def set_heartbeat(self, source: Callable[[], Heartbeat]) -> None:
        """Let ``source`` tell what is sent to the connected VMs again and again."""
        self._transport.heartbeat_source = source

    def look(self) -> None:
        """Open and close connections by what is known now."""
        feed = self.feed
        self.links.look(self.large)
        if self.feed != feed:
            # Another head numbers its changes anew, and none has told those of between.
            self.fed_serial = NOTHING_TOLD
            self.on_feed_changed(self.feed)
        if self.is_head:
            self.table.expire()
        unused = self._timers.now() - USED_KEPT_S
        for vm, used_at in tuple(self._used_at.items()):
            if used_at < unused:
                del self._used_at[vm]
        kept = self.links.kept
        eager = {*self._used_at, *(self.links.near if not self.is_head else ())}
        addresses = {}
        for vm in (*kept, *self._used_at):
            record = self._roster.records.get(vm)
            if record is not None and vm != self.vm:
                addresses[vm] = record.peer_address
        self._transport.set_links(addresses, eager)

    async def call(
        self, vm: str, message: Any, timeout_s: float = CALL_S
    ) -> Result[Any, Failure]:
        """Send a message to one VM and wait for its reply, connecting if need be.

        Fails as ``PeerMesh.call`` does. A connection on which nothing came meanwhile
        is closed, so that the next call has a fresh one.
        """
        began_at = self._timers.now()
        if vm != self.vm and not await self._reach(vm, timeout_s):
            return unavailable(f"{vm} can't be connected")
        left_s = began_at + timeout_s - self._timers.now()
        reply = await self._transport.call(vm, message, max(0.0, left_s))
        if isinstance(reply, Err) and vm != self.vm:
            heard_at = self._transport.heard_at(vm)
            unheard = heard_at is not None and heard_at < began_at
            if unheard and reply.err_value.kind is ErrorKind.PEER_UNAVAILABLE:
                self._transport.drop(vm)
        return reply

    def cast(self, vm: str, message: Any) -> None:
        """Send a message that needs no reply to one VM, connecting if need be."""
        if vm == self.vm or self._transport.connected(vm):
            self._use(vm)
            self._transport.cast(vm, message)
            return
        self._tasks.spawn(self._cast_once_reached(vm, message))

    def cast_to(self, vms: Iterable[str], message: Any) -> None:
        """Send a message that needs no reply to some connected VMs."""
        self._transport.cast_to(tuple(vms), message)

    def broadcast(self, message: Any) -> None:
        """Send a message that needs no reply to all other VMs."""
        if not self.large:
            self._transport.broadcast(message)
            return
        frame = self._transport.frame(message)
        myself = self._transport.myself
        origin = (myself.vm, myself.incarnation, myself.data_centre, myself.address)
        if self.is_head:
            self.cast_to(self.other_heads, ForwardedMessage(*origin, ACROSS, frame))
            self.cast_to(self.attachments.fed, ForwardedMessage(*origin, DOWN, frame))
        elif self.feed:
            self.cast_to((self.feed,), ForwardedMessage(*origin, UP, frame))

    # Messages on their way

    async def _on_passed(self, sender: PeerInfo, passed: ForwardedMessage) -> None:
        """Pass a message on, and have it handled here as if its sender had sent it."""
        if passed.leg == UP:
            across = passed._replace(leg=ACROSS)
            self.cast_to([vm for vm in self.other_heads if vm != sender.vm], across)
        if passed.leg in (UP, ACROSS):
            below = [vm for vm in self.attachments.fed if vm != passed.vm]
            self.cast_to(below, passed._replace(leg=DOWN))
        frame = decode(passed.frame, self._message_bytes)
        if frame.is_err() or passed.vm == self.vm:
            return
        origin = PeerInfo(
            passed.vm,
            passed.incarnation,
            passed.data_centre,
            passed.address,
            None,
            self._timers.now(),
        )
        await self._transport.notice(origin, frame.ok_value.message)

    async def _cast_once_reached(self, vm: str, message: Any) -> None:
        if await self._reach(vm, CAST_WAIT_S):
            self._transport.cast(vm, message)

    async def _reach(self, vm: str, wait_s: float) -> bool:
        if vm not in self._roster.records:
            return self._transport.connected(vm)
        known = vm in self._used_at
        self._use(vm)
        if self._transport.connected(vm):
            return True
        if not known:
            self.look()
        return await self._transport.reach(vm, wait_s)

    def _use(self, vm: str) -> None:
        if vm != self.vm and vm not in self.links.kept:
            self._used_at[vm] = self._timers.now()

    # What is known of others

    def _beaten(self) -> set[str]:
        """Return the VMs whose connections with this one carry heartbeats."""
        return {*self.links.kept, *self.attachments.all, *self.attachments.heads}

    def _told_silent(self, vm: str) -> bool:
        """Whether a head says now that a VM is silent."""
        return bool(self.feed) and self.table.silent(vm)

    def _told_living(self, vm: str) -> bool:
        state = self.table.states.get(vm)
        return state is not None and not state.silent

    def _told_info(self, state: MemberState) -> PeerInfo | None:
        record = self._roster.records.get(state.vm)
        if record is None:
            return None
        beat = Heartbeat(0, 0, state.leaving, 0, 1 if state.serving else 0, 0.0)
        return PeerInfo(
            state.vm,
            state.incarnation,
            record.data_centre,
            record.peer_address,
            beat,
            self.table.told_at(state.vm),
        )
