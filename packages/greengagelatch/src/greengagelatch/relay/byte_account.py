"""Account of the bytes that an instance holds for its callers and targets."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = (
    "HEAD_COPIES",
    "ByteAccount",
    "ByteAccountRule",
    "ByteHolding",
    "HoldingKind",
    "PendingGrowth",
    "create_account_rule",
)

MEBIBYTE = 1024 * 1024
#: bytes of memory assumed for an instance whose settings give none
DEFAULT_MEMORY_BYTES = 256 * MEBIBYTE
#: share of the memory that the instance may use
MEMORY_SHARE = 0.75
#: bytes of memory that an idle instance needs
IDLE_BYTES = 56 * MEBIBYTE
#: bytes of memory for each byte held: buffers on both sides and fragmentation
COPY_FACTOR = 1.5
#: minimum limit in bytes
MIN_LIMIT_BYTES = 8 * MEBIBYTE
#: size in bytes up to which a holding is small
SMALL_BYTES = 64 * 1024
#: share of the limit that only small holdings use
SMALL_SHARE = 0.25
#: share of the limit that heads of requests may use, whether or not there is room
HEAD_SHARE = 0.25
#: bytes outside of the account that wait for a client which does not read on, and the
#: share of the limit that they may amount to
UNREAD_BYTES = 128 * 1024
UNREAD_SHARE = 0.125
#: bytes of a holding for each byte of a head, which is decoded into many objects
HEAD_COPIES = 2


class HoldingKind(Enum):
    """What the bytes of a holding belong to."""

    REQUESTS = "requests"
    RESPONSES = "responses"
    #: to calls for stages, and error responses to streams
    ANSWERS = "answers"
    #: of streams, while they are incomplete
    EVENTS = "events"
    #: of callers' requests, until these are served
    HEADS = "heads"


@dataclass(frozen=True, slots=True, kw_only=True)
class ByteAccountRule:
    """Limits of an account, in bytes."""

    #: for all holdings together
    limit: int
    #: size up to which a holding is small
    small_bytes: int = SMALL_BYTES
    #: share of ``limit`` that only small holdings use
    small_share: float = SMALL_SHARE

    @property
    def max_head_bytes(self) -> int:
        """Limit for the heads of all callers' requests, as they are received."""
        return int(self.limit * HEAD_SHARE / HEAD_COPIES)

    @property
    def max_unread(self) -> int:
        """Limit for the responses that wait for their clients to read on."""
        return int(self.limit * UNREAD_SHARE / UNREAD_BYTES)

    @property
    def large_limit(self) -> int:
        """Limit for all holdings together that are not small."""
        return int(self.limit * (1.0 - self.small_share))


def create_account_rule(memory_bytes: float) -> ByteAccountRule:
    """Return the rule for an instance.

    :param memory_bytes: memory of the process; 0: unknown
    """
    memory = memory_bytes or DEFAULT_MEMORY_BYTES
    limit = int((memory * MEMORY_SHARE - IDLE_BYTES) / COPY_FACTOR)
    return ByteAccountRule(limit=max(MIN_LIMIT_BYTES, limit))


class ByteAccount:
    """Sums up holdings and keeps their sum under a limit.

    Growth that has no room may wait for it; the longest waiting one is granted first,
    and no large holding overtakes it.
    """

    def __init__(self, rule: ByteAccountRule) -> None:
        self.rule = rule
        #: bytes held at present, by kind
        self.held: dict[HoldingKind, int] = dict.fromkeys(HoldingKind, 0)
        self._total = 0
        self._large_total = 0
        self._pending: deque[PendingGrowth] = deque()

    @property
    def total(self) -> int:
        """Bytes held at present."""
        return self._total

    def open(self, kind: HoldingKind) -> ByteHolding:
        """Return a new holding, which is empty."""
        return ByteHolding(self, kind)

    def count_pending(self) -> int:
        """Return how many holdings wait for room."""
        return len(self._pending)

    def has_room(self, holding: ByteHolding, size: int) -> bool:
        """Return whether a holding may grow by ``size`` bytes now."""
        if self._total + size > self.rule.limit:
            return False
        added = self._count_large(holding.size + size) - self._count_large(holding.size)
        return not added or self._large_total + added <= self.rule.large_limit

    def may_overtake(self, holding: ByteHolding, size: int) -> bool:
        """Return whether a holding may grow before those that wait for room."""
        return not self._pending or holding.size + size <= self.rule.small_bytes

    def could_hold(self, size: int) -> bool:
        """Return whether a holding of ``size`` bytes has room once others are gone."""
        return size <= max(self.rule.large_limit, self.rule.small_bytes)

    def add_pending(self, growth: PendingGrowth) -> None:
        """Put growth last in the queue."""
        self._pending.append(growth)

    def remove_pending(self, growth: PendingGrowth) -> None:
        """Take growth out of the queue, if it is there."""
        if growth in self._pending:
            self._pending.remove(growth)
            self._grant_pending()

    def change(self, holding: ByteHolding, size: int) -> None:
        """Set the size of a holding."""
        added = size - holding.size
        self._large_total += self._count_large(size) - self._count_large(holding.size)
        self._total += added
        self.held[holding.kind] += added
        holding.size = size
        if added < 0:
            self._grant_pending()

    def close(self, holding: ByteHolding) -> None:
        """Give back all bytes of a holding, and end its waits for room."""
        if self._pending:
            self._pending = deque(
                growth for growth in self._pending if growth.holding is not holding
            )
        self.change(holding, 0)
        self._grant_pending()

    def _count_large(self, size: int) -> int:
        return size if size > self.rule.small_bytes else 0

    def _grant_pending(self) -> None:
        while self._pending:
            growth = self._pending[0]
            if not self.has_room(growth.holding, growth.size):
                return
            self._pending.popleft()
            self.change(growth.holding, growth.holding.size + growth.size)
            growth.on_granted()


class ByteHolding:
    """Bytes held for one purpose; it must be released."""

    __slots__ = ("_account", "_released", "kind", "size")

    def __init__(self, account: ByteAccount, kind: HoldingKind) -> None:
        self._account = account
        self._released = False
        self.kind = kind
        self.size = 0

    def try_grow(self, size: int) -> bool:
        """Grow by ``size`` bytes if there is room; return whether there was."""
        account = self._account
        if self._released or not account.has_room(self, size):
            return False
        if not account.may_overtake(self, size):
            return False
        account.change(self, self.size + size)
        return True

    def wait_to_grow(self, size: int, on_granted: Callable[[], None]) -> PendingGrowth:
        """Grow by ``size`` bytes once there is room.

        :param on_granted: called when that has happened
        """
        growth = PendingGrowth(self, size, on_granted)
        self._account.add_pending(growth)
        return growth

    def could_grow(self, size: int) -> bool:
        """Return whether it may grow by ``size`` bytes once others are gone."""
        return self._account.could_hold(self.size + size)

    def shrink(self, size: int) -> None:
        """Give back ``size`` bytes, or all if it holds fewer."""
        self._account.change(self, max(0, self.size - size))

    def resize(self, size: int) -> None:
        """Set the size, also where there is no room; others wait for it then."""
        self._account.change(self, size)

    def release(self) -> None:
        """Give back all bytes; it can't grow any more."""
        self._released = True
        self._account.close(self)


@dataclass(frozen=True, slots=True, eq=False)
class PendingGrowth:
    """Growth of a holding that waits for room."""

    holding: ByteHolding
    size: int
    on_granted: Callable[[], None]

    def cancel(self) -> None:
        """Stop waiting; without effect once it was granted."""
        self.holding._account.remove_pending(self)
