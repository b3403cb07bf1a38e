"""The eras of the platform's store, and what VMs do when it starts a new one.

In a drill the store comes back from a copy some seconds old. It then counts a new era,
and gives out the revisions after the copy a second time. Leases, claims and entries
written after the copy are gone.

May import: the common modules, gateway.records.
"""
