"""Which start of a target wrote an answer, by proof and not by the target's entry.

May import: the common modules, gateway.engine_calls, gateway.gateway_metrics,
gateway.records, gateway.target_connections, gateway.target_paths,
gateway.target_tables.
"""
