"""Hashes that all VMs agree on, and rendezvous hashing over names."""

import hashlib
from collections.abc import Iterable


def digest64(*parts: str) -> int:
    """Return 64 bits that depend on every part and on where each one ends."""
    digest = hashlib.blake2b(digest_size=8)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return int.from_bytes(digest.digest(), "big")


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order in which they should hold ``key``, best first.

    When a name goes, only the keys that it came first for move.
    """
    return sorted(names, key=lambda name: (digest64(key, name), name), reverse=True)
