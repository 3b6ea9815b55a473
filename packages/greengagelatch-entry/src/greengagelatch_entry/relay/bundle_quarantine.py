"""Quarantine of bundles that crash makers."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.quarantine import SUSPECT_CRASHES

from .crash_detector import SETTLE_SECONDS
from .suspect_admission import LOCK_RETRY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.pieces import Bundle
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.relay.targets import ListedTarget

    from .crash_detector import CrashDetector
    from .suspect_locks import Lock, SuspectLocks

__all__ = ("DisabledBundleQuarantine", "BundleQuarantine", "SharedBundleQuarantine")

#: seconds after which a lock is released whose pieces were not sent: they may have
#: been withdrawn, or no maker may be idle
UNUSED_TURN_SECONDS = 1.0


class BundleQuarantine(ABC):
    """Tracks the bundles in calls that broke off."""

    @abstractmethod
    def record_start(self, bundles: Iterable[Bundle]) -> None:
        """Record that a call with pieces of ``bundles`` starts."""

    @abstractmethod
    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Record that a call with pieces of ``bundles`` broke off."""

    @abstractmethod
    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Record that a maker answered a call with pieces of ``bundles``."""

    @abstractmethod
    def record_end(self, bundles: Iterable[Bundle]) -> None:
        """Record that a call with pieces of ``bundles`` has ended in any way."""

    @abstractmethod
    def has_suspects(self) -> bool:
        """Return whether any bundle may be suspected; called for each call."""

    @abstractmethod
    def is_suspect(self, bundle: Bundle) -> bool:
        """Return whether a bundle must not share calls with others."""

    @abstractmethod
    def may_send(self, bundle: Bundle) -> bool:
        """Return whether a suspect may be sent now, rather than wait for its turn."""

    @abstractmethod
    def is_quarantined(self, bundle: Bundle) -> bool:
        """Return whether a bundle must not be sent to any maker."""


class DisabledBundleQuarantine(BundleQuarantine):
    """Suspects no bundle."""

    def record_start(self, bundles: Iterable[Bundle]) -> None:
        pass

    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def record_end(self, bundles: Iterable[Bundle]) -> None:
        pass

    def has_suspects(self) -> bool:
        return False

    def is_suspect(self, bundle: Bundle) -> bool:
        return False

    def may_send(self, bundle: Bundle) -> bool:
        return True

    def is_quarantined(self, bundle: Bundle) -> bool:
        return False


@dataclass(slots=True)
class _Turn:
    """The right to send pieces under one key, once it has been locked."""

    lock: Lock | None = None
    in_call: bool = False


class SharedBundleQuarantine(BundleQuarantine):
    """Counts the makers that a bundle crashed, over all instances.

    Each stage of a request is counted separately, and apart from the request itself:
    one of them may crash its makers while the others are harmless. Suspects are sent
    one call at a time, as several attempts at a request would crash a maker each.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        locks: SuspectLocks,
        crash_detector: CrashDetector,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._locks = locks
        self._crash_detector = crash_detector
        self._clock = clock
        self._turns: dict[str, _Turn] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_start(self, bundles: Iterable[Bundle]) -> None:
        for key in _list_keys(bundles):
            turn = self._turns.get(key)
            if turn is not None:
                turn.in_call = True

    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        for key in _list_keys(bundles):
            self._crash_detector.record_disconnect(maker, key)

    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        for key in _list_keys(bundles):
            if self._quarantine.count_crashed(key):
                self._crash_detector.record_answer(maker, key)

    def record_end(self, bundles: Iterable[Bundle]) -> None:
        for key in _list_keys(bundles):
            turn = self._turns.get(key)
            if turn is not None and turn.in_call:
                self._end_turn(key, turn)

    def has_suspects(self) -> bool:
        return self._quarantine.has_crashes()

    def is_suspect(self, bundle: Bundle) -> bool:
        return self._quarantine.count_crashed(_build_key(bundle)) >= SUSPECT_CRASHES

    def may_send(self, bundle: Bundle) -> bool:
        key = _build_key(bundle)
        if not self._crash_detector.is_settled(key):
            return False
        turn = self._turns.get(key)
        if turn is not None:
            return turn.lock is not None and not turn.in_call
        turn = self._turns[key] = _Turn()
        task = asyncio.create_task(self._begin_turn(key, turn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return False

    def is_quarantined(self, bundle: Bundle) -> bool:
        key = _build_key(bundle)
        if self._quarantine.find_hold_seconds(key, self._clock.now()) is None:
            return False
        return self._crash_detector.is_settled(key)

    async def _begin_turn(self, key: str, turn: _Turn) -> None:
        """Lock a key; the next scheduling run sends its pieces."""
        turn.lock = await self._locks.acquire(key)
        seconds = LOCK_RETRY_SECONDS if turn.lock is None else UNUSED_TURN_SECONDS
        asyncio.get_running_loop().call_later(seconds, self._drop_unused, key, turn)

    def _drop_unused(self, key: str, turn: _Turn) -> None:
        if self._turns.get(key) is turn and not turn.in_call:
            self._end_turn(key, turn)

    def _end_turn(self, key: str, turn: _Turn) -> None:
        del self._turns[key]
        if turn.lock is not None:
            settled = self._crash_detector.is_settled(key)
            self._locks.release(turn.lock, 0.0 if settled else SETTLE_SECONDS)


def _list_keys(bundles: Iterable[Bundle]) -> set[str]:
    # peers of earlier releases do not send a digest
    return {_build_key(bundle) for bundle in bundles if bundle.digest}


def _build_key(bundle: Bundle) -> str:
    return f"{bundle.digest}/{bundle.service}"
