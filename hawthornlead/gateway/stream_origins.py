"""Where streams began, so that any VM can go on with them at the same software version.

A caller resumes a broken stream mostly because its VM was killed or cut off. So each VM
sends copies of what it knows to a few others, and a VM that lacks a stream asks all. No
VM infers a version: one that is cut off may not know which versions there are::

    origins.record("9c41", StreamOrigin("llm", "v1"))
    origin = await origins.find("9c41")
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping

from ..decisions.copy_holders import choose_holders
from ..fleet.fleet_meshes import FleetMesh
from ..mesh.meshes import PeerInfo
from ..messages.streams import FindStreams, StreamsBegun
from ..provenance.origin_tables import OriginTable, StreamOrigin, group_streams
from ..timers import Subscription, TimerService
from ..waits import wait_done
from .gateway_metrics import GatewayMetrics
from .memberships import Memberships

# The copies of each origin, beside that of the VM where the stream began. With four,
# the kill of five of nine VMs at once loses one in seventy of their origins.
COPIES = 4
# How long a choice of holders is used. One that is new gets all earlier origins too.
HOLDERS_TTL_S = 0.5
# Origins of the same moment are sent together. Those that a VM has not sent yet are
# lost if it is killed.
SEND_INTERVAL_S = 0.01
# Searches of streams that broke at the same moment are sent together.
SEARCH_INTERVAL_S = 0.01
# Another VM answers within a few milliseconds, and in a large fleet the search passes
# two heads. It is repeated once, because a head may die with it.
SEARCH_TIMEOUT_S = 0.4
SEARCH_REPEAT_S = 0.15
# More than the streams of a minute at a VM that begins 60 a second and holds the copies
# of four others.
MAX_ORIGINS = 20_000
# The origins of one message, far below its limit.
MAX_SENT = 1000
# Longer ids are no caller's and would fill messages between VMs.
MAX_ID_LENGTH = 128
# How much longer than the other VMs the store's records are waited for.
LOOK_UP_TIMEOUT_S = 0.5

LookUp = Callable[[], Awaitable[StreamOrigin | None]]


class StreamOrigins:
    """The origins of streams that began at this VM, and copies of those of others."""

    def __init__(
        self,
        *,
        memberships: Memberships,
        mesh: FleetMesh,
        timers: TimerService,
        metrics: GatewayMetrics,
    ):
        self._searched = metrics.origin_searches
        self._memberships = memberships
        self._mesh = mesh
        self._timers = timers
        self._own = OriginTable(MAX_ORIGINS)
        self._copies = OriginTable(MAX_ORIGINS)
        self._unsent: dict[str, StreamOrigin] = {}
        # The incarnations of the VMs that hold copies, and of those that have them all.
        self._holders: dict[str, str] = {}
        self._complete: dict[str, str] = {}
        self._holders_until = -math.inf
        self._searches: dict[str, asyncio.Future] = {}
        self._unsent_searches: set[str] = set()
        # What sends both soon, None while there is nothing to send.
        self._sending: Subscription | None = None
        self._asking: Subscription | None = None
        mesh.on(StreamsBegun, self._on_begun)
        mesh.on(FindStreams, self._on_find)

    @property
    def count(self) -> int:
        """The number of origins that this VM holds."""
        return len(self._own) + len(self._copies)

    def stop(self) -> None:
        """Stop sending and searching."""
        for subscription in (self._sending, self._asking):
            if subscription is not None:
                subscription.cancel()

    def record(self, request: str, origin: StreamOrigin) -> None:
        """Record where a stream began, as its first events are forwarded."""
        if not request or len(request) > MAX_ID_LENGTH:
            return
        self._own.add(request, origin, self._timers.now())
        self._unsent[request] = origin
        if self._sending is None:
            self._sending = self._timers.after(
                SEND_INTERVAL_S, self._send_copies, name="stream origins"
            )

    def learn(self, streams: Mapping[str, StreamOrigin]) -> None:
        """Keep copies of origins that the store's records name."""
        now = self._timers.now()
        for request, origin in streams.items():
            self._copies.add(request, origin, now)

    async def find(
        self, request: str, look_up: LookUp | None = None
    ) -> StreamOrigin | None:
        """Return where a stream began, None if nobody who answers knows it.

        ``look_up`` asks the store's records. It is called if no VM has answered for
        longer than one takes.
        """
        if len(request) > MAX_ID_LENGTH:
            return None
        known = self._known(request) if request else None
        if known is not None:
            self._searched.labels("known here").inc()
            return known
        looking = asyncio.ensure_future(self._look_up(request, look_up))
        try:
            if request:
                known = await self._ask(request)
            if known is None and await wait_done(
                self._timers, looking, LOOK_UP_TIMEOUT_S
            ):
                known = looking.result()
        finally:
            looking.cancel()
        if known is None:
            self._searched.labels("not found").inc()
        return known

    async def _look_up(
        self, request: str, look_up: LookUp | None
    ) -> StreamOrigin | None:
        if look_up is None:
            return None
        if request:
            await self._timers.sleep(SEARCH_REPEAT_S)
        found = await look_up()
        if found is not None:
            self._searched.labels("recorded").inc()
            self._end_search(request)
        return found

    def _end_search(self, request: str) -> None:
        search = self._searches.get(request)
        if search is not None and not search.done():
            search.set_result(None)

    async def _ask(self, request: str) -> StreamOrigin | None:
        """Ask the other VMs for a stream, until the records show it."""
        search = self._searches.get(request)
        if search is None:
            search = asyncio.get_running_loop().create_future()
            self._searches[request] = search
        try:
            await self._search(request, search)
        finally:
            self._searches.pop(request, None)
        found = self._known(request)
        if found is not None:
            self._searched.labels("found").inc()
        return found

    async def _search(self, request: str, search: asyncio.Future) -> None:
        for wait_s in (SEARCH_REPEAT_S, SEARCH_TIMEOUT_S - SEARCH_REPEAT_S):
            self._unsent_searches.add(request)
            if self._asking is None:
                self._asking = self._timers.after(
                    SEARCH_INTERVAL_S, self._send_searches, name="origin searches"
                )
            if await wait_done(self._timers, search, wait_s):
                return

    def _known(self, request: str) -> StreamOrigin | None:
        now = self._timers.now()
        own = self._own.get(request, now)
        copy = self._copies.get(request, now)
        if own is not None and copy is not None and own != copy:
            return own._replace(software="")
        return own or copy

    # Messages

    def _send_copies(self) -> None:
        self._sending = None
        unsent, self._unsent = self._unsent, {}
        if self._timers.now() >= self._holders_until:
            self._choose_holders()
        for vm, incarnation in self._holders.items():
            if self._complete.get(vm) == incarnation:
                self._send(vm, unsent.items())
                continue
            # A holder that is new, or has restarted, has none of the earlier ones.
            self._send(vm, self._own.known(self._timers.now()))
        self._complete = dict(self._holders)

    def _choose_holders(self) -> None:
        """Choose the VMs that are to hold copies."""
        myself = self._mesh.myself
        live = set(self._memberships.live())
        peers = [peer for peer in self._storing_peers() if peer.vm in live]
        data_centres = {peer.vm: peer.data_centre for peer in (myself, *peers)}
        chosen = choose_holders(myself.vm, data_centres, COPIES)
        incarnations = {peer.vm: peer.incarnation for peer in peers}
        self._holders = {vm: incarnations[vm] for vm in chosen}
        self._holders_until = self._timers.now() + HOLDERS_TTL_S

    def _send(self, vm: str, origins: Iterable[tuple[str, StreamOrigin]]) -> None:
        """Send origins to a VM, in messages of a bounded size."""
        remaining = list(origins)
        while remaining:
            sent, remaining = remaining[:MAX_SENT], remaining[MAX_SENT:]
            self._mesh.cast(vm, StreamsBegun(group_streams(sent)))

    def _send_searches(self) -> None:
        self._asking = None
        requests, self._unsent_searches = self._unsent_searches, set()
        message = FindStreams(tuple(requests))
        if self._mesh.large:
            # Heads forward a message that they don't know, and drop it themselves.
            self._mesh.broadcast(message)
            return
        self._mesh.cast_to([peer.vm for peer in self._storing_peers()], message)

    def _storing_peers(self) -> list[PeerInfo]:
        """Return the other live VMs that store origins; those of older builds don't."""
        return [
            peer
            for peer in self._mesh.live
            if peer.heartbeat is not None and peer.heartbeat.stores_origins
        ]

    async def _on_begun(self, sender, message: StreamsBegun) -> None:
        now = self._timers.now()
        for streams in message.streams:
            origin = StreamOrigin(streams.service, streams.software)
            for request in streams.requests:
                self._copies.add(request, origin, now)
                self._end_search(request)

    async def _on_find(self, sender, message: FindStreams) -> None:
        found = []
        for request in message.requests:
            origin = self._known(request)
            if origin is not None:
                found.append((request, origin))
        self._send(sender.vm, found)
