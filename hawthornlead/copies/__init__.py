"""What VMs send one another of the store's objects on request, page by page.

May import: the common modules, messages.gateways, gateway.kind_records,
gateway.relayed_records.
"""
