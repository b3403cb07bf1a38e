"""Callers' API keys: read from a request, and identified by their digests.

Keys are neither stored nor forwarded; only their digests leave this module::

    key_digest("f8fubwsdv6dc") == read_key_digest(headers)
"""

import hashlib

from tornado.httputil import HTTPHeaders

AUTHORIZATION = "Authorization"
SCHEME = "token"
# A longer text is not a valid key and isn't hashed.
MAX_KEY_CHARACTERS = 512


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).digest()


def is_key(text: str) -> bool:
    """Whether a text is printable ASCII without blanks and not too long for a key."""
    if not text or len(text) > MAX_KEY_CHARACTERS or not text.isascii():
        return False
    return text.isprintable() and " " not in text


def read_key_digest(headers: HTTPHeaders) -> bytes:
    """Return the digest of a request's key, empty without exactly one valid key."""
    given = headers.get_list(AUTHORIZATION)
    if len(given) != 1:
        return b""
    scheme, _, key = given[0].strip().partition(" ")
    if scheme.lower() != SCHEME or not is_key(key):
        return b""
    return key_digest(key)
