"""Serving on the users' platform: from a caller's request to a target's whole answer.

The platform keeps configuration and targets in its own store. This package decides
which target answers, who may order an adapter there, and what a caller is told; how
all that is spelled on the wire stands in ``hawthornlead.platform`` alone.

May import: the common modules, mesh, fleet, decisions, platform.
"""
