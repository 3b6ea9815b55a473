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
    from greengagelatch.relay.targets import TargetBook

    from ..metrics import Metrics
    from .maker_calls import CallResult
    from .retry_budgets import RetryBudgets

__all__ = ("BundleQueue", "QueuedBundle")

#: pieces of one bundle that may be lost by makers until it is given up
MAX_PIECE_FAILURES = 60


@dataclass(slots=True, eq=False)
class QueuedBundle:
    """A bundle and how far it has come."""

    bundle: Bundle
    pending: list[Piece]
    done: asyncio.Future[tuple[PieceResult, ...]]
    on_read: Callable[[], None]
    results: dict[int, PieceResult] = field(default_factory=dict)
    #: calls by which each piece went to a maker, by segment
    attempts: dict[int, int] = field(default_factory=dict)
    #: pieces that makers lost, or failed at
    failure_count: int = 0
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
        book: TargetBook,
        budgets: RetryBudgets,
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._free = free
        self._book = book
        self._budgets = budgets
        self._metrics = metrics
        #: by the identity of their bundles: two peers may ask for one of the same id
        self._entries: dict[int, QueuedBundle] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedBundle]:
        return iter(self._entries.values())

    def add(self, bundle: Bundle, on_read: Callable[[], None]) -> QueuedBundle:
        """Take in a bundle, of which nothing is made yet."""
        self._budgets.record_request(self._service)
        done = asyncio.get_running_loop().create_future()
        entry = QueuedBundle(bundle, list(bundle.pieces), done, on_read)
        self._entries[id(bundle)] = entry
        return entry

    def find(self, bundle: Bundle) -> QueuedBundle | None:
        """Return the work on a bundle, unless that has ended."""
        return self._entries.get(id(bundle))

    def count_waiting(self) -> int:
        """Return the pieces that are not yet being made."""
        return sum(len(entry.pending) for entry in self)

    def has_waiting(self) -> bool:
        """Whether any piece is not yet being made."""
        return any(entry.pending for entry in self)

    def list_waiting(self) -> list[tuple[Bundle, list[Piece]]]:
        """Return the bundles of which pieces wait, each with these."""
        return [(entry.bundle, entry.pending) for entry in self if entry.pending]

    def list_ready(self) -> list[tuple[Bundle, list[Piece]]]:
        """Return the pieces that may be sent; repeats wait for their budget.

        To fail them instead would lose whole requests over a maker that was full
        for a moment.
        """
        repeats = self._budgets.count_left(self._service)
        ready = []
        for entry in self:
            if not entry.pending:
                continue
            if not entry.attempts:
                ready.append((entry.bundle, list(entry.pending)))
                continue
            pieces = []
            for piece in entry.pending:
                if entry.attempts.get(piece.segment):
                    if repeats < 1:
                        continue
                    repeats -= 1
                pieces.append(piece)
            if pieces:
                ready.append((entry.bundle, pieces))
        return ready

    def dequeue(self, call: PlannedCall) -> None:
        """Take the pieces of a call off those that wait."""
        for bundle, piece in call.pieces:
            entry = self.find(bundle)
            entry.pending.remove(piece)
            attempts = entry.attempts.get(piece.segment, 0)
            entry.attempts[piece.segment] = attempts + 1
            if attempts:
                self._budgets.try_spend(self._service)

    def fail_all(self, failure: PieceFailure) -> None:
        """Fail all bundles of which pieces wait."""
        for entry in tuple(self):
            if entry.pending:
                self.fail(entry, failure)

    def discard_results(self, incarnation: Incarnation) -> None:
        """Take in that a maker has started again: what it had made is lost."""
        for entry in tuple(self):
            self._discard_results(entry, incarnation)

    def _discard_results(self, entry: QueuedBundle, incarnation: Incarnation) -> None:
        if entry.pending and incarnation in entry.bundle.input_makers:
            self.fail(entry, PieceFailure.GONE)
            return
        for piece in entry.bundle.pieces:
            result = entry.results.get(piece.segment)
            if result is None or result.maker != incarnation:
                continue
            del entry.results[piece.segment]
            entry.failure_count += 1
            entry.pending.append(piece)

    def apply_result(
        self,
        call: PlannedCall,
        entries: list[QueuedBundle | None],
        call_result: CallResult,
    ) -> None:
        """Take in how a call ended.

        :param works: of each of its pieces, as they were when it began
        """
        unwanted = []
        for index, (_, piece) in enumerate(call.pieces):
            entry = entries[index]
            result = None if call_result.results is None else call_result.results[index]
            if entry is None or entry.withdrawn or entry.done.done():
                if result is not None and result.failure is None:
                    unwanted.append(result)
                continue
            if result is not None and self._is_lost(result):
                result = PieceResult(failure=PieceFailure.LOST)
            self._apply_piece_result(entry, piece, call_result.outcome, result)
        if unwanted:
            self._free(tuple(unwanted))

    def _apply_piece_result(
        self,
        entry: QueuedBundle,
        piece: Piece,
        outcome: str,
        result: PieceResult | None,
    ) -> None:
        if result is not None and result.failure is None:
            entry.results[piece.segment] = result
            if len(entry.results) == len(entry.bundle.pieces):
                self._finish(entry)
            return
        if result is not None and result.failure is PieceFailure.GONE:
            self.fail(entry, PieceFailure.GONE)
            return
        if result is not None and result.failure is PieceFailure.LATE:
            self.fail(entry, PieceFailure.LATE)
            return
        if outcome == UNSENT:
            # no maker has had it
            entry.attempts[piece.segment] -= 1
        elif outcome != REJECTED and (
            result is None or result.failure is not PieceFailure.ROOM
        ):
            entry.failure_count += 1
            if entry.failure_count >= MAX_PIECE_FAILURES:
                self.fail(entry, PieceFailure.LOST)
                return
        if self._book.has_former(entry.bundle.input_makers):
            # one of them started again while the piece was at a maker
            self.fail(entry, PieceFailure.GONE)
            return
        entry.pending.append(piece)

    def _is_lost(self, result: PieceResult) -> bool:
        """Whether a result was made by a maker that has started again since."""
        return result.failure is None and self._book.is_former(result.maker)

    def _finish(self, entry: QueuedBundle) -> None:
        self._remove(entry)
        ordered = tuple(entry.results[piece.segment] for piece in entry.bundle.pieces)
        if not entry.done.done():
            entry.done.set_result(ordered)

    def fail(self, entry: QueuedBundle, failure: PieceFailure) -> None:
        """End a bundle; those of its results that are there are passed on."""
        self._metrics.count(f"stages.failed.{failure.value}")
        self._remove(entry)
        results = tuple(
            entry.results.get(piece.segment, PieceResult(failure=failure))
            for piece in entry.bundle.pieces
        )
        if not entry.done.done():
            entry.done.set_result(results)

    def _remove(self, entry: QueuedBundle) -> None:
        self._entries.pop(id(entry.bundle), None)

    def withdraw(self, entry: QueuedBundle) -> None:
        """Take out a bundle that nobody waits for any more."""
        entry.withdrawn = True
        self._remove(entry)
        made = tuple(entry.results.values())
        if made:
            self._free(made)
