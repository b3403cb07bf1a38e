"""The mesh of one VM with the whole fleet, over connections with few VMs.

A broadcast goes through heads: from a VM to its upstream head, from there to the other
heads and to the subscribers of each of them. A message to one VM uses a direct
connection, opened on demand. The parts of a VM see one mesh of all live VMs::

    mesh.on(TargetReleased, on_released)
    mesh.broadcast(TargetReleased("i-7f3a", 812))
    reply = await mesh.call("gijon-7", ReservePrompt(...), 0.1)

A broadcast that a head held when it died is lost, and so is one in the send queue of a
broken connection: senders repeat what must arrive, or receivers detect gaps by serials.
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
from ..resources.accounts import Account
from ..tasks import TaskSet
from ..timers import Subscription, TimerService
from .head_links import HeadLinks
from .head_subscribers import NO_SERIAL, HeadSubscribers
from .member_tables import MemberTable
from .registered_orders import RegisteredOrder

# Up to this many VMs, each is connected with all others, and a broadcast takes one hop.
MAX_MESHED_VMS = 24
REFRESH_INTERVAL_S = 0.2
# How long a connection opened on demand stays open after its last use.
ON_DEMAND_RETENTION_S = 20.0
CALL_TIMEOUT_S = 1.0
# How long a message without a reply waits for its connection.
CONNECT_TIMEOUT_S = 1.0
# The legs of a broadcast: from a VM to its head, between heads, from a head to its
# subscribers.
UP, ACROSS, DOWN = range(3)


class FleetMesh:
    """The mesh of one VM with the fleet, over the connections of ``transport``.

    ``on_subscribed`` is called with each VM that subscribes to this one.
    ``on_upstream_changed`` is called with the new upstream head, empty for none.
    """

    def __init__(
        self,
        *,
        transport: SparsePeerMesh,
        data_centre: str,
        registered_order: RegisteredOrder,
        timers: TimerService,
        message_bytes: int,
    ):
        self._transport = transport
        self._registered_order = registered_order
        self._timers = timers
        self._message_bytes = message_bytes
        self._used_at: dict[str, float] = {}
        self._refreshing: Subscription | None = None
        self._tasks = TaskSet()
        self.table = MemberTable(timers)
        # The number of the last change of members received from the upstream head.
        self.upstream_serial = NO_SERIAL
        self.subscribers = HeadSubscribers(timers)
        self.links = HeadLinks(
            vm=transport.vm,
            data_centre=data_centre,
            registered_order=registered_order,
            timers=timers,
            last_seen_at=transport.last_seen_at,
            reported_silent=self._reported_silent,
            has_subscribers=lambda: bool(self.subscribers.subscribed),
            reported_live=self._reported_live,
        )
        self.on_subscribed: Callable[[str], None] = lambda vm: None
        self.on_upstream_changed: Callable[[str], None] = lambda head: None
        transport.on(ForwardedMessage, self._on_forwarded)
        transport.limit_heartbeats_to(self._heartbeat_vms)

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
        """The address on which this VM accepts connections of other VMs."""
        return self._transport.address

    @property
    def myself(self) -> PeerInfo:
        """This VM, as the sender of messages to itself."""
        return self._transport.myself

    @property
    def large(self) -> bool:
        """Whether the fleet is so large that updates go through heads."""
        return self._registered_order.count > MAX_MESHED_VMS

    @property
    def is_head(self) -> bool:
        """Whether this VM forwards the updates of others."""
        return self.links.is_head

    @property
    def upstream_head(self) -> str:
        """The head that this VM receives fleet updates from, empty if there is none."""
        return self.links.upstream_head

    @property
    def other_heads(self) -> list[str]:
        """The connected heads that a head exchanges updates with."""
        heads = dict.fromkeys((*self.links.peers, *self.subscribers.heads))
        return [vm for vm in heads if self._transport.connected(vm)]

    @property
    def live(self) -> tuple[PeerInfo, ...]:
        """The other VMs that this one knows to be live.

        They are those it is connected with, and those that heads have reported.
        """
        direct = {peer.vm: peer for peer in self._transport.live}
        if not self.large:
            return tuple(direct.values())
        for state in self.table.live():
            if state.vm == self.vm:
                continue
            known = direct.get(state.vm)
            if known is not None and known.incarnation != state.incarnation:
                # It has restarted, which the heads have not reported yet.
                continue
            reported = self._reported_info(state)
            if reported is not None:
                seen_at = max(
                    reported.last_seen_at, known.last_seen_at if known else 0.0
                )
                direct[state.vm] = reported._replace(last_seen_at=seen_at)
        return tuple(direct.values())

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type; there is one for each type."""
        self._transport.on(message_type, handler)

    async def answer(self, sender: PeerInfo, message: Any) -> Any:
        """Return this VM's own reply to a message."""
        return await self._transport.answer(sender, message)

    async def listen(self, account: Account | None = None) -> None:
        """Open the port for other VMs; raises ``OSError`` when it is taken.

        Connections that are accepted are held in ``account``.
        """
        await self._transport.listen(account)

    def start(self) -> None:
        """Start connecting with other VMs."""
        self._transport.start()
        self._refreshing = self._timers.every(
            REFRESH_INTERVAL_S, self.refresh, name="links"
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._refreshing is not None:
            self._refreshing.cancel()
        self._tasks.cancel()
        await self._transport.stop()

    def heartbeat_changed(self) -> None:
        """Send a heartbeat to the connected VMs at once."""
        self._transport.heartbeat_changed()

    def set_heartbeat(self, source: Callable[[], Heartbeat]) -> None:
        """Set the function that returns the heartbeat to send."""
        self._transport.heartbeat_source = source

    def refresh(self) -> None:
        """Open and close connections according to the current state."""
        upstream_head = self.upstream_head
        self.links.refresh(self.large)
        if self.upstream_head != upstream_head:
            # Another head numbers its changes on its own, and changes during the switch
            # were not received.
            self.upstream_serial = NO_SERIAL
            self.on_upstream_changed(self.upstream_head)
        if self.is_head:
            self.table.expire()
        used_after = self._timers.now() - ON_DEMAND_RETENTION_S
        for vm, used_at in tuple(self._used_at.items()):
            if used_at < used_after:
                del self._used_at[vm]
        peers = self.links.peers
        eager = {*self._used_at, *(self.links.local_heads if not self.is_head else ())}
        addresses = {}
        for vm in (*peers, *self._used_at):
            record = self._registered_order.records.get(vm)
            if record is not None and vm != self.vm:
                addresses[vm] = record.peer_address
        self._transport.set_links(addresses, eager)

    async def call(
        self, vm: str, message: Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[Any, Failure]:
        """Send a message to one VM and wait for its reply, connecting on demand.

        Fails as ``PeerMesh.call`` does. A connection that received nothing during the
        call is closed, so that the next call uses a fresh one.
        """
        started_at = self._timers.now()
        if vm != self.vm and not await self._connect(vm, timeout_s):
            return unavailable(f"{vm} can't be connected")
        remaining_s = started_at + timeout_s - self._timers.now()
        reply = await self._transport.call(vm, message, max(0.0, remaining_s))
        if isinstance(reply, Err) and vm != self.vm:
            last_seen_at = self._transport.last_seen_at(vm)
            silent = last_seen_at is not None and last_seen_at < started_at
            if silent and reply.err_value.kind is ErrorKind.PEER_UNAVAILABLE:
                self._transport.drop(vm)
        return reply

    def cast(self, vm: str, message: Any) -> None:
        """Send a message without a reply to one VM, connecting on demand."""
        if vm == self.vm or self._transport.connected(vm):
            self._record_use(vm)
            self._transport.cast(vm, message)
            return
        self._tasks.spawn(self._cast_once_connected(vm, message))

    def cast_to(self, vms: Iterable[str], message: Any) -> None:
        """Send a message without a reply to some connected VMs."""
        self._transport.cast_to(tuple(vms), message)

    def broadcast(self, message: Any) -> None:
        """Send a message without a reply to all other VMs."""
        if not self.large:
            self._transport.broadcast(message)
            return
        frame = self._transport.frame(message)
        myself = self._transport.myself
        origin = (myself.vm, myself.incarnation, myself.data_centre, myself.address)
        if self.is_head:
            self.cast_to(self.other_heads, ForwardedMessage(*origin, ACROSS, frame))
            self.cast_to(
                self.subscribers.subscribed, ForwardedMessage(*origin, DOWN, frame)
            )
        elif self.upstream_head:
            self.cast_to((self.upstream_head,), ForwardedMessage(*origin, UP, frame))

    # Forwarding

    async def _on_forwarded(self, sender: PeerInfo, message: ForwardedMessage) -> None:
        """Forward a message, and handle it here as one from its original sender."""
        if message.leg == UP:
            across = message._replace(leg=ACROSS)
            self.cast_to([vm for vm in self.other_heads if vm != sender.vm], across)
        if message.leg in (UP, ACROSS):
            subscribers = [vm for vm in self.subscribers.subscribed if vm != message.vm]
            self.cast_to(subscribers, message._replace(leg=DOWN))
        frame = decode(message.frame, self._message_bytes)
        if frame.is_err() or message.vm == self.vm:
            return
        origin = PeerInfo(
            message.vm,
            message.incarnation,
            message.data_centre,
            message.address,
            None,
            self._timers.now(),
        )
        await self._transport.dispatch(origin, frame.ok_value.message)

    async def _cast_once_connected(self, vm: str, message: Any) -> None:
        if await self._connect(vm, CONNECT_TIMEOUT_S):
            self._transport.cast(vm, message)

    async def _connect(self, vm: str, timeout_s: float) -> bool:
        if vm not in self._registered_order.records:
            return self._transport.connected(vm)
        in_use = vm in self._used_at
        self._record_use(vm)
        if self._transport.connected(vm):
            return True
        if not in_use:
            self.refresh()
        return await self._transport.wait_connected(vm, timeout_s)

    def _record_use(self, vm: str) -> None:
        if vm != self.vm and vm not in self.links.peers:
            self._used_at[vm] = self._timers.now()

    # Observed state of other VMs

    def _heartbeat_vms(self) -> set[str]:
        """Return the VMs whose connections with this one carry heartbeats."""
        return {*self.links.peers, *self.subscribers.all, *self.subscribers.heads}

    def _reported_silent(self, vm: str) -> bool:
        """Whether the upstream head currently reports a VM as silent."""
        return bool(self.upstream_head) and self.table.is_silent(vm)

    def _reported_live(self, vm: str) -> bool:
        state = self.table.states.get(vm)
        return state is not None and not state.silent

    def _reported_info(self, state: MemberState) -> PeerInfo | None:
        record = self._registered_order.records.get(state.vm)
        if record is None:
            return None
        capacity = 1 if state.serving else 0
        heartbeat = Heartbeat(
            0,
            0,
            state.leaving,
            0,
            capacity,
            0.0,
            state.reaches_targets,
            state.stores_origins,
        )
        return PeerInfo(
            state.vm,
            state.incarnation,
            record.data_centre,
            record.peer_address,
            heartbeat,
            self.table.last_reported_at(state.vm),
        )
