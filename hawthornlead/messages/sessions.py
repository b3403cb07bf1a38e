"""Messages that open, keep and end a connection between two VMs."""

from typing import NamedTuple

from .base import PROTOCOL_VERSION, message


@message("hello")
class Hello(NamedTuple):
    """The first message on a connection, from both ends."""

    vm: str
    incarnation: str
    data_centre: str
    address: str
    version: int = PROTOCOL_VERSION


@message("challenge")
class Challenge(NamedTuple):
    """Challenge the other end to prove that it knows the shared secret."""

    nonce: bytes


@message("proof")
class Proof(NamedTuple):
    """The HMAC of a challenge and of the names of both ends."""

    mac: bytes


@message("heartbeat")
class Heartbeat(NamedTuple):
    """Sent on every connection each second, and whenever its content changes.

    ``staged_seq`` is 0 when no staged bundle is acknowledged and undecided.
    ``reaches_targets`` is False while the VM can't connect to any target of a service.
    ``stores_origins`` is True if the VM knows the messages about begun streams: others
    would close the connection at the first of them.
    """

    in_force_seq: int
    staged_seq: int
    draining: bool
    open_requests: int
    capacity: int
    store_age_s: float
    reaches_targets: bool = True
    stores_origins: bool = False


@message("goodbye")
class Goodbye(NamedTuple):
    """The sender has stopped for good: it holds nothing and sends nothing more."""

    vm: str
    incarnation: str


@message("failed")
class Failed(NamedTuple):
    """The reply to a call that could not be carried out."""

    kind: str
    detail: str
    retry_after_s: float | None = None


@message("done")
class Done(NamedTuple):
    """The reply to a call that was carried out and returns nothing."""
