"""What a VM knows of the targets: the newest state that their owners told."""

from typing import NamedTuple

from hawthornlead.messages import TargetState


class TargetView(NamedTuple):
    """One target as this VM sees it; ``state`` is None until its owner told one."""

    target: str
    address: str
    data_centre: str
    base_models: tuple[str, ...]
    owner_vm: str
    state: TargetState | None
    heard_at: float
    leaving: bool
