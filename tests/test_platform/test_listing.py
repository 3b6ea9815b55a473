"""Tests of greengagelatch_platform.listing."""

from __future__ import annotations

import json

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch_platform.listing import PlatformListingCodec

FIELDS = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "slots": 6,
    "state": "ready",
    "version": "v1",
    "cold-left-ms": 0,
    "seq-no": 4,
}


def decode(value: bytes):
    return PlatformListingCodec().decode("servers/i-1", value, 9)


def test_entry_is_decoded():
    target = decode(json.dumps(FIELDS).encode()).unwrap()
    assert (target.target_id, target.service, target.slots) == ("i-1", "desk", 6)
    assert (target.leaving, target.revision) == (False, 9)


def test_start_time_is_part_of_the_incarnation():
    assert decode(json.dumps(FIELDS).encode()).unwrap().incarnation == Incarnation(
        "i-1"
    )
    fields = {**FIELDS, "born": 1_700_000_000_123}
    target = decode(json.dumps(fields).encode()).unwrap()
    assert target.incarnation == Incarnation("i-1", 1_700_000_000_123)


@pytest.mark.parametrize("born", [True, 1.0, 1.7e12, "1700000000123", -1, [5], 2**63])
def test_entry_with_an_invalid_start_time_is_rejected(born):
    problem = decode(json.dumps({**FIELDS, "born": born}).encode()).unwrap_err()
    assert problem.key == "born"


@pytest.mark.parametrize("state", ["resting", "READY", "", 1, None, True])
def test_entry_with_an_unknown_state_is_rejected(state):
    """Guards against routing requests to a target whose state is not ready.

    Only "ready" may count as ready: an entry with a state unknown to the protocol
    must not.
    """
    problem = decode(json.dumps({**FIELDS, "state": state}).encode()).unwrap_err()
    assert problem.key == "state"


@pytest.mark.parametrize("name", sorted(FIELDS))
def test_entry_with_a_missing_field_is_rejected(name):
    fields = {key: value for key, value in FIELDS.items() if key != name}
    assert decode(json.dumps(fields).encode()).unwrap_err().key == name


@pytest.mark.parametrize(
    ("value", "version"),
    [("v1.2", "v1.2"), (1.2, "1.2"), (True, "true"), ([1, "a"], '[1, "a"]')],
)
def test_software_version_may_be_of_any_type(value, version):
    target = decode(json.dumps({**FIELDS, "version": value}).encode()).unwrap()
    assert target.software_version == version


def test_unwieldy_software_versions_are_told_apart():
    versions = ["v" * 10_000, "v" * 10_001, "", "v\n1", "v\ud800"]
    found = {
        decode(json.dumps({**FIELDS, "version": one}).encode()).unwrap()
        for one in versions
    }
    shown = {one.software_version for one in found}
    assert len(shown) == len(versions)
    assert all(0 < len(one) <= 64 and one.isprintable() for one in shown)


@pytest.mark.parametrize("target_id", ["", "i\r\nX: y", "\u00e9", "i\u2028"])
def test_id_that_is_no_valid_header_value_is_rejected(target_id):
    value = json.dumps(FIELDS).encode()
    assert PlatformListingCodec().decode(f"servers/{target_id}", value, 9).is_err()


def test_draining_target_is_decoded_as_leaving():
    fields = {**FIELDS, "state": "draining"}
    assert decode(json.dumps(fields).encode()).unwrap().leaving


@pytest.mark.parametrize(
    "change",
    [
        {"service": 7},
        {"service": ""},
        {"zone": "\ud800"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:x"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "somewhere:80"},
        {"address": "10.0.0.1\r\nX: y:80"},
        {"slots": "6"},
        {"slots": True},
        {"seq-no": 1.5},
        {"cold-left-ms": "0"},
    ],
)
def test_problem_names_the_entry_and_the_invalid_field(change):
    problem = decode(json.dumps({**FIELDS, **change}).encode()).unwrap_err()
    assert problem.file == "servers/i-1"
    assert problem.key in change
    assert decode(b"nothing").is_err()
