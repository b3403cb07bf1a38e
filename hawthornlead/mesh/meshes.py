"""The base of every mesh of VMs: handlers by message type, and the peers' details.

``hawthornlead.mesh.peers.PeerMesh`` connects VMs over the network. Tests connect them
within one process by another class with the same interface.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from loguru import logger
from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..messages import Done, Failed, Heartbeat


class PeerInfo(NamedTuple):
    """Another VM, as known from its connection.

    ``heartbeat`` is its newest one, None before the first. ``last_seen_at`` is when
    anything came from it last, in seconds of the ``TimerService``.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    heartbeat: Heartbeat | None
    last_seen_at: float


Handler = Callable[[PeerInfo, Any], Awaitable[Any]]

NO_HEARTBEAT = Heartbeat(0, 0, False, 0, 0, 0.0)


class Mesh:
    """The part of a mesh that does not depend on how its messages travel.

    ``heartbeat_source`` is called for each heartbeat that is sent; call
    ``heartbeat_changed`` when its result must not wait for the next one.
    Handlers of ``Hello``, ``Heartbeat`` and ``Goodbye`` are called in addition to what
    the mesh itself does with these: when a VM has been connected, when its heartbeat
    arrived, when it stopped for good.
    """

    def __init__(self, *, settings, timers, events, clock, incarnation: str):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._clock = clock
        self._incarnation = incarnation
        self._handlers: dict[type, Handler] = {}
        self.heartbeat_source: Callable[[], Heartbeat] = lambda: NO_HEARTBEAT

    @property
    def vm(self) -> str:
        """The name of this VM."""
        return self._settings["VM_NAME"]

    @property
    def incarnation(self) -> str:
        """The incarnation of this VM's process."""
        return self._incarnation

    @property
    def address(self) -> str:
        """The address on which this VM accepts connections of other VMs."""
        return self._settings["PEER_ADDRESS"]

    @property
    def myself(self) -> PeerInfo:
        """This VM, as the sender of its calls to itself."""
        return PeerInfo(
            self.vm,
            self._incarnation,
            self._settings["DATA_CENTRE"],
            self.address,
            self.heartbeat_source(),
            self._timers.now(),
        )

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type; there is one for each type."""
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} has a handler")
        self._handlers[message_type] = handler

    async def answer(self, sender: PeerInfo, message: Any) -> Any:
        """Return the reply to a message: ``Done`` when its handler returns None."""
        handler = self._handlers.get(type(message))
        if handler is None:
            detail = f"{self.vm} handles no {type(message).__name__}"
            return Failed(ErrorKind.BAD_MESSAGE.value, detail)
        try:
            reply = await handler(sender, message)
        except Exception:
            # A bug in one handler must not end the connection that all others use.
            logger.exception("handler of {} failed", type(message).__name__)
            detail = f"{self.vm} failed on {type(message).__name__}"
            return Failed(ErrorKind.INTERNAL.value, detail)
        return Done() if reply is None else reply

    async def dispatch(self, sender: PeerInfo, message: Any) -> None:
        """Call the handler of a message if there is one; ignore its reply."""
        if type(message) in self._handlers:
            await self.answer(sender, message)


def outcome_of(reply: Any) -> Result[Any, Failure]:
    """Turn the reply to a call into its outcome: ``Failed`` becomes ``Err``."""
    if not isinstance(reply, Failed):
        return Ok(reply)
    try:
        kind = ErrorKind(reply.kind)
    except ValueError:
        # A newer VM may have kinds of errors that this one does not know.
        kind = ErrorKind.INTERNAL
    return Err(Failure(kind, reply.detail, reply.retry_after_s))


def failed(failure: Failure) -> Failed:
    """Turn a failure into the reply that carries it."""
    return Failed(failure.kind.value, failure.detail, failure.retry_after_s)
