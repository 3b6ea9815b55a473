"""Pieces of stage work, their bundles and their results."""

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
    #: position among the results of the stage
    segment: int
    #: identifies the input of a stage that reads no results of other stages
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
    #: latest end of the stage with which the request still meets its objective
    soft_deadline: float
    #: latest end of the stage with which the request can be answered in time
    hard_deadline: float
    #: when the inputs of the pieces expire at their makers
    inputs_expire_at: float = float("inf")
    #: makers that hold the inputs; an input is lost when its maker restarts
    input_makers: tuple[Incarnation, ...] = ()
    #: priority rank; 0 is the most urgent
    rank: float = 0.0
    #: preferred data centre of the maker: that of the inputs, or of the consumer of the
    #: results
    data_centre: str = ""
    #: bytes transferred between data centres if the maker is in another one
    moved_bytes: int = 0
    #: whether earlier stages of the request have been made already
    begun: bool = False
    #: digest of the request; empty: unknown
    digest: str = ""
    #: data centres of the makers that may make it; ``None``: all
    data_centres: frozenset[str] | None = None

    @property
    def request_id(self) -> str:
        """Id of the request that the pieces belong to."""
        return self.pieces[0].request_id


class PieceFailure(Enum):
    """Why a piece has no result."""

    #: it could not be made before its deadline
    LATE = "late"
    #: one of its inputs no longer exists
    GONE = "gone"
    #: the maker has no memory for its result
    ROOM = "room"
    #: the maker answered with a failure
    ERROR = "error"
    #: unknown: the call was interrupted, or the maker could not be reached
    LOST = "lost"
    #: it is quarantined, as makers crashed while they ran it
    HELD = "held"
    #: no maker is listed
    NO_MAKER = "no-maker"


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Handle of a result, or the reason why there is none."""

    handle: str = ""
    failure: PieceFailure | None = None
    #: data centre of the maker
    data_centre: str = ""
    #: maker that stores the result until it is released, or until the maker restarts
    maker: Incarnation | None = None
