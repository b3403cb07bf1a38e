"""What a process holds for its clients: one account of memory and connections.

May import: the common modules.
"""
