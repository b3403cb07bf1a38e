"""The HTTP servers of one VM: which routes are served on which port.

Callers and operators use the same port. If ``METRICS_ADDRESS`` is set, metrics, and
status and time line without signatures, are served on that separate port::

    servers = start_servers(listeners, server_parts, account)
"""

from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.web import Application

from ..callers.caller_servers import CallerServer
from ..callers.command_handlers import CallerParts, UnknownHandler, caller_routes
from ..operators.operator_handlers import operator_routes
from ..operators.request_guards import RequestGuard
from ..operators.statuses import StatusParts, status_routes
from ..operators.timelines import Timeline, timeline_routes
from ..resources.accounts import Account
from ..resources.servers import AccountedServer
from ..settings import Settings
from .listeners import Listeners
from .query_handlers import QueryParts, metrics_routes, query_routes

# Queries have no body, or a small one that nobody reads.
MAX_QUERY_BODY_BYTES = 16 << 10


class ServerParts(NamedTuple):
    """The parts that the handlers of all ports use."""

    settings: Settings
    callers: CallerParts
    queries: QueryParts
    status: StatusParts
    timeline: Timeline
    guard: RequestGuard


def start_servers(
    listeners: Listeners, parts: ServerParts, account: Account
) -> list[HTTPServer]:
    """Start to serve on all ports; return the servers, to be stopped later."""
    servers = []
    routes = _caller_routes(parts)
    if listeners.metrics:
        unsigned = timeline_routes(parts.timeline) + status_routes(parts.status)
        unsigned += metrics_routes(parts.queries)
        server = AccountedServer(
            Application(unsigned),
            account=account,
            idle_connection_timeout=parts.settings["CALLER_SILENT_S"],
            max_body_size=MAX_QUERY_BODY_BYTES,
        )
        server.add_sockets(listeners.metrics)
        servers.append(server)
    else:
        routes += metrics_routes(parts.queries)
    application = Application(
        routes,
        default_handler_class=UnknownHandler,
        log_function=lambda handler: None,
    )
    server = CallerServer(
        application,
        settings=parts.settings,
        account=account,
        ssl_options=listeners.tls,
    )
    server.add_sockets(listeners.callers)
    servers.append(server)
    return servers


def _caller_routes(parts: ServerParts) -> list:
    """Return the routes of callers, and those of operators, which need signatures."""
    status, guard = parts.status, parts.guard
    routes = caller_routes(parts.callers) + query_routes(parts.queries)
    routes += operator_routes(guard=guard, keeper=status.keeper, mesh=status.mesh)
    routes += timeline_routes(parts.timeline, guard)
    routes += status_routes(status, guard)
    return routes
