"""Capacity of an instance and its utilisation."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("BUSY_SHARE", "Capacity", "Usage", "is_busy")

#: processor seconds, and bytes sent, that an owner spends on each bundle: it receives
#: the bundle, calls makers, answers, and releases the results
BUNDLE_SECONDS = 0.0025
BUNDLE_BYTES = 3000
#: utilisation from which an instance counts as busy, and below which it no longer
#: does; the hysteresis avoids repeated reports of an instance near the limit
BUSY_SHARE = 0.8
RELIEVED_SHARE = 0.6
#: the same for the lateness of the event loop, in seconds
BUSY_LAG = 0.1
RELIEVED_LAG = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Resources of an instance; 0 where its settings don't give them."""

    #: processor seconds per second
    cores: float = 0.0
    #: bytes per second that its network link carries
    link_bytes: float = 0.0
    #: bytes of memory of its process
    memory_bytes: float = 0.0
    #: descriptors that its process may have open
    descriptors: int = 0

    @property
    def bundles(self) -> int:
        """Bundles that it can process per second as an owner; 0: unknown.

        The scarcer resource decides; one that is not configured is ignored.
        """
        rates = []
        if self.cores > 0:
            rates.append(self.cores / BUNDLE_SECONDS)
        if self.link_bytes > 0:
            rates.append(self.link_bytes / BUNDLE_BYTES)
        return int(min(rates, default=0))


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Utilisation of an instance in the last second."""

    #: share of the time in which its event loop was busy
    work: float
    #: share of its network link used for sending; 0 where the capacity is unknown
    link: float
    #: lag of the event loop in seconds
    lag: float


def is_busy(usage: Usage, was_busy: bool) -> bool:
    """Return whether an instance is short of processor time or bandwidth.

    :param was_busy: whether it was so far, for the hysteresis
    """
    share = RELIEVED_SHARE if was_busy else BUSY_SHARE
    lag = RELIEVED_LAG if was_busy else BUSY_LAG
    return max(usage.work, usage.link) >= share or usage.lag >= lag
