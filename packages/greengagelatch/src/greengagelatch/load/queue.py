"""Order of service among the calls that wait for one service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedKeyList

from . import Ticket

__all__ = ("FAIR_PERIOD", "CallQueue", "FairQueue", "Waiting")

#: every such selection ignores priorities, which bounds how long the least
#: important workspace waits: see :class:`FairQueue`
FAIR_PERIOD = 8
#: seconds of service by which a workspace may be ahead of its fair share while
#: urgency still decides
QUANTUM = 1.0
#: calls of a workspace that are looked at in one selection; calls that no target
#: suits are few, as only those that were tried before exclude any target
SCANNED = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A ticket that waits, with what was worked out when it came."""

    waiting_id: int
    ticket: Ticket
    entered: float
    #: expected seconds of service
    expected: float
    #: monotonic seconds by which it should start to keep to its stage's deadline
    urgency: float
    #: monotonic seconds after which starting it would be pointless
    latest_start: float
    #: whether it belongs to the service's long calls
    long: bool = False


class CallQueue(ABC):
    """Calls waiting for one service."""

    @abstractmethod
    def push(self, waiting: Waiting) -> None:
        """Add a call."""

    @abstractmethod
    def remove(self, waiting_id: int) -> Waiting | None:
        """Take out a call, ``None`` if it isn't there."""

    @abstractmethod
    def select(self, suits: Callable[[Waiting], bool]) -> Waiting | None:
        """Take out the call to be served next among those that ``suits`` accepts."""

    @abstractmethod
    def sum_pending(self) -> dict[str, float]:
        """Return the seconds of service that wait, by workspace."""

    @property
    @abstractmethod
    def long_waits(self) -> bool:
        """Whether a long call waits."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of calls that wait."""

    @abstractmethod
    def __iter__(self) -> Iterator[Waiting]:
        """Return all calls that wait, in no particular order."""


class _Lane:
    """The calls of one workspace, short ones and long ones apart.

    Where only short calls may start, a search through a thousand long ones on each
    event would block the loop; so each kind has its own order.
    """

    __slots__ = ("by_age", "by_urgency", "pending", "virtual")

    def __init__(self) -> None:
        self.by_age: tuple[dict[int, Waiting], ...] = ({}, {})
        self.by_urgency = (SortedKeyList(key=_sort_key), SortedKeyList(key=_sort_key))
        #: seconds of service received, divided by the weight
        self.virtual = 0.0
        #: seconds of service that wait
        self.pending = 0.0

    def __len__(self) -> int:
        return len(self.by_age[False]) + len(self.by_age[True])

    def add(self, waiting: Waiting) -> None:
        self.by_age[waiting.long][waiting.waiting_id] = waiting
        self.by_urgency[waiting.long].add(waiting)
        self.pending += waiting.expected

    def discard(self, waiting: Waiting) -> None:
        del self.by_age[waiting.long][waiting.waiting_id]
        self.by_urgency[waiting.long].remove(waiting)
        # sums of floats drift; an empty lane must hold nothing
        self.pending = self.pending - waiting.expected if len(self) else 0.0

    def find_oldest(self, suits: Callable[[Waiting], bool]) -> Waiting | None:
        heads = [_find_first(calls.values(), suits) for calls in self.by_age]
        return min(filter(None, heads), key=_age_key, default=None)

    def find_most_urgent(self, suits: Callable[[Waiting], bool]) -> Waiting | None:
        heads = [_find_first(calls, suits) for calls in self.by_urgency]
        return min(filter(None, heads), key=_sort_key, default=None)


def _find_first(
    calls: Iterable[Waiting], suits: Callable[[Waiting], bool]
) -> Waiting | None:
    for call in islice(calls, SCANNED):
        if suits(call):
            return call
    return None


def _age_key(waiting: Waiting) -> int:
    return waiting.waiting_id


def _sort_key(waiting: Waiting) -> tuple[int, float, int]:
    return (-waiting.ticket.priority, waiting.urgency, waiting.waiting_id)


