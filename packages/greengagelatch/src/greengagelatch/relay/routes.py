"""Lookup of routes by host and path, and of workspaces by API key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .deployment import Deployment, Route, RoutedWorkspace

__all__ = ("RouteTable",)


class RouteTable:
    """Lookup tables for the routes and API keys of one deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self._routes: dict[str, dict[str, Route]] = {}
        self._keys: dict[str, RoutedWorkspace] = {}
        for route in deployment.routes:
            self._routes.setdefault(route.host.lower(), {})[route.prefix] = route
        for workspace in deployment.workspaces:
            for key in workspace.keys:
                self._keys[key] = workspace

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        The path is compared as sent: a decoded or normalized path could select a
        route that the target, which receives the raw path, does not serve.

        :param host: value of the ``Host`` header, with or without a port
        """
        name = host.lower()
        prefixes = self._routes.get(name) or self._routes.get(_strip_port(name))
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> RoutedWorkspace | None:
        """Return the workspace to which an API key belongs."""
        return self._keys.get(key)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdecimal() else host
