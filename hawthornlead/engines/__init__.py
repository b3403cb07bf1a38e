"""Targets: calls to them, and the owner's side of slots, grants, loads and orders.

Only this package sends orders to a target or grants that a request may run on it.

May import: the common modules, mesh, stores, ownership, bundles, connections,
answers, decisions.
"""
