"""The process of `hawthornlead serve`: its parts, ports, start and stop.

Builds every part and passes it its collaborators; makes no decisions itself.

May import: the common modules, mesh, stores, ownership, bundles, decisions, engines,
callers, operators, resources.
"""
