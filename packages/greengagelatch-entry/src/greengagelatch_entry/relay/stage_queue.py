"""The bundles that wait for the makers of one service, and what becomes of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.relay.pieces import PieceFailure, PieceResult

from .maker_calls import REJECTED, UNSENT

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from greengagelatch.relay.batches import PlannedCall
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Bundle, Piece
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics
    from .budgets import RepeatBudgets
    from .maker_calls import CallEnd

__all__ = ("BundleQueue", "Work")

#: pieces of one bundle that may be lost by makers until it is given up
MAX_LOSSES = 60


@dataclass(slots=True, eq=False)
class Work:
    """A bundle and how far it has come."""

    bundle: Bundle
    left: list[Piece]
    done: asyncio.Future[tuple[PieceResult, ...]]
    note_read: Callable[[], None]
    results: dict[int, PieceResult] = field(default_factory=dict)
    #: calls by which each piece went to a maker, by segment
    sends: dict[int, int] = field(default_factory=dict)
    #: pieces that makers lost, or failed at
    losses: int = 0
    withdrawn: bool = False


class BundleQueue:
    """Bundles of one service in the order of arrival, until they are made or fail.

    :param free: has makers drop results that nobody waits for
    :param book: tells which makers have started again, and lost what they had made
    """

    def __init__(
        self,
        service: str,
        *,
        free: Callable[[tuple[PieceResult, ...]], None],
        book: TargetTable,
        budgets: RepeatBudgets,
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._free = free
        self._book = book
        self._budgets = budgets
        self._metrics = metrics
        #: by the identity of their bundles: two peers may ask for one of the same id
        self._works: dict[int, Work] = {}

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[Work]:
        return iter(self._works.values())

    def add(self, bundle: Bundle, note_read: Callable[[], None]) -> Work:
        """Take in a bundle, of which nothing is made yet."""
        self._budgets.note_request(self._service)
        done = asyncio.get_running_loop().create_future()
        work = Work(bundle, list(bundle.pieces), done, note_read)
        self._works[id(bundle)] = work
        return work

    def find(self, bundle: Bundle) -> Work | None:
        """Return the work on a bundle, unless that has ended."""
        return self._works.get(id(bundle))

    def count_waiting(self) -> int:
        """Return the pieces that are not yet being made."""
        return sum(len(work.left) for work in self)

    def has_waiting(self) -> bool:
        """Whether any piece is not yet being made."""
        return any(work.left for work in self)

    def list_waiting(self) -> list[tuple[Bundle, list[Piece]]]:
        """Return the bundles of which pieces wait, each with these."""
        return [(work.bundle, work.left) for work in self if work.left]

    def list_ready(self) -> list[tuple[Bundle, list[Piece]]]:
        """Return the pieces that may be sent; repeats wait for their budget.

        To fail them instead would lose whole requests over a maker that was full
        for a moment.
        """
        repeats = self._budgets.count_left(self._service)
        ready = []
        for work in self:
            if not work.left:
                continue
            if not work.sends:
                ready.append((work.bundle, list(work.left)))
                continue
            pieces = []
            for piece in work.left:
                if work.sends.get(piece.segment):
                    if repeats < 1:
                        continue
                    repeats -= 1
                pieces.append(piece)
            if pieces:
                ready.append((work.bundle, pieces))
        return ready

    def take_out(self, call: PlannedCall) -> None:
        """Take the pieces of a call off those that wait."""
        for bundle, piece in call.pieces:
            work = self.find(bundle)
            work.left.remove(piece)
            sends = work.sends.get(piece.segment, 0)
            work.sends[piece.segment] = sends + 1
            if sends:
                self._budgets.take(self._service)

    def fail_all(self, failure: PieceFailure) -> None:
        """Fail all bundles of which pieces wait."""
        for work in tuple(self):
            if work.left:
                self.fail(work, failure)

    def drop_lost(self, incarnation: Incarnation) -> None:
        """Take in that a maker has started again: what it had made is lost."""
        for work in tuple(self):
            self._drop_lost(work, incarnation)

    def _drop_lost(self, work: Work, incarnation: Incarnation) -> None:
        if work.left and incarnation in work.bundle.input_makers:
            self.fail(work, PieceFailure.GONE)
            return
        for piece in work.bundle.pieces:
            result = work.results.get(piece.segment)
            if result is None or result.maker != incarnation:
                continue
            del work.results[piece.segment]
            work.losses += 1
            work.left.append(piece)

    def take_results(
        self,
        call: PlannedCall,
        works: list[Work | None],
        end: CallEnd,
    ) -> None:
        """Take in how a call ended.

        :param works: of each of its pieces, as they were when it began
        """
        unwanted = []
        for index, (_, piece) in enumerate(call.pieces):
            work = works[index]
            result = None if end.results is None else end.results[index]
            if work is None or work.withdrawn or work.done.done():
                if result is not None and result.failure is None:
                    unwanted.append(result)
                continue
            if result is not None and self._is_lost(result):
                result = PieceResult(failure=PieceFailure.LOST)
            self._take_result(work, piece, end.outcome, result)
        if unwanted:
            self._free(tuple(unwanted))

    def _take_result(
        self, work: Work, piece: Piece, outcome: str, result: PieceResult | None
    ) -> None:
        if result is not None and result.failure is None:
            work.results[piece.segment] = result
            if len(work.results) == len(work.bundle.pieces):
                self._finish(work)
            return
        if result is not None and result.failure is PieceFailure.GONE:
            self.fail(work, PieceFailure.GONE)
            return
        if result is not None and result.failure is PieceFailure.LATE:
            self.fail(work, PieceFailure.LATE)
            return
        if outcome == UNSENT:
            # no maker has had it
            work.sends[piece.segment] -= 1
        elif outcome != REJECTED and (
            result is None or result.failure is not PieceFailure.ROOM
        ):
            work.losses += 1
            if work.losses >= MAX_LOSSES:
                self.fail(work, PieceFailure.LOST)
                return
        if self._book.has_superseded(work.bundle.input_makers):
            # one of them started again while the piece was at a maker
            self.fail(work, PieceFailure.GONE)
            return
        work.left.append(piece)

    def _is_lost(self, result: PieceResult) -> bool:
        """Whether a result was made by a maker that has started again since."""
        return result.failure is None and self._book.is_superseded(result.maker)

    def _finish(self, work: Work) -> None:
        self._take_off(work)
        ordered = tuple(work.results[piece.segment] for piece in work.bundle.pieces)
        if not work.done.done():
            work.done.set_result(ordered)

    def fail(self, work: Work, failure: PieceFailure) -> None:
        """End a bundle; those of its results that are there are passed on."""
        self._metrics.count(f"stages.failed.{failure.value}")
        self._take_off(work)
        results = tuple(
            work.results.get(piece.segment, PieceResult(failure=failure))
            for piece in work.bundle.pieces
        )
        if not work.done.done():
            work.done.set_result(results)

    def _take_off(self, work: Work) -> None:
        self._works.pop(id(work.bundle), None)

    def withdraw(self, work: Work) -> None:
        """Take out a bundle that nobody waits for any more."""
        work.withdrawn = True
        self._take_off(work)
        made = tuple(work.results.values())
        if made:
            self._free(made)
