"""The software version that a stream is bound to.

What two software versions of a service write doesn't fit together, and targets don't
check which of them a stream goes on from::

    binding = StreamBinding(targets)
    binding.accept(entry)  # before the first event of a target is forwarded
    binding.software
"""

from .records import TargetEntry
from .target_tables import TargetTable

# What a target runs may be unknown for a moment after its restart. No target runs this
# version, so a stream that is bound to it goes on nowhere.
UNKNOWN_SOFTWARE = ""


class StreamBinding:
    """The version of the target that wrote the first event of a stream.

    ``software`` is None while any version may begin the stream.
    """

    def __init__(self, targets: TargetTable):
        self._targets = targets
        self.software: str | None = None

    @property
    def can_resume(self) -> bool:
        """Whether the stream may go on at a target of some known version."""
        return bool(self.software)

    def accept(self, entry: TargetEntry) -> bool:
        """Whether a target's events may be forwarded; the first ones bind the stream.

        ``entry`` is that by which the request was sent. The target may have restarted
        since, with other software.
        """
        software = self._software_of(entry)
        if self.software is None:
            self.software = software
            return True
        return software != UNKNOWN_SOFTWARE and software == self.software

    def _software_of(self, entry: TargetEntry) -> str:
        known = self._targets.entries.get(entry.target)
        if known is None:
            # Its entry was removed, which doesn't end its runs.
            return entry.software
        if not known.incarnation.matches(entry.incarnation):
            return UNKNOWN_SOFTWARE
        return known.software
