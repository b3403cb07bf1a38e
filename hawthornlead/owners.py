"""The public name of ownership, for programs that embed hawthornlead."""

from .ownership.owners import OrderRight, Owners, Ownership

__all__ = ["OrderRight", "Owners", "Ownership"]
