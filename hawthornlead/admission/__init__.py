"""Admission at a target: places counted over all VMs, and the order of who waits.

One VM counts the places of a target: the owner of an engine, or the coordinator of a
plain target. The counting and the waiting order are plain classes to which time is
passed, so that tests can simulate load on them.

May import: the common modules, mesh.
"""
