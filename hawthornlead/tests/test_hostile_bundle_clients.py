"""Tests of a real process that serves signed bundles, under clients without limits."""

import pytest

from .deployments import PLATFORM_SECTIONS
from .fleets import Deployment, Fleet, VmSpec
from .hostile_clients import Crowd, UsageSampler

VM = "entry-1"
# As large as the settings allow by default, but for the last byte.
BODY_BYTES = (1 << 20) - 1
CHUNK = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
ANNOUNCED = b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 1)
BODIES = {
    "announced": [ANNOUNCED, b"x" * BODY_BYTES],
    "in chunks": [b"Transfer-Encoding: chunked\r\n\r\n", CHUNK * 31],
}


@pytest.mark.parametrize("how", BODIES)
@pytest.mark.parametrize("role", ["callers", "metrics"])
async def test_bodies_that_never_end_fill_no_memory(how, role):
    """Guards against requests that are kept for as long as their clients like."""
    deployment = Deployment((VmSpec(VM, "gijon"),), PLATFORM_SECTIONS, {}, {})
    async with Fleet(deployment) as fleet:
        await fleet.start_vms()
        vm = fleet.vms[VM]
        address = vm.caller_address if role == "callers" else vm.metrics_address
        ports = {int(address.rpartition(":")[2])}
        usage = UsageSampler(vm.process, ports)
        usage.start()
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        with await Crowd.connect(address, 200) as crowd:
            await crowd.send([head, *BODIES[how]])
            await usage.settle()
            assert (await fleet.get(vm.caller_address, "/healthz")).status == 200
        usage.stop()
        usage.assert_within()
