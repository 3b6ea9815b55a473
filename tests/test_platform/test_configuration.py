"""Tests of greengagelatch_platform.configuration."""

from __future__ import annotations

import json

import pytest

from greengagelatch.relay.deployment import CallerLimits, RouteKind
from greengagelatch_lab.platform_standins.deployment import create_configuration
from greengagelatch_platform.configuration import PlatformDeploymentCodec


def decode(fields):
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return PlatformDeploymentCodec().decode(value, 17)


def test_configuration_is_decoded_into_internal_types():
    deployment, problems = decode(create_configuration()).unwrap()
    assert problems == ()
    assert (deployment.version, deployment.revision, deployment.requires_key) == (
        3,
        17,
        True,
    )
    draft = next(route for route in deployment.routes if route.name == "draft")
    assert draft.kind is RouteKind.STREAMING
    assert (draft.timeout, draft.objective, draft.longest_pause) == (3.0, 0.5, 0.25)
    assert [stage.after for stage in draft.stages] == [(), (0,)]
    assert draft.split == (("llm", 1.0),)
    maker = deployment.services["portal"].maker
    assert (maker.batch, maker.call_seconds, maker.result_memory_bytes) == (
        8,
        0.03,
        10_000_000,
    )
    assert deployment.services["llm"].engine.token_capacity == 100_000
    assert deployment.workspaces[0].keys == ("key-of-north",)


def test_fields_of_cold_targets_and_regions_are_decoded():
    fields = create_configuration()
    fields["routes"][0]["allowed-regions"] = ["red", "green"]
    fields["tenants"][0]["allowed-regions"] = ["red"]
    deployment, problems = decode(fields).unwrap()
    assert problems == ()
    assert deployment.routes[0].regions == {"red", "green"}
    assert deployment.routes[1].regions == frozenset()
    assert deployment.workspaces[0].regions == {"red"}
    desk = deployment.services["desk"]
    assert (desk.cold_seconds, desk.cold_rate) == (3.0, 2.0)


@pytest.mark.parametrize("name", ["cold-start-s", "cold-per-s"])
@pytest.mark.parametrize("value", ["3", -1, True, 10**400])
def test_invalid_field_of_cold_targets_is_named(name, value):
    fields = create_configuration()
    fields["services"][0][name] = value
    deployment, problems = decode(fields).unwrap()
    assert [problem.key for problem in problems] == [name]
    assert "desk" not in deployment.services
    assert "llm" in deployment.services


def test_workspace_with_invalid_regions_is_rejected():
    """Guards against requests that leave their regions for a mistake in a list."""
    fields = create_configuration()
    fields["tenants"][0]["allowed-regions"] = "red"
    deployment, problems = decode(fields).unwrap()
    assert [problem.key for problem in problems] == ["allowed-regions"]
    assert deployment.workspaces == ()


def test_traffic_split_between_services_is_decoded():
    fields = create_configuration()
    route = fields["routes"][0]
    del route["service"]
    route["split"] = [
        {"service": "desk", "weight": 90},
        {"service": "new", "weight": 10},
    ]
    deployment, _ = decode(fields).unwrap()
    assert deployment.routes[0].split == (("desk", 90), ("new", 10))


def test_configuration_without_workspaces_requires_no_key():
    fields = create_configuration()
    del fields["tenants"]
    deployment, _ = decode(fields).unwrap()
    assert not deployment.requires_key


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"route-kind": "odd"}, "route-kind"),
        ({"prefix": "x/"}, "prefix"),
        ({"timeout-ms": "long"}, "timeout-ms"),
        ({"timeout-ms": -1}, "timeout-ms"),
        ({"timeout-ms": 10**400}, "timeout-ms"),
        ({"timeout-ms": 1e30}, "timeout-ms"),
        ({"priority": 10**400}, "priority"),
        ({"stages": [{"service": "portal", "bytes": 10**400}]}, "bytes"),
        ({"service": None}, "service"),
        ({"stages": [{"service": "portal", "after": ["0"]}]}, "after"),
        ({"public": "yes"}, "public"),
        ({"allowed-regions": "red"}, "allowed-regions"),
        ({"allowed-regions": ["red", 1]}, "allowed-regions"),
    ],
)
def test_invalid_route_is_rejected_and_reported(change, key):
    fields = create_configuration()
    count = len(fields["routes"])
    fields["routes"][1] |= change
    deployment, problems = decode(fields).unwrap()
    assert len(deployment.routes) == count - 1
    assert [problem.key for problem in problems] == [key]
    assert problems[0].section == "routes[1]"


def test_number_with_too_many_digits_rejects_only_its_route():
    """Guards against a configuration that is dropped whole for one number.

    Python refuses to decode integers of more than 4,300 digits.
    """
    value = json.dumps(create_configuration()).encode()
    assert value.count(b'"timeout-ms": 3000') >= 1
    long = value.replace(b'"timeout-ms": 3000', b'"timeout-ms": ' + b"9" * 5000, 1)
    deployment, problems = decode(long).unwrap()
    routes = create_configuration()["routes"]
    assert len(deployment.routes) == len(routes) - 1
    assert [problem.key for problem in problems] == ["timeout-ms"]


@pytest.mark.parametrize(
    "limits", [{"max-body-bytes": 10**400}, {"idle-timeout-ms": "long"}, []]
)
def test_invalid_limits_are_replaced_by_the_defaults(limits):
    """Guards against a configuration that is dropped whole for a limit."""
    fields = create_configuration(limits=limits)
    deployment, problems = decode(fields).unwrap()
    assert deployment.limits == CallerLimits()
    assert len(deployment.routes) == len(fields["routes"])
    assert [problem.section for problem in problems] == ["limits"]


@pytest.mark.parametrize("value", [b"", b"[]", b"\xff", b"{}", b'{"version": "7"}'])
def test_malformed_configuration_is_an_error(value):
    assert decode(value).is_err()


def test_unknown_fields_are_ignored():
    fields = create_configuration(novelty=1)
    fields["routes"][0]["novelty"] = {}
    _, problems = decode(fields).unwrap()
    assert problems == ()
