"""Tests of configurations that can be read and have a part without sense."""

import pytest

from hawthornlead.platform.objects import CONFIGURATION_KIND, CONFIGURATION_NAME

from .gateways import Deployment, configuration, route

ODD = "/odd/"
VERSION = 7
# What callers may be told of a request on a part without sense: that it has not run.
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
    """Let the operator write a configuration with further routes."""
    spec = configuration(VERSION, *routes)
    deployment.store.write(CONFIGURATION_KIND, CONFIGURATION_NAME, spec)
    gateway = deployment.gateways[0]
    await deployment.until(lambda: gateway._configuration_version() == VERSION)


@pytest.mark.parametrize("name", ODD_ROUTES)
async def test_a_route_without_sense_refuses_truly_and_costs_no_other_route(name):
    """Guards against a good configuration that is lost over one bad route."""
    async with Deployment(vms=1) as deployment:
        await put_in_force(deployment, ODD_ROUTES[name])
        answer = await deployment.ask("/odd/x", "GET")
        assert answer.status in UNRUN
        assert not any(plain.ran for plain in deployment.plains)
        assert (await deployment.ask("/safe/x", "GET")).status == 200


@pytest.mark.parametrize("name", SERVED_ROUTES)
async def test_a_route_with_an_odd_number_is_served_as_far_as_it_has_sense(name):
    """Guards against a route that nobody serves over a number that can be read."""
    async with Deployment(vms=1) as deployment:
        odd = SERVED_ROUTES[name]
        await put_in_force(deployment, odd)
        expected = 503 if odd["service"] == "nowhere" else 200
        answer = await deployment.ask(odd["pathPrefix"] + "x", "GET")
        assert answer.status == expected
        assert (await deployment.ask("/safe/x", "GET")).status == 200
