"""The mesh of VMs: connections, calls and the encoding of messages.

Sends typed messages and answers calls; it knows no target, bundle or request.

May import: the common modules, resources.
"""
