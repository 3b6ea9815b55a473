"""Named events, through which the parts of a process meet."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Any

__all__ = ("EventBus", "UnknownEventError")

logger = logging.getLogger(__name__)

Listener = Callable[..., None]


class UnknownEventError(LookupError):
    """An event was used that no part has declared."""


class EventBus:
    """Synchronous publish and subscribe inside one process.

    A listener that raises is logged and skipped: one failing part must not keep
    the others from hearing of, say, a leaving target.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._listeners: dict[str, list[Listener]] = defaultdict(list)

    def declare(self, name: str) -> None:
        """Make ``name`` known; declaring it twice is harmless."""
        self._names.add(name)

    def connect(self, name: str, listener: Listener) -> None:
        """Call ``listener`` on every event ``name``."""
        self._check(name)
        self._listeners[name].append(listener)

    def emit(self, name: str, *args: Any) -> None:
        """Call every listener of ``name`` in the order of connection."""
        self._check(name)
        for listener in self._listeners[name]:
            try:
                listener(*args)
            except Exception:
                logger.exception("listener of event %r failed", name)

    def _check(self, name: str) -> None:
        if name in self._names:
            return
        msg = f"unknown event {name!r}; declared: {sorted(self._names)}"
        raise UnknownEventError(msg)
