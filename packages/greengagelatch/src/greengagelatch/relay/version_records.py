"""Record of the software versions that may have begun streams of each service.

It is kept in the store, as no instance remembers what was listed before all of them
have started again.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .service_versions import ServiceVersions

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = (
    "MAX_VERSIONS",
    "RETIRED_SECONDS",
    "VersionRecord",
    "decode_record",
    "describe_record",
    "encode_record",
    "update_record",
)

#: most versions of a service that are recorded
MAX_VERSIONS = 64
#: seconds for which a version begins no streams before it is dropped: longer than a
#: write may take, and than an instance that is not cut off knows an older record
RETIRED_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """Versions by service that have begun streams lately, or may begin some."""

    services: Mapping[str, frozenset[str]] = field(default_factory=dict)
    #: those of them that begin none any more
    retired: Mapping[str, frozenset[str]] = field(default_factory=dict)
    #: whether no other version can have begun a stream that its caller takes up
    complete: bool = True
    #: instances that may have read the record, by address, and the periods for which
    #: each has been missing
    instances: Mapping[str, int] = field(default_factory=dict)

    def list_versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service that may have begun streams."""
        return self.services.get(service, frozenset())

    def list_retired(self, service: str) -> frozenset[str]:
        """Return the versions of a service that begin no streams any more."""
        return self.retired.get(service, frozenset())

    def list_active(self, service: str) -> frozenset[str]:
        """Return the versions of a service that may begin streams."""
        return self.list_versions(service) - self.list_retired(service)


def update_record(
    record: VersionRecord,
    services: Collection[str],
    seen: ServiceVersions,
    now: float,
    instances: Mapping[str, int] | None = None,
    is_held: bool = False,
) -> VersionRecord:
    """Return the record with what one instance has seen.

    A version is added at once if there is room: none is dropped for it that may have
    begun streams. One that an instance has not seen for as long as streams last, though
    it has seen all that was listed, is retired first, and dropped later: a write that
    drops it may be late, and must fail if the version is listed again meanwhile.

    :param services: services that answer by streams
    :param instances: as in the record; ``None``: as they are
    :param is_held: whether an instance may have missed that versions are retired, and
        none is dropped
    """
    is_certain = bool(services) and all(
        seen.is_certain(service, now) for service in services
    )
    versions: dict[str, frozenset[str]] = {}
    retired: dict[str, frozenset[str]] = {}
    for service in {*services, *record.services}:
        # a service without a route is judged by what is known of the others
        certain = seen.is_certain(service, now) if service in services else is_certain
        kept, ended = _update_service(record, service, seen, certain, now, is_held)
        if kept:
            versions[service] = kept
        if ended:
            retired[service] = ended
    if instances is None:
        instances = record.instances
    if not versions:
        instances = {}
    is_complete = record.complete or is_certain
    return VersionRecord(versions, retired, is_complete, instances)


def _update_service(
    record: VersionRecord,
    service: str,
    seen: ServiceVersions,
    certain: bool,
    now: float,
    is_held: bool,
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the versions of a service, and those of them that are retired."""
    kept = record.list_versions(service)
    retired = record.list_retired(service) - seen.list_listed(service)
    lately = seen.list_lately(service, now)
    added = seen.sort_by_time(service, lately - kept)
    if certain:
        dropped = retired & seen.list_retired(service, RETIRED_SECONDS, now)
        if is_held:
            # those that are held make room
            excess = max(0, len(kept) + len(added) - MAX_VERSIONS)
            dropped = frozenset(sorted(dropped)[:excess])
        kept -= dropped
        retired = (retired | (kept - lately)) - dropped
    room = max(0, MAX_VERSIONS - len(kept))
    return kept | frozenset(added[:room]), retired


def describe_record(record: VersionRecord) -> dict[str, Any]:
    """Return what operators see of a record."""
    return {
        "complete": record.complete,
        "recorded": _encode_versions(record.services),
        "retired": _encode_versions(record.retired),
    }


def encode_record(record: VersionRecord) -> bytes:
    """Return the value of a record in the store."""
    fields = {
        "complete": record.complete,
        "services": _encode_versions(record.services),
        "retired": _encode_versions(record.retired),
    }
    if record.instances:
        fields["instances"] = dict(record.instances)
    return json.dumps(fields, sort_keys=True).encode()


def decode_record(value: bytes) -> VersionRecord:
    """Return the record that a value of the store holds.

    :raises ValueError: if it holds none
    """
    try:
        fields = json.loads(value)
        # an earlier release writes the versions of services only
        return VersionRecord(
            _decode_versions(fields["services"]),
            _decode_versions(fields.get("retired", {})),
            fields.get("complete", True) is True,
            _read_instances(fields.get("instances", {})),
        )
    except (KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"no record of versions: {error}") from error


def _encode_versions(
    services: Mapping[str, frozenset[str]],
) -> dict[str, list[str]]:
    return {name: sorted(versions) for name, versions in services.items()}


def _decode_versions(rows: dict[str, object]) -> dict[str, frozenset[str]]:
    return {str(name): _read_versions(row) for name, row in rows.items()}


def _read_instances(rows: dict[str, object]) -> dict[str, int]:
    for periods in rows.values():
        if type(periods) is not int:
            raise TypeError(f"{periods!r} is no number of periods")
    return {str(address): periods for address, periods in rows.items()}


def _read_versions(row: object) -> frozenset[str]:
    if not isinstance(row, list) or not all(isinstance(one, str) for one in row):
        raise TypeError(f"{row!r} is no list of versions")
    return frozenset(row)
