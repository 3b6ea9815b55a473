"""The steps at which faults are injected, and their notification."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from .processes import call_outside

if TYPE_CHECKING:
    from collections.abc import Callable

    from .processes import SimulatedProcess

__all__ = ("Announcer", "Step")


class Step(Enum):
    """A point of an operation at which a fault may be injected."""

    RECEIVED = "received"
    CLAIMED = "claimed"
    QUEUED = "queued"
    CONNECTING = "connecting"
    SENT = "sent"
    FIRST_TOKEN = "first token"
    BETWEEN_TOKENS = "between tokens"
    BETWEEN_STAGES = "between stages"
    ANSWERING = "answering"
    ANSWERED = "answered"

    SUBMITTED = "submitted"
    SHARDS_WRITTEN = "shards written"
    HEAD_SWAPPED = "head swapped"
    SPREADING = "spreading"
    IN_FORCE = "in force"

    LEASE_HELD = "lease held"
    ORDER_SENDING = "order sending"
    ORDER_SENT = "order sent"
    ORDER_READ_BACK = "order read back"

    CLAIM_WRITER = "takeover of the claim writer"
    CONFIGURATION_WATCHER = "takeover of the configuration watcher"
    ORDER_LEASE = "takeover of the order lease"

    LEAVING = "leaving"
    FINISHING = "finishing"


class Announcer:
    """Calls a listener the first time that a step is reached for a subject.

    A subject is the marker of a request, the id of a change or a group of engines
    (such as ``orders/north``).
    """

    def __init__(self) -> None:
        self._listeners: dict[tuple[Step, str], Callable[..., None]] = {}
        #: steps reached, with their subjects
        self.reached: set[tuple[Step, str]] = set()

    def add_listener(
        self, step: Step, subject: str, listener: Callable[[SimulatedProcess], None]
    ) -> None:
        """Register ``listener`` to be called once when the step is reached."""
        self._listeners[step, subject] = listener

    def forget(self, subject: str) -> None:
        """Mark all steps of a subject as not reached."""
        self.reached = {one for one in self.reached if one[1] != subject}

    def announce(self, step: Step, subject: str, process: SimulatedProcess) -> None:
        """Record that ``process`` has reached a step and call the listener."""
        self.reached.add((step, subject))
        listener = self._listeners.pop((step, subject), None)
        if listener is not None:
            call_outside(listener, process)

    async def announce_and_yield(
        self, step: Step, subject: str, process: SimulatedProcess
    ) -> None:
        """Announce a step from within the process.

        The caller's task continues only if the process still runs afterwards.
        """
        self.announce(step, subject, process)
        await asyncio.sleep(0)
