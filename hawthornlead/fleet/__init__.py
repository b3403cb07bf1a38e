"""Membership of a deployment: which VMs there are and how they reach each other.

In a large fleet a few VMs of each data centre, its *heads*, are connected with all VMs
there and with the other heads; the other VMs learn about the fleet through them. In a
small fleet every VM is a head. Start reading with ``fleet_meshes``.

May import: the common modules, mesh, resources, gateway.records.
"""
