"""Revisions of the store, dated by the era that gave them out.

The store gives revisions out again when it starts a new era, so a revision alone is
neither an order nor a proof. A dated revision is one whole number that is higher than
all of earlier eras, and orders objects, answers, claims and messages between VMs::

    revision = dated_revision(4, 812)
    era_of(revision), stored_revision(revision)
"""

# At a thousand changes a second an era lasts 34 years before it runs out of revisions.
REVISION_BITS = 40
# Dated revisions are also fencing numbers, which JSON readers keep exact up to 53 bits.
ERA_BITS = 13
_REVISION_MASK = (1 << REVISION_BITS) - 1


def dated_revision(era: int, revision: int) -> int:
    """Return a revision of the store as dated by its era.

    Raises ``ValueError`` for an era or revision that isn't within its bits.
    """
    if not 0 <= era < 1 << ERA_BITS:
        raise ValueError(f"era {era} is out of range")
    if not 0 <= revision <= _REVISION_MASK:
        raise ValueError(f"revision {revision} is out of range")
    return era << REVISION_BITS | revision


def era_of(revision: int) -> int:
    """Return the era of a dated revision; -1 for none, which is below all."""
    return revision >> REVISION_BITS


def stored_revision(revision: int) -> int:
    """Return a dated revision as the store counts it."""
    return revision & _REVISION_MASK
