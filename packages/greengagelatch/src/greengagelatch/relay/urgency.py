"""How urgent a request is, by the priorities that operators set."""

from __future__ import annotations

__all__ = ("compute_rank",)

#: ranks of routes' priorities, of which the operators use three
ROUTE_PRIORITIES = 3
#: share of a workspace's rank that one rank of a route counts for: less than a half,
#: so that the workspace goes before all of them
ROUTE_SHARE = 0.45


def compute_rank(route_priority: int, workspace_priority: int | None) -> float:
    """Return the rank of a request; 0 is the most urgent.

    A workspace's priority goes before its route's. Among requests of one workspace,
    or of several with the same priority, the route's still counts: taken for
    nothing, drafts and chats came before the summaries that operators rank first.
    """
    route = min(route_priority, ROUTE_PRIORITIES - 1) * ROUTE_SHARE
    return (workspace_priority or 0) + route
