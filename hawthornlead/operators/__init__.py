"""Operator tools: signed orders, queries, time lines and reference pages.

Nothing here affects how requests are served.

May import: the common modules, mesh, stores, ownership, bundles, decisions, engines,
callers, answers.
"""
