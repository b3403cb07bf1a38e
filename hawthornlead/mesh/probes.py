"""A fresh connection to another VM's port, to learn whether a process listens."""

import asyncio


async def probe(address: str, wait_s: float) -> str:
    """Open a fresh connection to an address and close it again.

    ``refused`` proves that no process listens there. ``accepted`` proves nothing,
    since a frozen process accepts too, nor does ``silent``. An invalid address is
    ``silent``: a refusal there would not prove anything about a process.
    """
    host, _, port = address.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        return "silent"
    try:
        async with asyncio.timeout(wait_s):
            _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except ConnectionRefusedError:
        return "refused"
    except OSError:
        return "silent"
    writer.close()
    return "accepted"
