"""Route matching: by host, then by the longest prefix of the path.

Prefixes start and end with a slash, so a path is cut at each slash and looked up. The
cost grows with the depth of the path and not with the number of routes::

    table = RouteTable(configuration.routes)
    route = table.match("ficu95.example", "/lohu930/2f")
"""

from random import Random

from .caller_calls import CallerCall
from .records import Route


class RouteTable:
    """The routes of one configuration."""

    def __init__(self, routes: tuple[Route, ...]):
        self._by_prefix = {(route.host, route.prefix): route for route in routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        ``host`` may carry a port; ``path`` may carry a query.
        """
        host = host.partition(":")[0].lower()
        prefix = path.partition("?")[0]
        end = prefix.rfind("/")
        while end >= 0:
            route = self._by_prefix.get((host, prefix[: end + 1]))
            if route is not None:
                return route
            end = prefix.rfind("/", 0, end)
        return None


def match_call(routes: RouteTable | None, call: CallerCall) -> Route | None:
    """Return the route of a call, None if there is none or no configuration."""
    if routes is None:
        return None
    return routes.match(call.headers.get("Host", ""), call.path)


def choose_service(route: Route, rng: Random) -> str:
    """Return a random service of the route, in proportion to the weights."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [share.weight for share in route.services]
    if sum(weights) <= 0:
        return route.services[0].service
    return rng.choices([share.service for share in route.services], weights)[0]
