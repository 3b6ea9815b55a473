"""Queue of the bundles for the makers of one service."""

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
    from .maker_calls import CallResult
    from .retry_budgets import RetryBudgets

__all__ = ("INPUT_READ_SECONDS", "BundleQueue", "QueuedBundle")

#: number of lost or failed pieces after which a bundle fails
MAX_PIECE_FAILURES = 60

#: seconds after which a call that started at once has fetched its inputs, which takes a
#: few milliseconds
INPUT_READ_SECONDS = 0.1


@dataclass(slots=True, eq=False)
class QueuedBundle:
    """A bundle and its progress."""

    bundle: Bundle
    pending: list[Piece]
    done: asyncio.Future[tuple[PieceResult, ...]]
    on_read: Callable[[], None]
    results: dict[int, PieceResult] = field(default_factory=dict)
    #: number of calls in which each piece was sent, by segment
    attempts: dict[int, int] = field(default_factory=dict)
    #: number of pieces that makers lost or failed to make
    failure_count: int = 0
    withdrawn: bool = False


class BundleQueue:
    """Bundles of one service in order of arrival, until they are made or fail.

    :param free: frees results that are no longer needed at their makers
    :param target_table: knows which makers have restarted and thus lost their results
    """

    def __init__(
        self,
        service: str,
        *,
        free: Callable[[tuple[PieceResult, ...]], None],
        target_table: TargetTable,
        budgets: RetryBudgets,
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._free = free
        self._target_table = target_table
        self._budgets = budgets
        self._metrics = metrics
        #: by the identity of the bundle object, as two peers may send the same id
        self._entries: dict[int, QueuedBundle] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedBundle]:
        return iter(self._entries.values())

    def add(self, bundle: Bundle, on_read: Callable[[], None]) -> QueuedBundle:
        """Add a bundle, none of whose pieces is made yet."""
        self._budgets.record_request(self._service)
        done = asyncio.get_running_loop().create_future()
        entry = QueuedBundle(bundle, list(bundle.pieces), done, on_read)
        self._entries[id(bundle)] = entry
        return entry

    def find(self, bundle: Bundle) -> QueuedBundle | None:
        """Return the queue entry of a bundle, or ``None`` if it has ended."""
        return self._entries.get(id(bundle))

    def count_waiting(self) -> int:
        """Return the number of queued pieces."""
        return sum(len(entry.pending) for entry in self)

    def has_waiting(self) -> bool:
        """Return whether any piece is queued."""
        return any(entry.pending for entry in self)

    def list_waiting(self) -> list[tuple[Bundle, list[Piece]]]:
        """Return the bundles with queued pieces, and these pieces."""
        return [(entry.bundle, entry.pending) for entry in self if entry.pending]

    def list_ready(self) -> list[tuple[Bundle, list[Piece]]]:
        """Return the pieces that may be sent; retries wait for the retry budget.

        Failing them instead would fail whole requests when a maker is full for a
        moment.
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
        """Remove the pieces of a call from the queue and count the attempts."""
        for bundle, piece in call.pieces:
            entry = self.find(bundle)
            entry.pending.remove(piece)
            attempts = entry.attempts.get(piece.segment, 0)
            entry.attempts[piece.segment] = attempts + 1
            if attempts:
                self._budgets.try_spend(self._service)

    def fail_all(self, failure: PieceFailure) -> None:
        """Fail all bundles with queued pieces."""
        for entry in tuple(self):
            if entry.pending:
                self.fail(entry, failure)

    def fail_unplaceable(self, data_centres: set[str]) -> None:
        """Fail the bundles that no maker may make.

        :param data_centres: those of all makers
        """
        for entry in tuple(self):
            allowed = entry.bundle.data_centres
            if (
                allowed is not None
                and entry.pending
                and data_centres.isdisjoint(allowed)
            ):
                self.fail(entry, PieceFailure.NO_MAKER)

    def fail_without_inputs(self, now: float) -> None:
        """Fail the bundles whose inputs expire before a call could read them."""
        for entry in tuple(self):
            expires_at = entry.bundle.inputs_expire_at
            if entry.pending and now > expires_at - INPUT_READ_SECONDS:
                self.fail(entry, PieceFailure.GONE)

    def discard_results(self, incarnation: Incarnation) -> None:
        """Discard the results of a maker that has restarted and lost them."""
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
        """Apply the result of a call.

        :param entries: queue entry of each piece, looked up when the call started
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
            # the piece did not reach the maker
            entry.attempts[piece.segment] -= 1
        elif outcome != REJECTED and (
            result is None or result.failure is not PieceFailure.ROOM
        ):
            entry.failure_count += 1
            if entry.failure_count >= MAX_PIECE_FAILURES:
                self.fail(entry, PieceFailure.LOST)
                return
        if self._target_table.has_superseded(entry.bundle.input_makers):
            # a maker of its inputs restarted while the call was in progress
            self.fail(entry, PieceFailure.GONE)
            return
        entry.pending.append(piece)

    def _is_lost(self, result: PieceResult) -> bool:
        """Return whether the maker of a result has restarted since."""
        return result.failure is None and self._target_table.is_superseded(result.maker)

    def _finish(self, entry: QueuedBundle) -> None:
        self._remove(entry)
        ordered = tuple(entry.results[piece.segment] for piece in entry.bundle.pieces)
        if not entry.done.done():
            entry.done.set_result(ordered)

    def fail(self, entry: QueuedBundle, failure: PieceFailure) -> None:
        """Fail a bundle; the results made so far are returned with the failures."""
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
        """Remove a bundle whose caller no longer waits, and free its results."""
        entry.withdrawn = True
        self._remove(entry)
        made = tuple(entry.results.values())
        if made:
            self._free(made)
