"""Messages of failure detection and of membership exchange."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..peers.codec import Message, register

__all__ = ("MembersQuery", "MembersTable", "Probe", "ProbeAck", "ProbeRequest")

#: an encoded :class:`~greengagelatch.membership.records.MemberUpdate`
EncodedUpdate = tuple[Any, ...]


@register("probe")
@dataclass(frozen=True, slots=True)
class Probe(Message):
    """Asks whether the receiver is alive."""

    sequence: int = 0
    updates: tuple[EncodedUpdate, ...] = ()


@register("probe-ack")
@dataclass(frozen=True, slots=True)
class ProbeAck(Message):
    """Answers a probe; after a :class:`ProbeRequest`, says that the probe succeeded."""

    sequence: int = 0
    updates: tuple[EncodedUpdate, ...] = ()


@register("probe-request")
@dataclass(frozen=True, slots=True)
class ProbeRequest(Message):
    """Requests an indirect probe of ``instance_id`` on behalf of the sender."""

    sequence: int = 0
    instance_id: str = ""
    updates: tuple[EncodedUpdate, ...] = ()


@register("members-query")
@dataclass(frozen=True, slots=True)
class MembersQuery(Message):
    """Requests all members; answered by an empty table if the digests are equal."""

    digest: bytes = b""


@register("members-table")
@dataclass(frozen=True, slots=True)
class MembersTable(Message):
    """Updates of all members known to the sender."""

    updates: tuple[EncodedUpdate, ...] = ()
