"""Order of service among the calls that wait for one service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedKeyList

from . import Ticket

__all__ = ("FAIR_PERIOD", "CallQueue", "FairQueue", "SelectionFilter", "QueuedCall")

#: one such part of the service ignores priorities, which bounds how long the least
#: important workspace waits: see :class:`FairQueue`
FAIR_PERIOD = 8
#: seconds of service by which a workspace may be ahead of its fair share while
#: urgency still decides
QUANTUM = 1.0
#: seconds before a call must start within which none that is merely preferred goes
#: before it
HURRY = 0.5
#: calls of a workspace that are looked at in one selection; calls that no target
#: suits are few, as only those that were tried before exclude any target
SCANNED = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """A ticket that waits, with what was worked out when it came."""

    ticket_id: int
    ticket: Ticket
    entered: float
    #: expected seconds of service
    expected: float
    #: monotonic seconds by which it should start to keep to its stage's deadline
    start_by: float
    #: monotonic seconds after which it would probably, or surely, end too late
    safe_start: float
    latest_start: float
    #: whether it belongs to the service's long calls
    long: bool = False


class SelectionFilter(ABC):
    """Says which calls can be served now, and which of them would be served best."""

    @abstractmethod
    def accepts(self, waiting: QueuedCall) -> bool:
        """Whether the call can be served."""

    @abstractmethod
    def prefers(self, waiting: QueuedCall) -> bool:
        """Whether a call that suits would be served with less work than usual."""


class CallQueue(ABC):
    """Calls waiting for one service."""

    @abstractmethod
    def push(self, waiting: QueuedCall) -> None:
        """Add a call."""

    @abstractmethod
    def remove(self, ticket_id: int) -> QueuedCall | None:
        """Take out a call, ``None`` if it isn't there."""

    @abstractmethod
    def select(self, test: SelectionFilter, now: float) -> QueuedCall | None:
        """Take out the call to be served next among those that suit."""

    @abstractmethod
    def sum_pending(self, priority: int) -> dict[str, float]:
        """Return the seconds of service that wait, by workspace.

        :param priority: calls of lower priorities are left out.
        """

    @property
    @abstractmethod
    def has_long_calls(self) -> bool:
        """Whether a long call waits."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of calls that wait."""

    @abstractmethod
    def __iter__(self) -> Iterator[QueuedCall]:
        """Return all calls that wait, in no particular order."""


class _Lane:
    """The calls of one workspace, short ones and long ones apart.

    Where only short calls may start, a search through a thousand long ones on each
    event would block the loop; so each kind has its own order.
    """

    __slots__ = ("by_age", "by_urgency", "pending", "virtual")

    def __init__(self) -> None:
        self.by_age: tuple[dict[int, QueuedCall], ...] = ({}, {})
        self.by_urgency = (SortedKeyList(key=_sort_key), SortedKeyList(key=_sort_key))
        #: seconds of service received, divided by the weight
        self.virtual = 0.0
        #: seconds of service that wait, by priority
        self.pending: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self.by_age[False]) + len(self.by_age[True])

    def add(self, waiting: QueuedCall) -> None:
        self.by_age[waiting.long][waiting.ticket_id] = waiting
        self.by_urgency[waiting.long].add(waiting)
        priority = waiting.ticket.priority
        pending = self.pending.get(priority, 0.0)
        self.pending[priority] = pending + waiting.expected

    def discard(self, waiting: QueuedCall) -> None:
        del self.by_age[waiting.long][waiting.ticket_id]
        self.by_urgency[waiting.long].remove(waiting)
        self.pending[waiting.ticket.priority] -= waiting.expected
        if not len(self):
            # sums of floats drift: an empty lane must hold exactly nothing
            self.pending.clear()

    def find_oldest(self, test: SelectionFilter) -> QueuedCall | None:
        heads = [_find_first(calls.values(), test.accepts) for calls in self.by_age]
        return min(filter(None, heads), key=_age_key, default=None)

    def find_most_urgent(
        self, test: SelectionFilter, *, preferred: bool = False
    ) -> QueuedCall | None:
        def accepts(waiting: QueuedCall) -> bool:
            return test.accepts(waiting) and (not preferred or test.prefers(waiting))

        heads = [_find_first(calls, accepts) for calls in self.by_urgency]
        return min(filter(None, heads), key=_sort_key, default=None)


def _find_first(
    calls: Iterable[QueuedCall], suits: Callable[[QueuedCall], bool]
) -> QueuedCall | None:
    for call in islice(calls, SCANNED):
        if suits(call):
            return call
    return None


def _age_key(waiting: QueuedCall) -> int:
    return waiting.ticket_id


def _sort_key(waiting: QueuedCall) -> tuple[int, float, int]:
    return (-waiting.ticket.priority, waiting.start_by, waiting.ticket_id)


