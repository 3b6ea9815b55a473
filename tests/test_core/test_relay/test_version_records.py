"""Tests of greengagelatch.relay.version_records."""

from __future__ import annotations

import pytest

from greengagelatch.relay.service_versions import ServiceVersions
from greengagelatch.relay.version_records import (
    MAX_VERSIONS,
    RETIRED_SECONDS,
    VersionRecord,
    decode_record,
    encode_record,
    update_record,
)

RECORD = VersionRecord(
    {"llm": frozenset({"v1", "v2"}), "chat": frozenset({"v7"})},
    {"llm": frozenset({"v1"})},
)
ACTIVE = VersionRecord(RECORD.services)


def update_until(seen: ServiceVersions, record: VersionRecord, now: float):
    """Return what is left of a record after versions are retired, and then dropped.

    In between, nothing is dropped that begins streams no more for too short a time.
    """
    retired = update_record(record, ["llm"], seen, now)
    assert retired.services == record.services
    for service in retired.services:
        seen.set_retired(service, retired.list_retired(service), now)
    updated = retired
    for second in range(1, round(RETIRED_SECONDS) + 1):
        assert updated == retired
        later = now + second
        seen.observe("llm", seen.list_listed("llm"), later, later)
        updated = update_record(retired, ["llm"], seen, later)
    return updated


def look(services: ServiceVersions, versions: set[str], seconds: int) -> None:
    for second in range(seconds + 1):
        services.observe("llm", versions, float(second), float(second))


def test_record_survives_its_encoding():
    assert decode_record(encode_record(RECORD)) == RECORD


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b"{}",
        b'{"services": 3}',
        b'{"services": {"llm": "v1"}}',
        b'{"services": {"llm": [1]}}',
        b'{"services": {}, "retired": []}',
        b"\xff",
        b"[" * 100_000,
    ],
)
def test_invalid_records_are_rejected(value):
    with pytest.raises(ValueError):
        decode_record(value)


def test_version_that_is_listed_is_added_at_once():
    seen = ServiceVersions(10.0)
    seen.observe("llm", {"v3"}, 0.0, 0.0)
    updated = update_record(RECORD, ["llm"], seen, 0.0)
    assert updated.services["llm"] == {"v1", "v2", "v3"}
    assert updated.services["chat"] == {"v7"}


def test_version_is_kept_until_an_instance_has_looked_for_long():
    """Guards against an instance that drops what it has not seen, as it has started."""
    seen = ServiceVersions(10.0)
    look(seen, {"v2"}, 9)
    assert update_record(ACTIVE, ["llm"], seen, 9.0) == ACTIVE
    look(seen, {"v2"}, 10)
    assert update_until(seen, ACTIVE, 10.0).services["llm"] == {"v2"}


def test_retired_version_that_is_listed_begins_streams_again():
    """Guards against a version that gets no streams after a rollback."""
    seen = ServiceVersions(10.0)
    look(seen, {"v1", "v2"}, 1)
    updated = update_record(RECORD, ["llm"], seen, 1.0)
    assert updated.list_active("llm") == {"v1", "v2"}


def test_instance_that_has_started_keeps_what_is_retired():
    """Guards against versions that are never dropped, or at once, by a new instance."""
    seen = ServiceVersions(10.0)
    look(seen, {"v2"}, 1)
    assert update_record(RECORD, ["llm"], seen, 1.0) == RECORD


def test_service_without_targets_for_long_is_dropped():
    seen = ServiceVersions(10.0)
    look(seen, set(), 10)
    assert "llm" not in update_until(seen, ACTIVE, 10.0).services


def test_recorded_versions_are_dropped_for_no_others():
    """Guards against a version that has begun streams and ranks last by its name."""
    record = VersionRecord({"llm": frozenset(f"v{n}" for n in range(MAX_VERSIONS))})
    seen = ServiceVersions(10.0)
    seen.observe("llm", {f"w{n}" for n in range(9)}, 0.0, 0.0)
    assert update_record(record, ["llm"], seen, 0.0) == record


def test_version_that_was_listed_last_is_recorded_first():
    """Guards against a new version that waits for those that are gone."""
    seen = ServiceVersions(10.0)
    seen.observe("llm", {f"v{n}" for n in range(2 * MAX_VERSIONS)}, 0.0, 0.0)
    seen.observe("llm", {"v10"}, 1.0, 1.0)
    assert "v10" in update_record(RECORD, ["llm"], seen, 1.0).services["llm"]


def test_versions_of_a_service_are_bounded():
    seen = ServiceVersions(10.0)
    seen.observe("llm", {f"v{number}" for number in range(100)}, 0.0, 0.0)
    assert len(update_record(RECORD, ["llm"], seen, 0.0).services["llm"]) == (
        MAX_VERSIONS
    )


def test_service_that_no_route_leads_to_for_long_is_dropped():
    """Guards against a record that grows until the store takes it no more."""
    seen = ServiceVersions(10.0)
    look(seen, {"v2"}, 10)
    assert set(update_until(seen, ACTIVE, 10.0).services) == {"llm"}


def test_held_versions_make_room_for_others():
    """Guards against versions that begin no streams, as an instance is missing."""
    names = [f"v{number:02}" for number in range(MAX_VERSIONS)]
    full = VersionRecord({"llm": frozenset(names)}, {"llm": frozenset(names[:-1])})
    seen = ServiceVersions()
    for second in range(100):
        seen.observe("llm", {names[-1]}, second, second)
    seen.set_retired("llm", names[:-1], 0.0)
    assert update_record(full, ["llm"], seen, 99.0, {}, True) == full
    seen.observe("llm", {names[-1], "new"}, 100.0, 100.0)
    updated = update_record(full, ["llm"], seen, 100.0, {}, True)
    assert updated.services["llm"] == {*names[1:], "new"}
    dropped = update_record(full, ["llm"], seen, 100.0, {}, False)
    assert dropped.services["llm"] == {names[-1], "new"}


def test_instances_are_read_as_they_were_written():
    record = VersionRecord(RECORD.services, instances={"10.0.0.1:80": 3})
    assert decode_record(encode_record(record)) == record
    for value in (
        b'{"services": {}, "instances": 3}',
        b'{"services": {}, "instances":',
    ):
        with pytest.raises(ValueError):
            decode_record(value)
    with pytest.raises(ValueError):
        decode_record(b'{"services": {}, "instances": {"10.0.0.1:80": "x"}}')


def test_instances_are_not_recorded_where_no_versions_are():
    """Guards against writes for systems that answer by no streams."""
    updated = update_record(
        VersionRecord(), [], ServiceVersions(), 0.0, {"10.0.0.1:80": 0}
    )
    assert updated == VersionRecord()
