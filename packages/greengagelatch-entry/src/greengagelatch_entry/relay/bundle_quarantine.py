"""Bundles of pieces under which makers end: told from those in the same calls."""

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

#: makers that may end under a bundle until it is made in calls of its own
MAX_SHARED_CRASHES = 2


class BundleQuarantine(ABC):
    """What is known of bundles whose calls broke."""

    @abstractmethod
    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Take in that a maker broke off a call with pieces of these."""

    @abstractmethod
    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Take in that a maker answered a call with pieces of these."""

    @abstractmethod
    def has_suspects(self) -> bool:
        """Whether any bundle may be suspected: asked for each call of a maker."""

    @abstractmethod
    def is_suspect(self, bundle: Bundle) -> bool:
        """Whether a bundle must not share calls with others."""

    @abstractmethod
    def is_held(self, bundle: Bundle) -> bool:
        """Whether no maker may be given a bundle."""


class DisabledBundleQuarantine(BundleQuarantine):
    """Trusts every bundle."""

    def record_disconnect(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def record_success(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def has_suspects(self) -> bool:
        return False

    def is_suspect(self, bundle: Bundle) -> bool:
        return False

    def is_held(self, bundle: Bundle) -> bool:
        return False


class SharedBundleQuarantine(BundleQuarantine):
    """Counts the makers that end under a bundle, over all instances.

    A request's stages are counted apart from each other and from the request: one of
    them may end what runs it while all others are well.
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
            if self._quarantine.count_ended(key):
                self._crashes.record_answer(maker, key)

    def has_suspects(self) -> bool:
        return self._quarantine.has_ends()

    def is_suspect(self, bundle: Bundle) -> bool:
        return self._quarantine.count_ended(_build_key(bundle)) >= MAX_SHARED_CRASHES

    def is_held(self, bundle: Bundle) -> bool:
        key = _build_key(bundle)
        return self._quarantine.find_hold(key, self._clock.now()) is not None


def _list_keys(bundles: Iterable[Bundle]) -> set[str]:
    # peers of earlier releases don't tell a digest
    return {_build_key(bundle) for bundle in bundles if bundle.digest}


def _build_key(bundle: Bundle) -> str:
    return f"{bundle.digest}/{bundle.service}"
