"""The gateway on the users' platform: from a caller's request to a target's answer.

The platform keeps configuration and targets in its own store. This package decides
which target answers, which VM may order an adapter there, and what a caller receives.
The wire formats are in ``hawthornlead.platform`` alone.

May import: the common modules, mesh, fleet, admission, answers, connections, copies,
decisions, engine_speeds, eras, fetches, outages, platform, promises, provenance,
recovery, resources, shares.
"""
