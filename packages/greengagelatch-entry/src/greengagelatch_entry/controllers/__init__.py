"""Base class of the controllers, the stateful services of the entry process."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from typing import Any, ClassVar

from mode import Service

__all__ = ("Controller",)


class Controller(Service):
    """A stateful service that starts and stops with the process.

    Controllers are wired by the composition root only; they reach each other
    through interfaces passed to their constructors and through named events.
    A background task is a method decorated with ``@Service.task``.
    """

    # mode never starts a class marked as abstract
    abstract: ClassVar[bool] = True

    #: key of this controller in the state dump
    name: str = ""

    #: called when a background task fails; set by the application
    crash_listener: Callable[[Controller, BaseException], None] | None = None

    @abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values, bounded in size."""

    async def crash(self, reason: BaseException) -> None:
        """Record a failed background task and notify the application.

        The other controllers would keep serving from state that is no longer
        updated, so the application terminates the process.
        """
        await super().crash(reason)
        if self.crash_listener is not None:
            self.crash_listener(self, reason)
