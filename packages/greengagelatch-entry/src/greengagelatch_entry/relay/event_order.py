"""Checks of events against what the caller of their stream has received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.stream_positions import EventDisorder, StreamPosition

from .event_splitter import has_data

if TYPE_CHECKING:
    from greengagelatch.relay.requests import OpaqueRequest
    from greengagelatch.relay.targets import ListedTarget

    from .codecs import TargetCodec
    from .decisions import DecisionLog

__all__ = ("EventOrder",)


class EventOrder:
    """Selects the events by which a stream goes on, over all attempts at it."""

    def __init__(
        self, request: OpaqueRequest, *, codec: TargetCodec, decisions: DecisionLog
    ) -> None:
        self._request_id = request.request_id
        self._codec = codec
        self._decisions = decisions
        self.position = StreamPosition(request.resume_after)
        self._target: ListedTarget | None = None
        #: what was logged of the events of the current attempt
        self._logged: set[EventDisorder] = set()

    def begin_attempt(self, target: ListedTarget) -> None:
        """Record that the next events come from ``target``."""
        self._target = target
        self._logged.clear()

    def select(self, events: list[bytes]) -> list[bytes]:
        """Return the events before the first that doesn't follow the one before it."""
        ordered = []
        for event in events:
            event_id = self._codec.read_event_id(event)
            with_data = has_data(event)
            disorder = self.position.find_disorder(event_id, has_data=with_data)
            if disorder is not None:
                self._log(disorder, event_id)
            if disorder is EventDisorder.BACKWARD:
                break
            self.position.advance(event_id, has_data=with_data)
            ordered.append(event)
        return ordered

    def _log(self, disorder: EventDisorder, event_id: int | None) -> None:
        """Log an event that is out of order, once for each reason and attempt."""
        if disorder in self._logged:
            return
        self._logged.add(disorder)
        self._decisions.log_decision(
            "stream-disorder",
            request=self._request_id,
            target=str(self._target.incarnation),
            address=self._target.address,
            reason=disorder.value,
            event=event_id,
            after=self.position.last_event_id,
        )
