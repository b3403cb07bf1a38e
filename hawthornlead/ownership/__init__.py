"""Determines which VMs are live, and which one of them owns a resource.

Contains leases and the proofs that a VM has stopped, ownership with fencing numbers,
registrations, and the members that this VM sees.

May import: the common modules, answers, mesh, stores.
"""
