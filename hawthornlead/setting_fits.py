"""Pairs of settings that must fit each other; ``settings`` checks them.

::

    for fit in FITS:
        fits = settings[fit.lesser] * fit.factor <= settings[fit.greater]
"""

from typing import NamedTuple


class Fit(NamedTuple):
    """Two settings that must fit: ``lesser * factor`` is at most ``greater``."""

    lesser: str
    greater: str
    factor: int


# ORDER_S needs no row with LEASE_S: an order starts under a lease and may outlast it,
# since a successor waits ORDER_S after the lease. LOAD_S needs none either: a load that
# takes effect even later takes nothing from any request.
FITS = (
    Fit("LEASE_RENEW_S", "LEASE_S", 3),
    Fit("HEARTBEAT_S", "PEER_SILENT_S", 2),
    Fit("GRANT_RENEW_S", "GRANT_S", 2),
    Fit("DEFAULT_DEADLINE_S", "MAX_DEADLINE_S", 1),
    Fit("MAX_DEADLINE_S", "CLAIM_KEEP_S", 2),
)
