"""Record of the software versions that may have begun streams of each service.

It is kept in the store, as no instance remembers what was listed before all of them
have started again.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .service_versions import ServiceVersions

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ("VersionRecord", "decode_record", "encode_record", "update_record")

#: most versions of a service that are recorded
MAX_VERSIONS = 64


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """Versions by service that may begin streams, or have begun some lately."""

    services: Mapping[str, frozenset[str]] = field(default_factory=dict)
    #: whether no other version can have begun a stream that its caller takes up
    complete: bool = True


def update_record(
    record: VersionRecord,
    services: Iterable[str],
    seen: ServiceVersions,
    now: float,
) -> VersionRecord:
    """Return the record with what one instance has seen.

    A version is added at once if there is room: none is dropped for it that may have
    begun streams. It is dropped by an instance that has seen all that was
    listed for as long as streams last; such an instance completes a record, too.

    :param services: services of which streams may be resumed
    """
    services = tuple(services)
    changed = dict(record.services)
    for service in services:
        lately = seen.list_lately(service, now)
        if not seen.is_certain(service, now):
            lately |= record.services.get(service, frozenset())
        if not lately:
            changed.pop(service, None)
            continue
        kept = lately & record.services.get(service, frozenset())
        added = seen.sort_by_time(service, lately - kept)
        room = max(0, MAX_VERSIONS - len(kept))
        changed[service] = kept | frozenset(added[:room])
    is_certain = bool(services) and all(
        seen.is_certain(service, now) for service in services
    )
    if is_certain:
        # the others have had no route for as long, but for those just reported
        for service in changed.keys() - set(services):
            if not seen.list_lately(service, now):
                del changed[service]
    return VersionRecord(changed, record.complete or is_certain)


def encode_record(record: VersionRecord) -> bytes:
    """Return the value of a record in the store."""
    rows = {name: sorted(versions) for name, versions in record.services.items()}
    fields = {"complete": record.complete, "services": rows}
    return json.dumps(fields, sort_keys=True).encode()


def decode_record(value: bytes) -> VersionRecord:
    """Return the record that a value of the store holds.

    :raises ValueError: if it holds none
    """
    try:
        fields = json.loads(value)
        rows = fields["services"].items()
        services = {str(name): _read_versions(row) for name, row in rows}
        # an earlier release writes no "complete"
        return VersionRecord(services, fields.get("complete", True) is True)
    except (KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"no record of versions: {error}") from error


def _read_versions(row: object) -> frozenset[str]:
    if not isinstance(row, list) or not all(isinstance(one, str) for one in row):
        raise TypeError(f"{row!r} is no list of versions")
    return frozenset(row)
