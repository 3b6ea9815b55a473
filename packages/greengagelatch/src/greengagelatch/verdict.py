"""Knowledge of whether a request's stages have run."""

from __future__ import annotations

from enum import IntEnum

__all__ = ("Verdict",)


class Verdict(IntEnum):
    """Whether any stage of a request has run.

    A verdict never decreases. The values are ordered so that the combined verdict of
    two attempts is their maximum.
    """

    #: no byte of any stage call was written to a socket
    NOT_RUN = 0
    #: at least one byte was written, but no answer shows whether the stage ran
    MAY_HAVE_RUN = 1
    #: a target has answered at least one stage call
    RAN = 2

    def raise_to(self, other: Verdict) -> Verdict:
        """Return the higher of the two verdicts."""
        return max(self, other)
