"""How long the platform's store has been away, by what one VM heard of it.

May import: the common modules.
"""
