"""Whether what was read from a connection is one answer, and a whole one.

May import: the common modules, platform.
"""
