"""Notices of targets in their answers, and what follows from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.target_notices import NO_NOTICE

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.target_rests import TargetRests

    from .codecs import TargetCodec
    from .decisions import DecisionLog
    from .target_responses import TargetResponse

__all__ = ("TargetNotices",)


class TargetNotices:
    """Reads the notice in each answer of a target.

    :param on_leaving: called with each target whose answer says that it leaves
    :param on_carried_rest: called with the peer through which a target was asked, the
        target and the seconds, if it asks for rest. It has asked the peer, as far as it
        knows
    """

    def __init__(
        self,
        *,
        codec: TargetCodec,
        on_leaving: Callable[[Incarnation], None],
        rests: TargetRests,
        on_carried_rest: Callable[[str, Incarnation, float], None],
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._codec = codec
        self._on_leaving = on_leaving
        self._rests = rests
        self._on_carried_rest = on_carried_rest
        self._clock = clock
        self._decisions = decisions

    def record(self, incarnation: Incarnation, response: TargetResponse) -> None:
        """Record an answer to a request, a stage call or a release of results.

        :param incarnation: target that the request was sent to
        """
        notice = self._codec.read_notice(response)
        now = self._clock.now()
        if notice.rest_seconds:
            self._rests.record(incarnation, notice.rest_seconds, now)
            if response.carrier:
                self._on_carried_rest(
                    response.carrier, incarnation, notice.rest_seconds
                )
        else:
            self._rests.record_answer(incarnation, now)
        if notice == NO_NOTICE:
            return
        self._decisions.log_decision(
            "target-notice",
            target=str(incarnation),
            leaving=notice.is_leaving,
            rest_ms=round(notice.rest_seconds * 1000),
        )
        if notice.is_leaving:
            self._on_leaving(incarnation)
