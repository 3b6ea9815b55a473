"""Sources of time."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

__all__ = ("Clock", "ManualClock", "SystemClock")


class Clock(ABC):
    """A source of monotonic and of wall-clock time, both in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds; only differences have a meaning."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch; it may jump."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to, for decision-level tests."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move both readings forward by ``seconds``."""
        self._now += seconds
