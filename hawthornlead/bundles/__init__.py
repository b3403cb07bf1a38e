"""Bundles: their content, how they are signed, staged, accepted and read.

This package decides whether the bundle in force is fresh enough to serve.

May import: the common modules, mesh, stores, ownership.
"""
