"""Quarantine of bundles that crash makers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.pieces import Bundle
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.relay.targets import ListedTarget

    from .crash_detector import CrashDetector

__all__ = ("DisabledBundleQuarantine", "BundleQuarantine", "SharedBundleQuarantine")

#: crashes of makers after which a bundle no longer shares calls with others
MAX_SHARED_CRASHES = 2


class BundleQuarantine(ABC):
    """Tracks the bundles in calls that broke off."""

    @abstractmethod
    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Record that a call with pieces of ``bundles`` broke off."""

    @abstractmethod
    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Record that a maker answered a call with pieces of ``bundles``."""

    @abstractmethod
    def has_suspects(self) -> bool:
        """Return whether any bundle may be suspected; called for each call."""

    @abstractmethod
    def is_suspect(self, bundle: Bundle) -> bool:
        """Return whether a bundle must not share calls with others."""

    @abstractmethod
    def is_quarantined(self, bundle: Bundle) -> bool:
        """Return whether a bundle must not be sent to any maker."""


class DisabledBundleQuarantine(BundleQuarantine):
    """Suspects no bundle."""

    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def has_suspects(self) -> bool:
        return False

    def is_suspect(self, bundle: Bundle) -> bool:
        return False

    def is_quarantined(self, bundle: Bundle) -> bool:
        return False


class SharedBundleQuarantine(BundleQuarantine):
    """Counts the makers that a bundle crashed, over all instances.

    Each stage of a request is counted separately, and apart from the request itself:
    one of them may crash its targets while the others are harmless.
    """

    def __init__(
        self, *, quarantine: Quarantine, crashes: CrashDetector, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._crashes = crashes
        self._clock = clock

    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        for key in _list_keys(bundles):
            self._crashes.record_disconnect(maker, key)

    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        for key in _list_keys(bundles):
            if self._quarantine.count_crashed(key):
                self._crashes.record_answer(maker, key)

    def has_suspects(self) -> bool:
        return self._quarantine.has_crashes()

    def is_suspect(self, bundle: Bundle) -> bool:
        return self._quarantine.count_crashed(_build_key(bundle)) >= MAX_SHARED_CRASHES

    def is_quarantined(self, bundle: Bundle) -> bool:
        key = _build_key(bundle)
        return self._quarantine.find_hold_seconds(key, self._clock.now()) is not None


def _list_keys(bundles: Iterable[Bundle]) -> set[str]:
    # peers of earlier releases do not send a digest
    return {_build_key(bundle) for bundle in bundles if bundle.digest}


def _build_key(bundle: Bundle) -> str:
    return f"{bundle.digest}/{bundle.service}"