class FairQueue(CallQueue):
    """Priority first, then weighted fair shares, then urgency.

    Each workspace has a virtual time: the service it has received, divided by its
    weight. Among the calls of the highest priority, the workspaces whose virtual
    time is within one quantum of the lowest are eligible, and the most urgent of
    their calls is served. So urgency decides while shares are about even, and the
    shares decide under overload, when one workspace asks for more than its own.

    Strict priority starves whoever comes last, seen as a workspace with no answer
    at all while others flood the service. So one part in :data:`FAIR_PERIOD` of the
    service goes to the oldest call of the workspace with the lowest virtual time,
    whatever its priority. It is a part of the service, not of the calls: a long call
    in every eighth place would leave next to nothing to the short ones before it.
    Bound: of ``FAIR_PERIOD * k`` selections in a row among ``k`` workspaces of equal
    weight and equal calls, each that had a call waiting all the time gets at least
    one.

    :param weigh: returns a workspace's weight, above 0.
    """

    def __init__(
        self, weigh: Callable[[str], float], *, quantum: float = QUANTUM
    ) -> None:
        self._weigh = weigh
        self._quantum = quantum
        self._lanes: dict[str, _Lane] = {}
        self._waiting: dict[int, QueuedCall] = {}
        #: lowest virtual time among the workspaces whose calls wait: where newcomers
        #: start. At the highest, a workspace whose calls come one by one would lose
        #: what it is behind by each time that its queue is empty
        self._virtual = 0.0
        #: seconds of service that may ignore priorities
        self._fair_credit = 0.0

    def push(self, waiting: QueuedCall) -> None:
        name = waiting.ticket.workspace
        lane = self._lanes.get(name)
        if lane is None:
            self._forget_idle()
            lane = self._lanes[name] = _Lane()
        if not lane:
            # time without calls earns no claim on service later
            lane.virtual = max(lane.virtual, self._virtual)
        lane.add(waiting)
        self._waiting[waiting.ticket_id] = waiting

    def remove(self, ticket_id: int) -> QueuedCall | None:
        waiting = self._waiting.pop(ticket_id, None)
        if waiting is None:
            return None
        self._lanes[waiting.ticket.workspace].discard(waiting)
        return waiting

    def select(self, test: SelectionFilter, now: float) -> QueuedCall | None:
        chosen = self._choose(test, now)
        if chosen is None:
            return None
        self._charge(chosen)
        self.remove(chosen.ticket_id)
        return chosen

    def sum_pending(self, priority: int) -> dict[str, float]:
        pending = {}
        for name, lane in self._lanes.items():
            work = sum(w for other, w in lane.pending.items() if other >= priority)
            if work > 0:
                pending[name] = work
        return pending

    @property
    def has_long_calls(self) -> bool:
        return any(lane.by_age[True] for lane in self._lanes.values())

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[QueuedCall]:
        return iter(tuple(self._waiting.values()))

    def _choose(self, test: SelectionFilter, now: float) -> QueuedCall | None:
        if len(self._waiting) <= 1:
            # nobody to be fair to, as for most calls of a service that has room
            return _find_first(self._waiting.values(), test.accepts)
        heads = self._find_heads(test, by_age=True)
        if not heads:
            return None
        fair = _pick_fair(heads)
        if self._fair_credit >= fair.expected:
            self._fair_credit -= fair.expected
            chosen = fair
        else:
            chosen = self._pick(self._find_heads(test, by_age=False), test, now)
        self._fair_credit += chosen.expected / FAIR_PERIOD
        return chosen

    def _forget_idle(self) -> None:
        """Drop the lanes of workspaces that would start anew at the common time."""
        for name, lane in tuple(self._lanes.items()):
            if not lane and lane.virtual <= self._virtual:
                del self._lanes[name]

    def _find_heads(
        self, test: SelectionFilter, *, by_age: bool
    ) -> list[tuple[_Lane, QueuedCall]]:
        heads = []
        for lane in self._lanes.values():
            if not lane:
                continue
            find = lane.find_oldest if by_age else lane.find_most_urgent
            head = find(test)
            if head is not None:
                heads.append((lane, head))
        return heads

    def _pick(
        self, heads: list[tuple[_Lane, QueuedCall]], test: SelectionFilter, now: float
    ) -> QueuedCall:
        top = max(head.ticket.priority for _, head in heads)
        first = [pair for pair in heads if pair[1].ticket.priority == top]
        limit = min(lane.virtual for lane, _ in first) + self._quantum
        eligible = [pair for pair in first if pair[0].virtual <= limit]
        urgent = min((head for _, head in eligible), key=_sort_key)
        if urgent.safe_start - now < HURRY:
            return urgent
        found = [lane.find_most_urgent(test, preferred=True) for lane, _ in eligible]
        preferred = [
            waiting
            for waiting in found
            if waiting is not None and waiting.ticket.priority == top
        ]
        return min(preferred, key=_sort_key, default=urgent)

    def _charge(self, waiting: QueuedCall) -> None:
        name = waiting.ticket.workspace
        lane = self._lanes[name]
        lowest = lane.virtual
        if len(self._waiting) > 1:
            lowest = min(other.virtual for other in self._lanes.values() if other)
        self._virtual = max(self._virtual, lowest)
        lane.virtual += waiting.expected / self._weigh(name)


def _pick_fair(heads: list[tuple[_Lane, QueuedCall]]) -> QueuedCall:
    return min(heads, key=lambda pair: (pair[0].virtual, pair[1].ticket_id))[1]
