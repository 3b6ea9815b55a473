"""Registry of the attempts of one process and of outcomes handed over to it."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from . import Token

__all__ = ("AttemptState", "AttemptRecord", "AttemptRegistry")


class AttemptState(Enum):
    """State of an attempt; it only moves down this list."""

    #: the claim is being acquired; nothing was sent
    PENDING = "pending"
    #: stage calls may have been sent
    RUNNING = "running"
    #: ran, or may have run; there is an outcome
    FINISHED = "finished"
    #: ended without sending anything; will never run
    GIVEN_BACK = "given-back"


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """State of one attempt; ``outcome`` is empty unless it is stored."""

    state: AttemptState
    outcome: bytes = b""
    #: monotonic seconds of the last change of state
    since: float = 0.0
    #: key and digest of the claim; empty for attempts of other instances
    key: bytes = b""
    digest: bytes = b""


def may_run(state: AttemptState | None) -> bool:
    """Whether stage calls may be made for an attempt.

    A slow or paused writer may grant a claim after its attempt was abandoned. By
    then the attempt may have been reported as never run, and another instance may
    be running the request because of that.
    """
    return state is AttemptState.PENDING


class AttemptRegistry:
    """Attempts of this process, bounded in number, bytes and time.

    An unknown attempt counts as one that may have run, so early eviction can lose
    an answer but never cause a second run.
    """

    def __init__(self, *, retention: float, max_records: int, max_bytes: int) -> None:
        self._retention = retention
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._open: dict[Token, AttemptRecord] = {}
        self._closed: OrderedDict[Token, AttemptRecord] = OrderedDict()
        #: attempts that were granted their claims and have not given them back, by key
        self._granted: dict[bytes, Token] = {}
        self._bytes = 0

    @property
    def size(self) -> int:
        """Total size of the stored outcomes, in bytes."""
        return self._bytes

    @property
    def counts(self) -> tuple[int, int]:
        """Number of open and of closed attempts."""
        return len(self._open), len(self._closed)

    def find(self, token: Token) -> AttemptRecord | None:
        """Return the record of an attempt, if there is one."""
        return self._open.get(token) or self._closed.get(token)

    def find_granted(self, key: bytes) -> Token | None:
        """Return the attempt of this process that holds a key, if there is one."""
        return self._granted.get(key)

    def open(self, token: Token, key: bytes, digest: bytes, now: float) -> None:
        """Add a new attempt as pending."""
        self._open[token] = AttemptRecord(AttemptState.PENDING, b"", now, key, digest)

    def start(self, token: Token, now: float) -> bool:
        """Mark an attempt as running; return whether it may run."""
        record = self.find(token)
        if not may_run(record.state if record else None):
            return False
        self._open[token] = dataclasses.replace(
            record, state=AttemptState.RUNNING, since=now
        )
        self._granted[record.key] = token
        return True

    def give_back(self, token: Token, now: float) -> None:
        """Close an attempt that sent nothing."""
        record = self._open.pop(token)
        self._remove_granted(token, record)
        self._close(
            token,
            dataclasses.replace(record, state=AttemptState.GIVEN_BACK, since=now),
        )

    def finish(self, token: Token, outcome: bytes, now: float) -> None:
        """Close an attempt that ran or may have run, here or on another instance."""
        record = self._open.pop(token, AttemptRecord(AttemptState.FINISHED))
        self._close(
            token,
            dataclasses.replace(
                record, state=AttemptState.FINISHED, outcome=outcome, since=now
            ),
        )

    def expire(self, now: float) -> None:
        """Drop closed attempts that are older than the retention period."""
        while self._closed:
            token, record = next(iter(self._closed.items()))
            if now - record.since <= self._retention:
                return
            self._evict(token)

    def list_finished(self) -> tuple[tuple[Token, bytes], ...]:
        """Return the attempts with stored outcomes, newest first."""
        return tuple(
            (token, record.outcome)
            for token, record in reversed(self._closed.items())
            if record.outcome
        )

    def _close(self, token: Token, record: AttemptRecord) -> None:
        self._closed[token] = record
        self._bytes += len(record.outcome)
        while len(self._closed) > self._max_records or self._bytes > self._max_bytes:
            self._evict(next(iter(self._closed)))

    def _evict(self, token: Token) -> None:
        record = self._closed.pop(token)
        self._remove_granted(token, record)
        self._bytes -= len(record.outcome)

    def _remove_granted(self, token: Token, record: AttemptRecord) -> None:
        if self._granted.get(record.key) == token:
            del self._granted[record.key]
