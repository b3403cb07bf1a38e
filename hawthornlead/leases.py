"""The public name of leases, for programs that embed hawthornlead."""

from .ownership.leases import LeaseKeeper

__all__ = ["LeaseKeeper"]
