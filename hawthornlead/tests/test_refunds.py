"""Tests of refunds: a request that is charged to a quota and never runs is refunded."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from result import Err

from hawthornlead.errors import ErrorKind, Failure

from .gateways import HOST, Deployment
from .test_request_relays import runs
from .test_workspaces import KEY, keyed, put_in_force, tenant

BUSY = Err(Failure(ErrorKind.OVERLOADED, "refused by the test", 0.2))
UNREACHED = Err(Failure(ErrorKind.TARGET_UNREACHABLE, "refused", refused=True))


class Charges:
    """What a gateway charges and refunds."""

    def __init__(self, gateway):
        quotas = gateway._parts.quotas
        self.charged = self.refunded = 0
        self._admit, self._refund = quotas.admit, quotas.refund
        quotas.admit, quotas.refund = self.admit, self.refund

    def admit(self, name, cost):
        self.charged += 1
        return self._admit(name, cost)

    def refund(self, name, cost):
        self.refunded += 1
        self._refund(name, cost)


@asynccontextmanager
async def charging(vms=1):
    """A deployment with one workspace, and the charges of its first VM."""
    async with Deployment(vms=vms) as deployment:
        quota = {"ratePerS": 1000, "burst": 1000}
        await put_in_force(deployment, keyed(2, tenant("zimi", KEY, **quota)))
        yield deployment, deployment.gateways[0]._parts, Charges(deployment.gateways[0])


async def leave_when(deployment, event) -> None:
    """Send a request, and close its connection when the event is set."""
    host, _, port = deployment.settings[0]["CALLER_ADDRESS"].rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: gone\r\n"
        f"Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n".encode()
    )
    await event.wait()
    writer.close()


@pytest.mark.parametrize("waits_in", ["placer", "paths"])
async def test_a_caller_that_leaves_before_its_request_is_sent_is_refunded(waits_in):
    """A caller leaves while its request waits for a place, or for a connection.

    The latter counted as one that may have run, though no byte of it was sent.
    """
    async with charging() as (deployment, parts, charges):
        part = getattr(parts, waits_in)
        name = {"placer": "place", "paths": "open"}[waits_in]
        carry_on, waiting = getattr(part, name), asyncio.Event()

        async def wait(*args):
            waiting.set()
            await asyncio.sleep(0.2)
            return await carry_on(*args)

        setattr(part, name, wait)
        await leave_when(deployment, waiting)
        await deployment.until(lambda: charges.refunded)
        assert (charges.charged, charges.refunded) == (1, 1)
        assert not runs(deployment)


@pytest.mark.parametrize(
    ("part", "name"), [("quarantines", "check"), ("suspects", "check")]
)
async def test_a_request_in_quarantine_is_refunded(part, name):
    async with charging() as (deployment, parts, charges):
        setattr(getattr(parts, part), name, lambda *args: BUSY)
        bearer = {"Authorization": f"Token {KEY}"}
        assert (await deployment.ask("/unsafe/x", **bearer)).status >= 400
        assert (charges.charged, charges.refunded) == (1, 1)


async def test_a_request_that_finds_no_place_is_refunded_and_one_that_ran_is_not():
    async with charging() as (deployment, parts, charges):
        bearer = {"Authorization": f"Token {KEY}"}
        assert (await deployment.ask("/unsafe/x", **bearer)).status == 200
        assert (charges.charged, charges.refunded) == (1, 0)

        async def refuse(placement):
            return BUSY

        parts.placer.place = refuse
        assert (await deployment.ask("/unsafe/x", **bearer)).status == 503
        assert (charges.charged, charges.refunded) == (2, 1)


async def test_a_relayed_request_that_is_handed_back_is_refunded():
    """The VM to which it was relayed reaches no target either and hands it back.

    The request is then charged where it is served, and not at both.
    """
    async with charging(vms=2) as (deployment, parts, charges):
        other = Charges(deployment.gateways[1])
        for gateway in deployment.gateways:

            async def refuse(entry):
                return UNREACHED

            gateway._parts.paths.open = refuse
        bearer = {"Authorization": f"Token {KEY}"}
        assert (await deployment.ask("/unsafe/x", **bearer)).status == 503
        assert charges.charged == charges.refunded >= 1
        assert other.charged == other.refunded
