"""Pieces of stage work: what is asked of makers, and what comes of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .incarnations import Incarnation

__all__ = ("Bundle", "Piece", "PieceFailure", "PieceResult")


@dataclass(frozen=True, slots=True, kw_only=True)
class Piece:
    """One result that a stage has to make for a request."""

    request_id: str
    stage: int
    segment: int
    #: names the input of a stage that reads no other one's results
    key: str = ""
    #: handles of the results that it reads
    inputs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """The pieces of one stage of one request; times are monotonic seconds."""

    bundle_id: str
    service: str
    pieces: tuple[Piece, ...]
    #: approximate size of one result
    result_bytes: int
    #: end of the stage up to which the request can still meet its objective
    soft_deadline: float
    #: end of the stage after which the request can't be answered in time
    hard_deadline: float
    #: when what the pieces read lapses at its makers
    inputs_expire_at: float = float("inf")
    #: makers of what the pieces read; once one has started again, it is lost
    input_makers: tuple[Incarnation, ...] = ()
    #: 0 is the most urgent
    rank: float = 0.0
    #: data centre in which the results are best made: of what the pieces read, or of
    #: what reads them
    data_centre: str = ""
    #: bytes that cross data centres if they are made in another one
    moved_bytes: int = 0
    #: whether earlier stages of the request have been made already
    begun: bool = False
    #: of the request; empty: not told
    digest: str = ""

    @property
    def request_id(self) -> str:
        """Id of the request that the pieces belong to."""
        return self.pieces[0].request_id


class PieceFailure(Enum):
    """Why there is no result of a piece."""

    #: it could not be made in time
    LATE = "late"
    #: a result that it reads is gone
    GONE = "gone"
    #: the maker has no room for its result
    ROOM = "room"
    #: the maker failed
    ERROR = "error"
    #: nobody knows: the call broke off, or the maker could not be reached
    LOST = "lost"
    #: makers have ended under such pieces
    HELD = "held"
    #: no maker is listed
    NO_MAKER = "no-maker"


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Handle of a result, or why there is none."""

    handle: str = ""
    failure: PieceFailure | None = None
    #: data centre of the maker
    data_centre: str = ""
    #: what made it, and holds it for as long as it lives
    maker: Incarnation | None = None
