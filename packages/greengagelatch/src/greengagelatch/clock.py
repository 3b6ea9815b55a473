"""Monotonic and wall-clock time, with a manual clock for tests."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

__all__ = ("Clock", "ManualClock", "SystemClock")


class Clock(ABC):
    """A source of monotonic and of wall-clock time, both in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds; only differences between readings are valid."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, which may jump when the clock is set."""


class SystemClock(Clock):
    """The operating system's clocks."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock(Clock):
    """A clock that moves only by :meth:`advance`, for deterministic tests."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance both clocks by ``seconds``."""
        self._now += seconds
