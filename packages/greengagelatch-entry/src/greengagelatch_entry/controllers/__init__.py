"""Controllers: the parts of the daemon that hold state."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from typing import Any, ClassVar

from mode import Service

__all__ = ("Controller",)


class Controller(Service):
    """A part of the daemon with state of its own, started and stopped with it.

    Controllers are wired by the composition root only; they reach each other
    through interfaces given to their constructors and through named events.
    Background work is a method marked ``@Service.task``.
    """

    # tells mode that the class itself is never started
    abstract: ClassVar[bool] = True

    #: key of this controller in the state dump
    name: str = ""

    #: called when a background task fails; set by the application
    crash_listener: Callable[[Controller, BaseException], None] | None = None

    @abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values, bounded in size."""

    async def crash(self, reason: BaseException) -> None:
        """Record a failed background task and report it.

        The other controllers would go on without this one, serving with a state
        that no longer changes, so the application is told and ends the process.
        """
        await super().crash(reason)
        if self.crash_listener is not None:
            self.crash_listener(self, reason)
