"""What VMs do in the moments after all of them have started at once.

May import: the common modules.
"""
