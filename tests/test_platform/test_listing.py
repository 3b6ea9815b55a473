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


def test_start_of_a_target_is_its_incarnation():
    assert decode(json.dumps(FIELDS).encode()).unwrap().incarnation == Incarnation(
        "i-1"
    )
    fields = {**FIELDS, "born": 1_700_000_000_123}
    target = decode(json.dumps(fields).encode()).unwrap()
    assert target.incarnation == Incarnation("i-1", 1_700_000_000_123)


@pytest.mark.parametrize("born", [True, 1.0, 1.7e12, "1700000000123", -1, [5], 2**63])
def test_start_that_is_no_whole_number_names_no_target(born):
    problem = decode(json.dumps({**FIELDS, "born": born}).encode()).unwrap_err()
    assert problem.key == "born"


@pytest.mark.parametrize("state", ["resting", "READY", "", 1, None, True])
def test_state_that_is_not_known_names_no_target(state):
    """Symptom: requests go to a target that must not have them.

    Sequence: an entry has a state that no page names.
    Cause: any state but one counted as ready.
    """
    problem = decode(json.dumps({**FIELDS, "state": state}).encode()).unwrap_err()
    assert problem.key == "state"


@pytest.mark.parametrize("name", sorted(FIELDS))
def test_entry_without_a_field_names_no_target(name):
    fields = {key: value for key, value in FIELDS.items() if key != name}
    assert decode(json.dumps(fields).encode()).unwrap_err().key == name


@pytest.mark.parametrize("target_id", ["", "i\r\nX: y", "\u00e9", "i\u2028"])
def test_id_that_no_header_can_carry_names_no_target(target_id):
    value = json.dumps(FIELDS).encode()
    assert PlatformListingCodec().decode(f"servers/{target_id}", value, 9).is_err()


def test_leaving_target_is_known_by_its_state():
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
def test_entry_that_can_not_be_read_is_named(change):
    problem = decode(json.dumps({**FIELDS, **change}).encode()).unwrap_err()
    assert problem.file == "servers/i-1"
    assert problem.key in change
    assert decode(b"nothing").is_err()
