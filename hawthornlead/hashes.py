"""Hashes that are the same on all VMs, canonical JSON and rendezvous hashing."""

import hashlib
import json
from collections.abc import Iterable
from typing import Any


def canonical(value: Any) -> bytes:
    """Return the canonical JSON of a value: sorted keys, no spaces, UTF-8."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def digest64(*parts: str) -> int:
    """Return a 64-bit hash of the parts, which depends on where each part ends."""
    digest = hashlib.blake2b(digest_size=8)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return int.from_bytes(digest.digest(), "big")


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order of preference to hold ``key``, best first.

    When a name is removed, only the keys for which it came first move.
    """
    return sorted(names, key=lambda name: (digest64(key, name), name), reverse=True)
