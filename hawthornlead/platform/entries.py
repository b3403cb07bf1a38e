"""The paths of a VM's entry interface: addresses for callers, and readiness."""

import json

RESOLVE_PATH = "/v1/resolve"
READY_PATH = "/v1/ready"


def addresses_body(addresses: tuple[str, ...], keep_s: float) -> bytes:
    """Return the JSON body that tells a caller which addresses to use, and how long."""
    return json.dumps({"addresses": list(addresses), "ttlS": keep_s}).encode()