class FairQueue(CallQueue):
    """Priority first, then weighted fair shares, then urgency.

    Each workspace has a virtual time: the service it has received, divided by its
    weight. Among the calls of the highest priority, the workspaces whose virtual
    time is within one quantum of the lowest are eligible, and the most urgent of
    their calls is served. So urgency decides while shares are about even, and the
    shares decide under overload, when one workspace asks for more than its own.

    Strict priority starves whoever comes last, seen as a workspace with no answer
    at all while others flood the service. So every :data:`FAIR_PERIOD`-th selection
    takes the oldest call of the workspace with the lowest virtual time, whatever
    its priority. Bound: of ``FAIR_PERIOD * k`` selections in a row among ``k``
    workspaces of equal weight and equal calls, each that had a call waiting all the
    time gets at least one.

    :param weigh: returns a workspace's weight, above 0.
    """

    def __init__(
        self, weigh: Callable[[str], float], *, quantum: float = QUANTUM
    ) -> None:
        self._weigh = weigh
        self._quantum = quantum
        self._lanes: dict[str, _Lane] = {}
        self._waiting: dict[int, Waiting] = {}
        #: virtual time of the workspace served last: where newcomers start
        self._virtual = 0.0
        self._selections = 0

    def push(self, waiting: Waiting) -> None:
        name = waiting.ticket.workspace
        lane = self._lanes.get(name)
        if lane is None:
            lane = self._lanes[name] = _Lane()
        if not lane:
            # time without calls earns no claim on service later
            lane.virtual = max(lane.virtual, self._virtual)
        lane.add(waiting)
        self._waiting[waiting.waiting_id] = waiting

    def remove(self, waiting_id: int) -> Waiting | None:
        waiting = self._waiting.pop(waiting_id, None)
        if waiting is None:
            return None
        self._lanes[waiting.ticket.workspace].discard(waiting)
        return waiting

    def select(self, suits: Callable[[Waiting], bool]) -> Waiting | None:
        fair_turn = (self._selections + 1) % FAIR_PERIOD == 0
        heads = self._find_heads(suits, by_age=fair_turn)
        if not heads:
            return None
        chosen = _pick_fair(heads) if fair_turn else self._pick(heads)
        self._selections += 1
        self._charge(chosen)
        self.remove(chosen.waiting_id)
        return chosen

    def sum_pending(self) -> dict[str, float]:
        return {name: lane.pending for name, lane in self._lanes.items() if lane}

    @property
    def long_waits(self) -> bool:
        return any(lane.by_age[True] for lane in self._lanes.values())

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(tuple(self._waiting.values()))

    def _find_heads(
        self, suits: Callable[[Waiting], bool], *, by_age: bool
    ) -> list[tuple[_Lane, Waiting]]:
        heads = []
        for name, lane in tuple(self._lanes.items()):
            if not lane:
                if lane.virtual <= self._virtual:
                    # it would start at the common virtual time anyway
                    del self._lanes[name]
                continue
            find = lane.find_oldest if by_age else lane.find_most_urgent
            head = find(suits)
            if head is not None:
                heads.append((lane, head))
        return heads

    def _pick(self, heads: list[tuple[_Lane, Waiting]]) -> Waiting:
        top = max(head.ticket.priority for _, head in heads)
        first = [pair for pair in heads if pair[1].ticket.priority == top]
        limit = min(lane.virtual for lane, _ in first) + self._quantum
        eligible = [head for lane, head in first if lane.virtual <= limit]
        return min(eligible, key=_sort_key)

    def _charge(self, waiting: Waiting) -> None:
        name = waiting.ticket.workspace
        lane = self._lanes[name]
        self._virtual = max(self._virtual, lane.virtual)
        lane.virtual += waiting.expected / self._weigh(name)


def _pick_fair(heads: list[tuple[_Lane, Waiting]]) -> Waiting:
    return min(heads, key=lambda pair: (pair[0].virtual, pair[1].waiting_id))[1]
