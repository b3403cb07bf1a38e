"""Tests of valid configurations with a route that makes no sense."""

import pytest

from hawthornlead.platform.objects import CONFIGURATION_KIND, CONFIGURATION_NAME

from .gateways import Deployment, configuration, route

ODD = "/odd/"
VERSION = 7
# Statuses that a caller may get on such a route. Both say that the request has not run.
UNRUN = (503, 504)
ODD_ROUTES = {
    "a service that isn't there": route("odd", ODD, "nowhere", "safe"),
    "no time at all": route("odd", ODD, "plain", "safe", timeoutMs=0),
    "a time below 0": route("odd", ODD, "plain", "safe", timeoutMs=-5),
}
SERVED_ROUTES = {
    "no attempts": route("odd", ODD, "plain", "safe", attempts=0),
    "weights of 0": route(
        "odd",
        ODD,
        "",
        "safe",
        split=[{"service": "plain", "weight": 0}, {"service": "llm", "weight": 0}],
    ),
    "the same place twice": route("odd", "/unsafe/", "nowhere", "safe"),
}


async def put_in_force(deployment: Deployment, *routes: dict) -> None:
    """Write a configuration with further routes and wait until it is in force."""
    spec = configuration(VERSION, *routes)
    deployment.store.write(CONFIGURATION_KIND, CONFIGURATION_NAME, spec)
    gateway = deployment.gateways[0]
    await deployment.until(lambda: gateway._configuration_version() == VERSION)


@pytest.mark.parametrize("name", ODD_ROUTES)
async def test_an_unusable_route_refuses_requests_and_affects_no_other_route(name):
    """Guards against a configuration that is not applied because of one bad route."""
    async with Deployment(vms=1) as deployment:
        await put_in_force(deployment, ODD_ROUTES[name])
        answer = await deployment.ask("/odd/x", "GET")
        assert answer.status in UNRUN
        assert not any(plain.ran for plain in deployment.plains)
        assert (await deployment.ask("/safe/x", "GET")).status == 200


@pytest.mark.parametrize("name", SERVED_ROUTES)
async def test_a_route_with_an_odd_number_is_served_where_possible(name):
    """Guards against a route that isn't served because of a valid but odd number."""
    async with Deployment(vms=1) as deployment:
        odd = SERVED_ROUTES[name]
        await put_in_force(deployment, odd)
        expected = 503 if odd["service"] == "nowhere" else 200
        answer = await deployment.ask(odd["pathPrefix"] + "x", "GET")
        assert answer.status == expected
        assert (await deployment.ask("/safe/x", "GET")).status == 200
