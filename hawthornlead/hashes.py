"""Hashes that are the same on every VM and in every process.

Python's own ``hash`` differs from process to process, so what several VMs must
agree on without a message is hashed here.
"""

import hashlib
from collections.abc import Iterable


def digest64(*parts: str) -> int:
    """Return a 64-bit hash of the parts, which depends on where each one ends."""
    digest = hashlib.blake2b(digest_size=8)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return int.from_bytes(digest.digest(), "big")


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing for a key, best first.

    When a name goes or comes, only the keys move that it was or becomes best for::

        aggregator = rendezvous("leases/gijon-0", members.live_vms())[0]
    """
    return sorted(names, key=lambda name: (digest64(key, name), name), reverse=True)
