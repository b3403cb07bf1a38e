"""Which software wrote a stream, by proof and not by what a VM happens to know.

``writer_proofs`` proves which start of a target writes on a connection. The others keep
in the platform's store at which versions streams may have begun, so that VMs which have
just started can prove where a stream began.

May import: the common modules, eras.dated_revisions, gateway.engine_calls,
gateway.gateway_metrics, gateway.records, gateway.store_clients,
gateway.target_connections, gateway.target_paths, gateway.target_tables.
"""
