"""What callers are promised: that a refused request has not run, and never will.

May import: the common modules.
"""
