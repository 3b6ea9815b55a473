"""Parsing and encoding of listing rows from the platform and from peers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from . import Instance, InstanceKind, InstanceState, Listing
from .messages import ListingPage

__all__ = ("PAGE_ROWS", "build_page", "decode_row", "encode_row", "parse_row")

#: rows per page, about 50 kB; larger frames would delay heartbeats on the same link
PAGE_ROWS = 500

#: fields of a row, in their order on the wire between peers
FIELDS = ("id", "kind", "data_centre", "address", "state", "service")

HIGHEST_PORT = 65535


def parse_row(row: Any) -> Instance | None:
    """Parse a row from the platform; return ``None`` if it is invalid."""
    try:
        instance = Instance(
            instance_id=row["id"],
            kind=InstanceKind(row["kind"]),
            data_centre=row["data_centre"],
            address=row["address"],
            state=InstanceState(row["state"]),
            service=row.get("service") or "",
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    texts = (
        instance.instance_id,
        instance.data_centre,
        instance.address,
        instance.service,
    )
    if not all(isinstance(text, str) for text in texts):
        return None
    if not instance.instance_id or not _is_endpoint(instance.address):
        return None
    if instance.kind is InstanceKind.TARGET and not instance.service:
        return None
    return instance


def encode_row(instance: Instance) -> tuple[str, ...]:
    """Return the row of an instance in the peers' wire format."""
    return (
        instance.instance_id,
        instance.kind.value,
        instance.data_centre,
        instance.address,
        instance.state.value,
        instance.service,
    )


def decode_row(row: Any) -> Instance | None:
    """Parse a row from a peer; return ``None`` if it is invalid."""
    if not isinstance(row, tuple) or len(row) < len(FIELDS):
        return None
    fields: Mapping[str, Any] = dict(zip(FIELDS, row, strict=False))
    return parse_row(fields)


def build_page(listing: Listing, offset: int) -> ListingPage:
    """Return the page of a listing that starts at the row ``offset``."""
    instances = listing.instances[offset : offset + PAGE_ROWS]
    rows = tuple(encode_row(instance) for instance in instances)
    return ListingPage(listing.as_of, len(listing.instances), offset, rows)


def _is_endpoint(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdecimal() and int(port) <= HIGHEST_PORT
