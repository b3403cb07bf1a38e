"""Which workspace a caller's key belongs to, by the configuration in force.

::

    table = WorkspaceTable(configuration.workspaces)
    holder = table.holder(request.key_digest)
"""

from .records import Route, Workspace


class WorkspaceTable:
    """The workspaces of one configuration; ``None`` means that callers need no keys."""

    def __init__(self, workspaces: tuple[Workspace, ...] | None):
        self._keyed = workspaces is not None
        self._by_digest: dict[bytes, Workspace] = {}
        for workspace in workspaces or ():
            for digest in workspace.key_digests:
                self._by_digest[digest] = workspace

    @property
    def keyed(self) -> bool:
        """Whether callers have keys, which no target may see."""
        return self._keyed

    def needs_key(self, route: Route) -> bool:
        """Whether a request on a route is served only with a known key."""
        return self._keyed and not route.public

    def holder(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds a key, None if none does."""
        return self._by_digest.get(digest)


def ranked(route: Route, workspace: Workspace | None) -> Route:
    """Return a route with the priority of a workspace's requests."""
    if workspace is None or workspace.priority is None:
        return route
    return route._replace(priority=workspace.priority)
