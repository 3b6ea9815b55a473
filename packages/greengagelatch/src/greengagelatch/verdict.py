"""Whether a request may have run."""

from __future__ import annotations

from enum import IntEnum

__all__ = ("Verdict",)


class Verdict(IntEnum):
    """Whether any stage of a request ran; it only ever rises.

    The order of the values is the order in which a verdict may rise, so ``max`` of
    two verdicts is the verdict of both together.
    """

    #: no byte of any stage call was handed to a socket
    NOT_RUN = 0
    #: at least one byte was handed over and no answer proves what became of it
    MAY_HAVE_RUN = 1
    #: a target has answered at least one stage call
    RAN = 2

    def raise_to(self, other: Verdict) -> Verdict:
        """Return the higher of the two verdicts."""
        return max(self, other)
