"""Probes that are pending until they are acknowledged."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

__all__ = ("PendingProbe", "PendingProbes")

#: maximum number of pending probes; the oldest is dropped when it is exceeded
MAX_PENDING = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingProbe:
    """A probe that was sent and is not yet acknowledged."""

    instance_id: str
    #: monotonic seconds at which the probe was sent
    sent: float
    #: requester and its sequence number if this is an indirect probe for another
    #: instance
    origin: tuple[str, int] | None = None
    #: whether indirect probes have been requested
    indirect_requested: bool = False


class PendingProbes:
    """Pending probes by sequence number."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, PendingProbe] = {}

    def add(
        self, now: float, instance_id: str, origin: tuple[str, int] | None = None
    ) -> int:
        """Register a probe and return its sequence number."""
        self._sequence += 1
        if len(self._probes) >= MAX_PENDING:
            del self._probes[next(iter(self._probes))]
        self._probes[self._sequence] = PendingProbe(
            instance_id=instance_id, sent=now, origin=origin
        )
        return self._sequence

    def awaits(self, instance_id: str) -> bool:
        """Whether a probe of an instance is pending."""
        return any(item.instance_id == instance_id for item in self._probes.values())

    def pop(self, sequence: int) -> PendingProbe | None:
        """Remove and return a probe, or ``None`` if it is no longer pending."""
        return self._probes.pop(sequence, None)

    def start_indirect(self, before: float) -> list[tuple[int, PendingProbe]]:
        """Return probes sent up to ``before`` that now need indirect probes.

        Probes on behalf of others are left out, and each probe is returned only once.
        """
        found = []
        for sequence, probe in self._probes.items():
            if (
                probe.origin is not None
                or probe.indirect_requested
                or probe.sent > before
            ):
                continue
            found.append((sequence, probe))
        for sequence, probe in found:
            self._probes[sequence] = dataclasses.replace(probe, indirect_requested=True)
        return found

    def pop_failed(self, before: float) -> list[PendingProbe]:
        """Remove and return the unanswered probes sent up to ``before``."""
        failed = [
            sequence for sequence, probe in self._probes.items() if probe.sent <= before
        ]
        return [self._probes.pop(sequence) for sequence in failed]

    def clear(self) -> None:
        """Drop all pending probes without treating them as failed."""
        self._probes.clear()
