"""What an instance may use of its machine, and how much of that it uses."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("BUSY_SHARE", "Capacity", "Usage", "is_busy")

#: processor seconds, and bytes sent, that an owner of stage work spends on each bundle
#: of pieces: it takes it in, calls makers, answers, and has its results freed
BUNDLE_SECONDS = 0.0025
BUNDLE_BYTES = 3000
#: share of a resource from which an instance counts as busy, and below which it does
#: not any more; apart, so that one near the limit is told of once
BUSY_SHARE = 0.8
RELIEVED_SHARE = 0.6
#: the same for the lateness of the event loop, in seconds
BUSY_LAG = 0.1
RELIEVED_LAG = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """What an instance may use; 0 where its settings don't tell."""

    #: seconds of processor in a second
    cores: float = 0.0
    #: bytes that its network link carries in a second
    link_bytes: float = 0.0

    @property
    def bundles(self) -> int:
        """Bundles of stage work that it can gather in a second; 0: not told.

        The scarcer resource decides. A processor that is not told of counts for
        nothing, as does such a link, unless neither is.
        """
        rates = []
        if self.cores > 0:
            rates.append(self.cores / BUNDLE_SECONDS)
        if self.link_bytes > 0:
            rates.append(self.link_bytes / BUNDLE_BYTES)
        return int(min(rates, default=0))


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What an instance used of its capacity in the last second."""

    #: share of the time in which its event loop was at work
    work: float
    #: share of its network link, sending; 0 where the capacity is not told
    link: float
    #: seconds by which the event loop was late
    lag: float


def is_busy(usage: Usage, before: bool) -> bool:
    """Whether an instance is short of processor or link, given whether it was."""
    share = RELIEVED_SHARE if before else BUSY_SHARE
    lag = RELIEVED_LAG if before else BUSY_LAG
    return max(usage.work, usage.link) >= share or usage.lag >= lag
