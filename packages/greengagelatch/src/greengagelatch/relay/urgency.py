"""Priority rank of a request, from the priorities of its workspace and route."""

from __future__ import annotations

__all__ = ("compute_rank",)

#: number of priority levels of routes
ROUTE_PRIORITIES = 3
#: weight of one level of a route relative to one of a workspace: less than a half, so
#: that the workspace takes precedence over all levels of a route
ROUTE_SHARE = 0.45


def compute_rank(route_priority: int, workspace_priority: int | None) -> float:
    """Return the rank of a request; 0 is the most urgent.

    The priority of the workspace takes precedence over that of the route. The route's
    priority still orders requests of workspaces with the same priority; without it,
    drafts and chats were served before the summaries that operators rank first.
    """
    route = min(route_priority, ROUTE_PRIORITIES - 1) * ROUTE_SHARE
    return (workspace_priority or 0) + route
