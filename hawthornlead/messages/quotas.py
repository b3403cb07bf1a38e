"""The use and state of workspaces' quotas, as parts of other messages."""

from typing import NamedTuple


class QuotaUse(NamedTuple):
    """The demand that one VM received and admitted since its last announcement."""

    workspace: str
    asked: float
    used: float


class QuotaState(NamedTuple):
    """The count of a head over all VMs: remaining credit, and demand per second."""

    workspace: str
    credit: float
    demand: float
