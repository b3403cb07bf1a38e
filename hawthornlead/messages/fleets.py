"""Messages by which the VMs of a large fleet hear of one another through heads."""

from typing import NamedTuple

from .base import message
from .gateways import TargetLoad
from .quotas import QuotaState, QuotaUse


class MemberState(NamedTuple):
    """What is known of one VM: ``silent`` if its head hasn't heard it lately."""

    vm: str
    incarnation: str
    serving: bool
    leaving: bool
    silent: bool = False


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
    """A VM, its requests on targets and its use of quotas, as it told its head."""

    state: MemberState
    loads: tuple[TargetLoad, ...]
    quotas: tuple[QuotaUse, ...] = ()


@message("group-word")
class GroupUpdate(NamedTuple):
    """What a head tells the other heads of the VMs that it feeds, and of itself."""

    members: tuple[MemberLoads, ...]


class TargetRunning(NamedTuple):
    """The requests of all VMs on one start of a target."""

    target: str
    running: int
    started_ms: int | None = None


@message("fleet-word")
class FleetUpdate(NamedTuple):
    """What a head tells those that it feeds: changes of members, and all targets' load.

    The changes are those after ``since``, up to ``serial``. With ``since`` below 0
    ``members`` are all that live. The head counts ``quotas`` with ``quota_share`` of
    each rate, the share of all VMs that it hears.
    """

    since: int
    serial: int
    members: tuple[MemberState, ...]
    running: tuple[TargetRunning, ...]
    quotas: tuple[QuotaState, ...] = ()
    quota_share: float = 1.0


@message("passed-on")
class ForwardedMessage(NamedTuple):
    """A message that one VM tells all others, on its way through heads.

    The first four fields tell who sent it; ``frame`` is the message as it was encoded
    there. It goes ``up`` to a head, and down from there.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leg: int
    frame: bytes
