"""Tokens of a streamed answer that a caller was already given."""

from __future__ import annotations

from enum import Enum

__all__ = ("TokenCheck", "StreamedTokens")


class TokenCheck(Enum):
    """How a token relates to those already given."""

    NEW = "new"
    REPEATED = "repeated"
    #: another text at an offset that the caller already holds
    CONTRADICTION = "contradiction"
    GAP = "gap"


class StreamedTokens:
    """All tokens given to one caller, from offset zero.

    When a stream is cut, another target gives the answer again. Without a check
    the caller would read a text that changes half way or repeats itself; with it
    the second stream is only passed on beyond a prefix known to be equal.
    """

    def __init__(self) -> None:
        self._tokens: list[str] = []

    def __len__(self) -> int:
        return len(self._tokens)

    @property
    def tokens(self) -> tuple[str, ...]:
        """The tokens given so far."""
        return tuple(self._tokens)

    def append(self, offset: int, text: str) -> TokenCheck:
        """Record a token if it is the next one, and say how it relates."""
        if offset == len(self._tokens):
            self._tokens.append(text)
            return TokenCheck.NEW
        if offset > len(self._tokens) or offset < 0:
            return TokenCheck.GAP
        if self._tokens[offset] == text:
            return TokenCheck.REPEATED
        return TokenCheck.CONTRADICTION
