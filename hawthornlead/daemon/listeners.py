"""The listening sockets and the TLS certificate of a VM, opened before any part starts.

If the machine can't provide one, such as a port in use or a missing file, the failure
names the setting::

    opened = open_listeners(settings)
"""

import socket
import ssl
from typing import NamedTuple

from result import Err, Ok, Result
from tornado.netutil import bind_sockets

from ..errors import ErrorKind, Failure
from ..settings import Settings


class Listeners(NamedTuple):
    """Bound sockets, on which nothing is served yet; ``metrics`` may be empty."""

    callers: list[socket.socket]
    metrics: list[socket.socket]
    tls: ssl.SSLContext | None

    def close(self) -> None:
        """Close all sockets."""
        for listener in self.callers + self.metrics:
            listener.close()


def open_listeners(settings: Settings) -> Result[Listeners, Failure]:
    """Bind the addresses for callers and metrics, and read the certificate."""
    tls = _load_tls(settings)
    if isinstance(tls, Err):
        return tls
    callers = _bind("caller_address", settings["CALLER_ADDRESS"])
    if isinstance(callers, Err):
        return callers
    metrics: Result[list, Failure] = Ok([])
    if settings["METRICS_ADDRESS"]:
        metrics = _bind("metrics_address", settings["METRICS_ADDRESS"])
    if isinstance(metrics, Err):
        Listeners(callers.ok_value, [], None).close()
        return metrics
    return Ok(Listeners(callers.ok_value, metrics.ok_value, tls.ok_value))


def invalid_setting(key: str, value: str, error: OSError) -> Err[Failure]:
    """Return the failure of a setting that the machine does not allow."""
    reason = error.strerror or str(error)
    return Err(Failure(ErrorKind.BAD_SETTINGS, f"{key} = {value}: {reason}"))


def address_of(sockets: list[socket.socket], requested: str) -> str:
    """Return the requested address with the port that the first socket is bound to."""
    host, _, _ = requested.rpartition(":")
    return f"{host}:{sockets[0].getsockname()[1]}"


def _bind(key: str, address: str) -> Result[list[socket.socket], Failure]:
    host, _, port = address.rpartition(":")
    try:
        return Ok(bind_sockets(int(port), host.strip("[]")))
    except OSError as error:
        return invalid_setting(key, address, error)


def _load_tls(settings: Settings) -> Result[ssl.SSLContext | None, Failure]:
    certificate, key = settings["TLS_CERTIFICATE"], settings["TLS_KEY"]
    if not certificate:
        return Ok(None)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(certificate, key)
    except OSError as error:
        return invalid_setting(
            "tls_certificate, tls_key", f"{certificate}, {key}", error
        )
    return Ok(context)
