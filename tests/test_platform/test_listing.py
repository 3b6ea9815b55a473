"""Tests of greengagelatch_platform.listing."""

from __future__ import annotations

import json

import pytest

from greengagelatch_platform.listing import PlatformListingCodec

FIELDS = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "slots": 6,
    "state": "ready",
    "seq-no": 4,
}


def decode(value: bytes):
    return PlatformListingCodec().decode("servers/i-1", value, 9)


def test_entry_is_decoded():
    target = decode(json.dumps(FIELDS).encode()).unwrap()
    assert (target.target_id, target.service, target.slots) == ("i-1", "desk", 6)
    assert (target.leaving, target.revision) == (False, 9)


def test_leaving_target_is_known_by_its_state():
    fields = {**FIELDS, "state": "draining"}
    assert decode(json.dumps(fields).encode()).unwrap().leaving


@pytest.mark.parametrize(
    "change", [{"service": 7}, {"address": "10.0.0.1"}, {"address": "10.0.0.1:x"}]
)
def test_entry_that_can_not_be_read_is_named(change):
    problem = decode(json.dumps({**FIELDS, **change}).encode()).unwrap_err()
    assert problem.file == "servers/i-1"
    assert problem.key in change
    assert decode(b"nothing").is_err()
