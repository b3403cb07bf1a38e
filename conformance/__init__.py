"""A conformance run of the gateways, and a judge that shares no code with them.

``scripts/conformance`` starts the real processes by the deploy file between stand-ins
of the platform's store, of targets, callers and the operator, and judges the recorded
history. Nothing in this package imports the product; ``docs/design/conformance.md`` has
the rules. The store, the engines' orders, the clients and the start of the processes
are developed from ``review/standins.py``, ``review/clients.py`` and
``review/fleet.py``.
"""
