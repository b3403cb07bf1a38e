"""Serves callers: the path of a request from its admission to its complete answer.

Attempts, claims on idempotency keys, relayed answers, and refusals that state whether
the request may have run.

May import: the common modules, mesh, stores, ownership, bundles, decisions, engines,
resources.
"""
