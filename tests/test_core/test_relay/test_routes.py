"""Tests of greengagelatch.relay.routes."""

from __future__ import annotations

import pytest

from greengagelatch.relay.deployment import (
    Deployment,
    Route,
    RoutedWorkspace,
    RouteKind,
)
from greengagelatch.relay.routes import RouteTable


def create_route(name: str, host: str, prefix: str) -> Route:
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=RouteKind.SAFE,
        timeout=1.0,
        objective=0.1,
    )


TABLE = RouteTable(
    Deployment(
        version=1,
        routes=(
            create_route("short", "a.example", "/x/"),
            create_route("long", "a.example", "/x/y/"),
            create_route("root", "b.example", "/"),
        ),
        workspaces=(RoutedWorkspace(name="north", keys=("k-1", "k-2")),),
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x/", "short"),
        ("a.example", "/x/z?next=/x/y/", "short"),
        ("A.Example", "/x/y/", "long"),
        ("a.example:80", "/x/1", "short"),
        ("b.example", "/anything", "root"),
    ],
)
def test_longest_prefix_of_the_host_is_chosen(host, path, name):
    assert TABLE.find_route(host, path).name == name


@pytest.mark.parametrize(
    ("host", "path"),
    [
        ("a.example", "/x"),
        ("a.example", "/xy/"),
        ("c.example", "/x/"),
        ("a.example", "x/"),
        ("", "/x/"),
    ],
)
def test_no_route_is_found_for_other_paths(host, path):
    assert TABLE.find_route(host, path) is None


def test_path_is_compared_as_sent():
    """Guards against a request that reaches a target outside of its route.

    A prefix in percent encoding, or a path with ``..``, was normalized for the lookup
    but passed on as sent.
    """
    assert TABLE.find_route("a.example", "/%78/y/1") is None
    assert TABLE.find_route("a.example", "/x/../z/y/").name == "short"


def test_workspace_is_found_by_each_of_its_keys():
    assert TABLE.find_workspace("k-2").name == "north"
    assert TABLE.find_workspace("k-3") is None
    assert TABLE.find_workspace("") is None
