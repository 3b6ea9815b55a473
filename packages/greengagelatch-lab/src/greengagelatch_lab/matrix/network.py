"""Simulated network with latency and partitions."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from .processes import schedule_outside

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("PLATFORM", "Network", "Pipe")

#: location of the platform's services
PLATFORM = "platform"
#: base latency in seconds within a place and between two places
LOCAL_LATENCY = 0.0003
REMOTE_LATENCY = 0.001
#: fraction of partitions that affect one direction only
ONE_WAY_FRACTION = 0.3
#: minimum seconds between two arrivals in the same direction of a connection
MIN_ARRIVAL_GAP = 0.00001


class Network:
    """Places and the partitions between them, which drop messages silently."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        #: pairs of sending and receiving place between which messages are dropped
        self.partitions: set[tuple[str, str]] = set()

    def partition(self, one: str, other: str) -> None:
        """Partition two places in both directions."""
        self.partitions |= {(one, other), (other, one)}

    def partition_randomly(self, one: str, other: str) -> None:
        """Partition two places, in both directions or in a random one."""
        directions = [(one, other), (other, one)]
        if self._random.random() < ONE_WAY_FRACTION:
            directions = [self._random.choice(directions)]
        self.partitions.update(directions)

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitions.clear()

    def reaches(self, sender: str, receiver: str) -> bool:
        """Whether messages from one place reach the other."""
        return (sender, receiver) not in self.partitions

    def draw_latency(self, sender: str, receiver: str) -> float:
        """Return the latency of one message, in seconds."""
        base = LOCAL_LATENCY if sender == receiver else REMOTE_LATENCY
        return base * self._random.uniform(0.8, 1.5)


class Pipe:
    """One direction of a connection, which delivers in order."""

    def __init__(self) -> None:
        self._last = 0.0

    def carry(self, latency: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call ``callback`` after ``latency`` seconds and all earlier deliveries."""
        now = asyncio.get_running_loop().time()
        self._last = max(now + latency, self._last + MIN_ARRIVAL_GAP)
        schedule_outside(self._last - now, callback, *args)
