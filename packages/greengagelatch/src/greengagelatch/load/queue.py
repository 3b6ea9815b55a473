"""Weighted fair queueing of the calls that wait for one service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedKeyList

from . import Ticket

__all__ = ("FAIR_PERIOD", "CallQueue", "FairQueue", "SelectionFilter", "QueuedCall")

#: one part in this many of the service time ignores priorities, which bounds the
#: wait of the lowest priority: see :class:`FairQueue`
FAIR_PERIOD = 8
#: seconds of service by which a workspace may exceed its fair share and still be
#: selected by urgency
QUANTUM = 1.0
#: seconds before a call's safe start time from which no preferred call may be
#: selected ahead of it
URGENT_MARGIN = 0.5
#: calls of a workspace that one selection scans; few calls can't be served by any
#: free target, as only retried calls exclude targets
SCAN_LIMIT = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """A queued ticket, with the estimates made on its arrival."""

    ticket_id: int
    ticket: Ticket
    entered: float
    #: expected seconds of service
    expected: float
    #: monotonic seconds by which it should start to meet its stage's deadline
    start_by: float
    #: monotonic seconds after which it would probably (safe) or certainly (latest)
    #: miss its deadline
    safe_start: float
    latest_start: float
    #: whether it is one of the service's long calls
    long: bool = False


class SelectionFilter(ABC):
    """Tells which queued calls can be served now, and which are preferred."""

    @abstractmethod
    def accepts(self, queued: QueuedCall) -> bool:
        """Whether the call can be served now."""

    @abstractmethod
    def prefers(self, queued: QueuedCall) -> bool:
        """Whether an accepted call would cost less than usual, by a cached prefix."""


class CallQueue(ABC):
    """Queue of the calls that wait for one service."""

    @abstractmethod
    def push(self, queued: QueuedCall) -> None:
        """Add a call."""

    @abstractmethod
    def remove(self, ticket_id: int) -> QueuedCall | None:
        """Remove and return a call, ``None`` if it is not queued."""

    @abstractmethod
    def select(self, selection: SelectionFilter, now: float) -> QueuedCall | None:
        """Remove and return the accepted call to be served next, if any."""

    @abstractmethod
    def sum_pending(self, priority: int) -> dict[str, float]:
        """Return the queued seconds of service by workspace.

        :param priority: calls of lower priorities are excluded.
        """

    @property
    @abstractmethod
    def has_long_calls(self) -> bool:
        """Whether a long call is queued."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of queued calls."""

    @abstractmethod
    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate over all queued calls in no particular order."""


class _WorkspaceQueue:
    """Queued calls of one workspace, with short and long ones kept separately.

    When only short calls may start, scanning a thousand long ones on each event
    would block the event loop.
    """

    __slots__ = ("by_age", "by_urgency", "pending", "virtual_time")

    def __init__(self) -> None:
        self.by_age: tuple[dict[int, QueuedCall], ...] = ({}, {})
        self.by_urgency = (SortedKeyList(key=_sort_key), SortedKeyList(key=_sort_key))
        #: virtual time: seconds of service received, divided by the weight
        self.virtual_time = 0.0
        #: queued seconds of service by priority
        self.pending: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self.by_age[False]) + len(self.by_age[True])

    def add(self, queued: QueuedCall) -> None:
        self.by_age[queued.long][queued.ticket_id] = queued
        self.by_urgency[queued.long].add(queued)
        priority = queued.ticket.priority
        pending = self.pending.get(priority, 0.0)
        self.pending[priority] = pending + queued.expected

    def discard(self, queued: QueuedCall) -> None:
        del self.by_age[queued.long][queued.ticket_id]
        self.by_urgency[queued.long].remove(queued)
        self.pending[queued.ticket.priority] -= queued.expected
        if not len(self):
            # sums of floats drift, but an empty queue must have none pending
            self.pending.clear()

    def find_oldest(self, selection: SelectionFilter) -> QueuedCall | None:
        heads = [
            _find_first(calls.values(), selection.accepts) for calls in self.by_age
        ]
        return min(filter(None, heads), key=_age_key, default=None)

    def find_most_urgent(
        self, selection: SelectionFilter, *, preferred: bool = False
    ) -> QueuedCall | None:
        def accepts(queued: QueuedCall) -> bool:
            return selection.accepts(queued) and (
                not preferred or selection.prefers(queued)
            )

        heads = [_find_first(calls, accepts) for calls in self.by_urgency]
        return min(filter(None, heads), key=_sort_key, default=None)


def _find_first(
    calls: Iterable[QueuedCall], accepts: Callable[[QueuedCall], bool]
) -> QueuedCall | None:
    for call in islice(calls, SCAN_LIMIT):
        if accepts(call):
            return call
    return None


def _age_key(queued: QueuedCall) -> int:
    return queued.ticket_id


def _sort_key(queued: QueuedCall) -> tuple[int, float, int]:
    return (-queued.ticket.priority, queued.start_by, queued.ticket_id)


class FairQueue(CallQueue):
    """Strict priority, then weighted fair queueing, then earliest start first.

    Each workspace has a virtual time: the service it has received, divided by its
    weight. Among the calls of the highest priority, the workspaces whose virtual
    time is within one quantum of the lowest are eligible, and the most urgent of
    their calls is served. So urgency decides while the shares are about even, and
    the shares decide under overload, when a workspace demands more than its share.

    Strict priority would starve the lowest priority while others flood the service.
    So one part in :data:`FAIR_PERIOD` of the service goes to the oldest call of the
    workspace with the lowest virtual time, whatever its priority. It is a part of
    the service time, not of the number of calls: a long call in every eighth place
    would leave almost no service to the short ones.
    Bound: of ``FAIR_PERIOD * k`` selections in a row among ``k`` workspaces of equal
    weight and equal calls, each that had a call queued all the time gets at least
    one.

    :param weigh: returns a workspace's weight, above 0.
    """

    def __init__(
        self, weigh: Callable[[str], float], *, quantum: float = QUANTUM
    ) -> None:
        self._weigh = weigh
        self._quantum = quantum
        self._workspace_queues: dict[str, _WorkspaceQueue] = {}
        self._queued: dict[int, QueuedCall] = {}
        #: lowest virtual time among the workspaces with queued calls, at which a
        #: newly active workspace starts. If it started at the highest, a workspace
        #: whose calls come one by one would lose its due share whenever its queue
        #: is empty
        self._virtual_time = 0.0
        #: seconds of service that may be given regardless of priority
        self._fair_credit = 0.0

    def push(self, queued: QueuedCall) -> None:
        name = queued.ticket.workspace
        queue = self._workspace_queues.get(name)
        if queue is None:
            self._evict_idle()
            queue = self._workspace_queues[name] = _WorkspaceQueue()
        if not queue:
            # idle time earns no credit for later service
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.add(queued)
        self._queued[queued.ticket_id] = queued

    def remove(self, ticket_id: int) -> QueuedCall | None:
        queued = self._queued.pop(ticket_id, None)
        if queued is None:
            return None
        self._workspace_queues[queued.ticket.workspace].discard(queued)
        return queued

    def select(self, selection: SelectionFilter, now: float) -> QueuedCall | None:
        chosen = self._choose(selection, now)
        if chosen is None:
            return None
        self._charge(chosen)
        self.remove(chosen.ticket_id)
        return chosen

    def sum_pending(self, priority: int) -> dict[str, float]:
        pending = {}
        for name, queue in self._workspace_queues.items():
            work = sum(w for other, w in queue.pending.items() if other >= priority)
            if work > 0:
                pending[name] = work
        return pending

    @property
    def has_long_calls(self) -> bool:
        return any(queue.by_age[True] for queue in self._workspace_queues.values())

    def __len__(self) -> int:
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedCall]:
        return iter(tuple(self._queued.values()))

    def _choose(self, selection: SelectionFilter, now: float) -> QueuedCall | None:
        if len(self._queued) <= 1:
            # nothing to arbitrate, which is the common case below saturation
            return _find_first(self._queued.values(), selection.accepts)
        heads = self._find_heads(selection, by_age=True)
        if not heads:
            return None
        fair = _pick_fair(heads)
        if self._fair_credit >= fair.expected:
            self._fair_credit -= fair.expected
            chosen = fair
        else:
            chosen = self._pick(
                self._find_heads(selection, by_age=False), selection, now
            )
        self._fair_credit += chosen.expected / FAIR_PERIOD
        return chosen

    def _evict_idle(self) -> None:
        """Drop idle workspaces whose virtual time would be reset anyway."""
        for name, queue in tuple(self._workspace_queues.items()):
            if not queue and queue.virtual_time <= self._virtual_time:
                del self._workspace_queues[name]

    def _find_heads(
        self, selection: SelectionFilter, *, by_age: bool
    ) -> list[tuple[_WorkspaceQueue, QueuedCall]]:
        heads = []
        for queue in self._workspace_queues.values():
            if not queue:
                continue
            find = queue.find_oldest if by_age else queue.find_most_urgent
            head = find(selection)
            if head is not None:
                heads.append((queue, head))
        return heads

    def _pick(
        self,
        heads: list[tuple[_WorkspaceQueue, QueuedCall]],
        selection: SelectionFilter,
        now: float,
    ) -> QueuedCall:
        top = max(head.ticket.priority for _, head in heads)
        first = [pair for pair in heads if pair[1].ticket.priority == top]
        limit = min(queue.virtual_time for queue, _ in first) + self._quantum
        eligible = [pair for pair in first if pair[0].virtual_time <= limit]
        urgent = min((head for _, head in eligible), key=_sort_key)
        if urgent.safe_start - now < URGENT_MARGIN:
            return urgent
        found = [
            queue.find_most_urgent(selection, preferred=True) for queue, _ in eligible
        ]
        preferred = [
            queued
            for queued in found
            if queued is not None and queued.ticket.priority == top
        ]
        return min(preferred, key=_sort_key, default=urgent)

    def _charge(self, queued: QueuedCall) -> None:
        name = queued.ticket.workspace
        queue = self._workspace_queues[name]
        lowest = queue.virtual_time
        if len(self._queued) > 1:
            lowest = min(
                other.virtual_time for other in self._workspace_queues.values() if other
            )
        self._virtual_time = max(self._virtual_time, lowest)
        queue.virtual_time += queued.expected / self._weigh(name)


def _pick_fair(heads: list[tuple[_WorkspaceQueue, QueuedCall]]) -> QueuedCall:
    return min(heads, key=lambda pair: (pair[0].virtual_time, pair[1].ticket_id))[1]
