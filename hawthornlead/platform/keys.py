"""Callers' keys: how a request carries one, and the digest by which it is known.

Keys themselves are neither kept nor passed on; only their digests leave this module::

    key_digest("f8fubwsdv6dc") == read_key_digest(headers)
"""

import hashlib

from tornado.httputil import HTTPHeaders

AUTHORIZATION = "Authorization"
SCHEME = "token"
# A longer text is no key, and isn't hashed.
MOST_KEY_CHARACTERS = 512


def key_digest(key: str) -> bytes:
    """Return the digest of a key."""
    return hashlib.sha256(key.encode()).digest()


def is_key(text: str) -> bool:
    """Whether a text can be a key: printable ASCII without blanks, not too long."""
    if not text or len(text) > MOST_KEY_CHARACTERS or not text.isascii():
        return False
    return text.isprintable() and " " not in text


def read_key_digest(headers: HTTPHeaders) -> bytes:
    """Return the digest of a request's key, empty if it has no single, readable one."""
    given = headers.get_list(AUTHORIZATION)
    if len(given) != 1:
        return b""
    scheme, _, key = given[0].strip().partition(" ")
    if scheme.lower() != SCHEME or not is_key(key):
        return b""
    return key_digest(key)
