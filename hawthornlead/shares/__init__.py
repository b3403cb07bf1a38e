"""Shares of scarce places among workspaces: the order in which waiters are served.

Plain classes without network or clock, used by the queues of places.

May import: the common modules.
"""
