"""Tokens of a streamed answer that were already sent to the caller."""

from __future__ import annotations

from enum import Enum

__all__ = ("TokenCheck", "StreamedTokens")


class TokenCheck(Enum):
    """How a token relates to those already sent."""

    NEW = "new"
    REPEATED = "repeated"
    #: a different text at an offset that was already sent
    CONTRADICTION = "contradiction"
    GAP = "gap"


class StreamedTokens:
    """All tokens sent to one caller, from offset zero.

    When a stream breaks, another target generates the answer again. Without this
    check the caller could read a text that changes half way or repeats itself; with
    it, the second stream is forwarded only beyond an equal prefix.
    """

    def __init__(self) -> None:
        self._tokens: list[str] = []

    def __len__(self) -> int:
        return len(self._tokens)

    @property
    def tokens(self) -> tuple[str, ...]:
        """The tokens sent so far."""
        return tuple(self._tokens)

    def append(self, offset: int, text: str) -> TokenCheck:
        """Append a token if it is the next one; return how it relates."""
        if offset == len(self._tokens):
            self._tokens.append(text)
            return TokenCheck.NEW
        if offset > len(self._tokens) or offset < 0:
            return TokenCheck.GAP
        if self._tokens[offset] == text:
            return TokenCheck.REPEATED
        return TokenCheck.CONTRADICTION
