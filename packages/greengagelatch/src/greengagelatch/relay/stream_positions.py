"""Positions in streams of events, after which another target may go on."""

from __future__ import annotations

from enum import Enum

__all__ = ("EventDisorder", "StreamPosition")


class EventDisorder(Enum):
    """Why an event doesn't tell where its stream is."""

    #: its id isn't greater than that of the event before
    BACKWARD = "backward"
    #: it carries data and no id that can be read
    UNNUMBERED = "unnumbered"


class StreamPosition:
    """What the caller of a stream has received.

    :param last_event_id: id of the event after which the stream begins; ``None``: it
        begins with the first one
    """

    __slots__ = ("is_known", "last_event_id")

    def __init__(self, last_event_id: int | None = None) -> None:
        #: id of the last event that the caller has
        self.last_event_id = last_event_id
        #: whether the caller has nothing after that event, so that another target can
        #: go on there
        self.is_known = True

    def find_disorder(
        self, event_id: int | None, *, has_data: bool
    ) -> EventDisorder | None:
        """Return what is wrong with the next event; ``None`` if nothing is.

        An event without data, such as a comment, is no part of what a target writes.
        """
        if event_id is None:
            return EventDisorder.UNNUMBERED if has_data else None
        if self.last_event_id is not None and event_id <= self.last_event_id:
            return EventDisorder.BACKWARD
        return None

    def advance(self, event_id: int | None, *, has_data: bool) -> None:
        """Record that the caller is sent an event."""
        if event_id is not None:
            self.last_event_id = event_id
            self.is_known = True
        elif has_data:
            self.is_known = False
