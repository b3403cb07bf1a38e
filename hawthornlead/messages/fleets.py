"""Messages that distribute the state of a large fleet's VMs through heads."""

from typing import NamedTuple

from .base import message
from .gateways import TargetLoad
from .quotas import QuotaState, QuotaUse


class MemberState(NamedTuple):
    """The state of one VM: ``silent`` if its head hasn't seen it recently.

    ``reaches_targets`` and ``stores_origins`` are as in its heartbeat.
    """

    vm: str
    incarnation: str
    serving: bool
    leaving: bool
    silent: bool = False
    reaches_targets: bool = True
    stores_origins: bool = False


@message("member-word")
class MemberUpdate(NamedTuple):
    """The periodic update of a VM for its heads.

    ``subscribed`` requests fleet updates from the receiver; ``serial`` is that of the
    last change of members received from there. The sender orders the targets ``owned``.
    ``quotas`` is what it admitted of workspaces with a quota since its last update.
    """

    state: MemberState
    subscribed: bool
    serial: int
    owned: tuple[str, ...]
    loads: tuple[TargetLoad, ...]
    quotas: tuple[QuotaUse, ...] = ()


class MemberLoads(NamedTuple):
    """A VM, its requests on targets and its use of quotas, as sent to its head."""

    state: MemberState
    loads: tuple[TargetLoad, ...]
    quotas: tuple[QuotaUse, ...] = ()


@message("group-word")
class GroupUpdate(NamedTuple):
    """The update of a head for other heads, on itself and its subscribers.

    ``quotas`` is what the head counted over all VMs, empty while it may lack uses.
    """

    members: tuple[MemberLoads, ...]
    quotas: tuple[QuotaState, ...] = ()


class TargetRunning(NamedTuple):
    """The number of requests of all VMs on one incarnation of a target."""

    target: str
    running: int
    started_ms: int | None = None


@message("fleet-word")
class FleetUpdate(NamedTuple):
    """The update of a head for its subscribers: changed members and all targets' load.

    The changes are those after ``since``, up to ``serial``. With ``since`` below 0
    ``members`` are all live ones. The head counts ``quotas`` with ``quota_share`` of
    each rate, the share of all VMs that it has recently seen.
    """

    since: int
    serial: int
    members: tuple[MemberState, ...]
    running: tuple[TargetRunning, ...]
    quotas: tuple[QuotaState, ...] = ()
    quota_share: float = 1.0


@message("passed-on")
class ForwardedMessage(NamedTuple):
    """A broadcast of one VM, forwarded by heads.

    The first four fields identify the original sender; ``frame`` is the message as
    encoded there. ``leg`` is the hop: up to a head, across to other heads, or down to
    subscribers.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leg: int
    frame: bytes
