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

    from .crash_watch import CrashWatch

__all__ = ("NoSuspects", "PieceSuspects", "WatchedPieces")

#: makers that may end under a bundle until it is made in calls of its own
MAX_ENDED_SHARED = 2


class PieceSuspects(ABC):
    """What is known of bundles whose calls broke."""

    @abstractmethod
    def note_broken(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Take in that a maker broke off a call with pieces of these."""

    @abstractmethod
    def note_made(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        """Take in that a maker answered a call with pieces of these."""

    @abstractmethod
    def has_any(self) -> bool:
        """Whether any bundle may be suspected: asked for each call of a maker."""

    @abstractmethod
    def is_suspect(self, bundle: Bundle) -> bool:
        """Whether a bundle must not share calls with others."""

    @abstractmethod
    def is_held(self, bundle: Bundle) -> bool:
        """Whether no maker may be given a bundle."""


class NoSuspects(PieceSuspects):
    """Trusts every bundle."""

    def note_broken(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def note_made(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        pass

    def has_any(self) -> bool:
        return False

    def is_suspect(self, bundle: Bundle) -> bool:
        return False

    def is_held(self, bundle: Bundle) -> bool:
        return False


class WatchedPieces(PieceSuspects):
    """Counts the makers that end under a bundle, over all instances.

    A request's stages are counted apart from each other and from the request: one of
    them may end what runs it while all others are well.
    """

    def __init__(
        self, *, quarantine: Quarantine, crashes: CrashWatch, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._crashes = crashes
        self._clock = clock

    def note_broken(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        for subject in _list_subjects(bundles):
            self._crashes.note_broken(maker, subject)

    def note_made(self, maker: ListedTarget, bundles: Iterable[Bundle]) -> None:
        for subject in _list_subjects(bundles):
            if self._quarantine.count_crashed(subject):
                self._crashes.note_survived(maker, subject)

    def has_any(self) -> bool:
        return self._quarantine.has_crashes()

    def is_suspect(self, bundle: Bundle) -> bool:
        return self._quarantine.count_crashed(_name(bundle)) >= MAX_ENDED_SHARED

    def is_held(self, bundle: Bundle) -> bool:
        subject = _name(bundle)
        return (
            self._quarantine.find_quarantine_seconds(subject, self._clock.now())
            is not None
        )


def _list_subjects(bundles: Iterable[Bundle]) -> set[str]:
    # peers of earlier releases don't tell a digest
    return {_name(bundle) for bundle in bundles if bundle.digest}


def _name(bundle: Bundle) -> str:
    return f"{bundle.digest}/{bundle.service}"
