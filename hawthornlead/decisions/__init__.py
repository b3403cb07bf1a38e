"""Decisions that need no network: admission, routing, placement, eviction, retries.

Each works on observed state passed to it, so that tests and the bench can run it alone.

May import: the common modules, bundles.
"""
