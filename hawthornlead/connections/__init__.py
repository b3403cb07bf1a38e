"""Connections to other processes, kept for reuse, and what was sent on each.

May import: the common modules.
"""
