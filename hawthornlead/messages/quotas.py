"""What VMs tell one another of the quotas of workspaces, within other messages."""

from typing import NamedTuple


class QuotaUse(NamedTuple):
    """What one VM was asked for and let through since its last word."""

    workspace: str
    asked: float
    used: float


class QuotaState(NamedTuple):
    """What a head counts over all VMs: the credit left, and what is asked a second."""

    workspace: str
    credit: float
    demand: float
