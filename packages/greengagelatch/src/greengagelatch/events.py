"""In-process event bus that decouples the components of an instance."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Any

__all__ = ("EventBus", "UnknownEventError")

logger = logging.getLogger(__name__)

Listener = Callable[..., None]


class UnknownEventError(LookupError):
    """An event was used that no component has declared."""


class EventBus:
    """Synchronous publish and subscribe inside one process.

    An exception in a listener is logged and the remaining listeners are called: one
    failing component must not keep the others from receiving an event, such as that
    a target is leaving.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._listeners: dict[str, list[Listener]] = defaultdict(list)

    def declare(self, name: str) -> None:
        """Declare the event ``name``; repeated declarations have no effect."""
        self._names.add(name)

    def connect(self, name: str, listener: Listener) -> None:
        """Subscribe ``listener`` to the event ``name``."""
        self._check(name)
        self._listeners[name].append(listener)

    def emit(self, name: str, *args: Any) -> None:
        """Call all listeners of ``name``, in the order in which they subscribed."""
        self._check(name)
        for listener in self._listeners[name]:
            try:
                listener(*args)
            except Exception:
                logger.exception("listener for event %r raised an exception", name)

    def _check(self, name: str) -> None:
        if name in self._names:
            return
        msg = f"unknown event {name!r}; declared: {sorted(self._names)}"
        raise UnknownEventError(msg)
