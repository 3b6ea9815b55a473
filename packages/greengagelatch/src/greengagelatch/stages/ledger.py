"""Ledger of a request's attempts, from which its verdict is derived."""

from __future__ import annotations

from ..verdict import Verdict

__all__ = ("AttemptLedger",)


class AttemptLedger:
    """The attempts at all stages of one request.

    An attempt counts as ``MAY_HAVE_RUN`` from before its first byte is written to a
    socket until it is settled. If it were recorded later, a request abandoned in
    between would be refused as not run although a target had received it.
    """

    def __init__(self) -> None:
        self._open: dict[str, str] = {}
        self._settled = Verdict.NOT_RUN
        self._count = 0

    @property
    def verdict(self) -> Verdict:
        """Whether any stage of the request may have run."""
        if self._open:
            return self._settled.raise_to(Verdict.MAY_HAVE_RUN)
        return self._settled

    @property
    def count(self) -> int:
        """Number of attempts started so far."""
        return self._count

    def begin(self, attempt_id: str, target_id: str) -> None:
        """Record an attempt that is about to be sent."""
        self._open[attempt_id] = target_id
        self._count += 1

    def settle(self, attempt_id: str, verdict: Verdict) -> None:
        """Record the verdict of an open attempt; idempotent."""
        if self._open.pop(attempt_id, None) is None:
            return
        self._settled = self._settled.raise_to(verdict)
