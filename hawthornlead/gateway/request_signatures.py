"""By what a request is recognised among those that crash their targets."""

from hashlib import blake2b
from typing import NamedTuple

from .caller_calls import CallerCall
from .records import CallerRequest


class RequestSignature(NamedTuple):
    """A request as crashes accuse it.

    ``fingerprint`` is the same if the caller sends the request again. ``digest`` also
    covers the whole prompt, of which ``parts`` are the shared parts in their order.
    """

    fingerprint: bytes
    digest: bytes
    parts: tuple[str, ...]


def read_signature(call: CallerCall, request: CallerRequest) -> RequestSignature:
    """Return the signature of a request whose body was read."""
    fingerprint = blake2b(digest_size=8)
    fingerprint.update(call.method.encode())
    fingerprint.update(call.path.encode())
    fingerprint.update(call.body)
    digest = fingerprint.copy()
    digest.update(request.prompt.encode())
    return RequestSignature(fingerprint.digest(), digest.digest(), request.shared_parts)
