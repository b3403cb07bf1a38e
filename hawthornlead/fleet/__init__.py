"""Who the VMs of a deployment are, and how they hear of one another.

In a large fleet a few VMs of each data centre, its *heads*, are connected with all VMs
there and with the other heads; all others hear of the fleet through them. In a small
fleet every VM is a head. Begin to read with ``fleet_meshes``.

May import: the common modules, mesh, gateway.records.
"""
