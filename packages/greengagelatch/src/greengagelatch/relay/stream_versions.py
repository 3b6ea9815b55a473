"""Software versions that began streams, and the instances that remember them.

A stream may go on only at the version that began it. The caller of an interrupted one
returns to any instance, with no more than the id of the attempt that began it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..peers import Member

__all__ = (
    "COPIES",
    "MEMORY_SECONDS",
    "UNDECIDED",
    "StreamOrigin",
    "StreamVersions",
    "find_group",
    "rank_keepers",
)

#: seconds for which a version is remembered: longer than a caller takes up a stream
MEMORY_SECONDS = 60.0
#: version that is told of a stream before it is sent to another version than before.
#: No target has it, so that an earlier release refuses to go on with the stream
UNDECIDED = "\0"
#: most streams that are remembered
MAX_STREAMS = 20_000
#: instances that remember each stream beside the one that sends it to a target
COPIES = 3
#: groups that streams are divided into by their ids. Each group has the same keepers,
#: so that an instance has links to few of them
GROUPS = 4


def find_group(request_id: str) -> int:
    """Return the number of the group that a stream belongs to."""
    return compute_weight("", request_id) % GROUPS


def rank_keepers(group: int, members: Collection[Member]) -> tuple[str, ...]:
    """Return instance ids in the order in which they are to remember a group.

    The first ones are in different data centres, so that one that is cut off leaves a
    copy on either side. Instances with the same view agree without coordination.
    """
    key = f"streams-{group}"
    ranked = sorted(
        members,
        key=lambda one: (compute_weight(one.instance_id, key), one.instance_id),
    )
    found: dict[str, Member] = {}
    for member in ranked:
        found.setdefault(member.data_centre, member)
    first = [one.instance_id for one in found.values()][:COPIES]
    rest = [one.instance_id for one in ranked if one.instance_id not in first]
    return (*first, *rest)


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream has begun."""

    #: empty: not known, as an earlier release told it
    service: str
    software_version: str


@dataclass(frozen=True, slots=True)
class _Stream:
    origin: StreamOrigin
    #: monotonic time until which it is remembered
    until: float
    #: instances that were told where it was sent to
    told: frozenset[str] = frozenset()
    #: whether it is sent to no other version, though it may not have begun
    bound: bool = False


class StreamVersions:
    """Origins of streams by the attempt's id: where they were last sent to.

    A target that brings no event binds nothing: the next one that the request is sent
    to replaces it. One that has brought events is replaced by none of another version.
    """

    def __init__(self) -> None:
        #: least recently recorded first
        self._streams: OrderedDict[str, _Stream] = OrderedDict()

    def __len__(self) -> int:
        return len(self._streams)

    def record(
        self,
        request_id: str,
        origin: StreamOrigin,
        now: float,
        told: Collection[str] = (),
    ) -> None:
        """Record where a request is sent to.

        :param told: instances that are told of it
        """
        known = self._streams.get(request_id)
        told = self.list_told(request_id).union(told)
        bound = known is not None and known.bound
        stream = _Stream(origin, now + MEMORY_SECONDS, told, bound)
        self._streams[request_id] = stream
        self._streams.move_to_end(request_id)
        while self._streams:
            oldest = next(iter(self._streams))
            if len(self) <= MAX_STREAMS and self._streams[oldest].until > now:
                return
            del self._streams[oldest]

    def list_told(self, request_id: str) -> frozenset[str]:
        """Return the instances that were told of a stream, of any of its sends."""
        known = self._streams.get(request_id)
        return frozenset() if known is None else known.told

    def bind(self, request_id: str) -> None:
        """Record that a stream is sent to no other version."""
        known = self._streams.get(request_id)
        if known is not None:
            self._streams[request_id] = replace(known, bound=True)

    def find_bound(self, request_id: str) -> str | None:
        """Return the only version that a stream is sent to; ``None``: any."""
        known = self._streams.get(request_id)
        if known is None or not known.bound:
            return None
        return known.origin.software_version

    def forget(self, request_id: str) -> None:
        """Forget where a stream was sent to."""
        self._streams.pop(request_id, None)

    def list_remembered(self, now: float) -> list[tuple[str, StreamOrigin]]:
        """Return the streams that are remembered, and their origins."""
        return [
            (request_id, stream.origin)
            for request_id, stream in self._streams.items()
            if stream.until > now
        ]

    def find(self, request_id: str, now: float) -> StreamOrigin | None:
        """Return where a stream has begun; ``None`` if it is not known."""
        known = self._streams.get(request_id)
        return None if known is None or known.until <= now else known.origin
