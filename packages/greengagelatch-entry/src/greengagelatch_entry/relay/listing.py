"""The targets that are listed, as far as the store can be heard."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from greengagelatch.relay.targets import RETURN_SECONDS

from .following import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.targets import ListedTarget, TargetBook
    from greengagelatch.store import Entry
    from greengagelatch.store.ranges import Changes, Scan

    from .codecs import ListingCodec
    from .decisions import DecisionLog

__all__ = ("ListingFollower",)


class ListingFollower(StoreSubscriber):
    """Follows the targets' entries and keeps the book of targets.

    :param note_gone: called with the id of each target that is gone
    """

    def __init__(
        self,
        *,
        codec: ListingCodec,
        book: TargetBook,
        note_gone: Callable[[str], None],
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.prefix = codec.prefix
        self._clock = clock
        self._decisions = decisions
        self._codec = codec
        self._book = book
        self._note_gone = note_gone
        self._informed = False
        self._revision = 0
        #: monotonic seconds until which a missing entry may yet be written again
        self._returning_until = float("-inf")

    @property
    def revision(self) -> int:
        """Revision of the store up to which targets' entries are known."""
        return self._revision

    @property
    def informed(self) -> bool:
        """Whether a listing has been read at all."""
        return self._informed

    def take_scan(self, scan: Scan) -> None:
        targets = tuple(filter(None, map(self._decode, scan.entries)))
        listed = {target.target_id for target in targets}
        for target in self._book.list_all():
            if target.target_id in listed or target.revision > scan.revision:
                continue
            self._lose(target, scan.revision)
        for target in targets:
            self._put(target)
        self._revision = max(self._revision, scan.revision)
        self._informed = True

    def take_changes(self, changes: Changes) -> None:
        for entry in changes.written:
            target = self._decode(entry)
            if target is not None:
                self._put(target)
        known = {target.target_id: target for target in self._book.list_all()}
        for key, revision in changes.removed:
            target = known.get(key.removeprefix(self._codec.prefix))
            if target is not None:
                self._lose(target, revision)
        self._revision = max(self._revision, changes.revision)

    def take_news(self, targets: tuple[ListedTarget, ...], revision: int) -> None:
        """Take in a listing that a peer has read later than this instance."""
        if revision <= self._revision and self._informed:
            return
        listed = {target.target_id for target in targets}
        for target in self._book.list_all():
            if target.target_id not in listed and target.revision <= revision:
                self._remove(target, revision, lapsed=True)
        for target in targets:
            self._put(target)
        self._revision = max(self._revision, revision)
        self._informed = True

    def note_regained(self) -> None:
        # entries lapse while targets can't renew them; those that live write them
        # again within this time
        self._returning_until = self._clock.now() + RETURN_SECONDS

    def _put(self, target: ListedTarget) -> None:
        if not self._book.put(target):
            return
        self._decisions.note_belief(
            "target",
            target=target.target_id,
            service=target.service,
            address=target.address,
            data_centre=target.data_centre,
            state="leaving" if target.leaving else "ready",
            revision=target.revision,
        )
        if target.leaving:
            self._note_gone(target.target_id)

    def _lose(self, target: ListedTarget, revision: int) -> None:
        """Take in that an entry is missing.

        Right after the store was away whole services may be missing for a moment,
        although their targets live. One that is the last of its service is given
        the time in which it would be written again.
        """
        returning = self._clock.now() < self._returning_until
        last = len(self._book.list_service(target.service)) <= 1
        if returning and last and not target.leaving:
            left = self._returning_until - self._clock.now()
            loop = asyncio.get_running_loop()
            loop.call_later(left, self._lose_unless_back, target, revision)
            return
        self._remove(target, revision, lapsed=returning)

    def _lose_unless_back(self, target: ListedTarget, revision: int) -> None:
        for known in self._book.list_all():
            if known.target_id == target.target_id and known.revision <= revision:
                self._remove(target, revision, lapsed=True)

    def _remove(self, target: ListedTarget, revision: int, *, lapsed: bool) -> None:
        if not self._book.remove(target.target_id, revision, lapsed=lapsed):
            return
        self._decisions.note_belief(
            "target",
            target=target.target_id,
            service=target.service,
            address=target.address,
            state="lapsed" if lapsed else "gone",
            revision=revision,
        )
        self._note_gone(target.target_id)

    def _decode(self, entry: Entry) -> ListedTarget | None:
        match self._codec.decode(entry.key, entry.value, entry.revision):
            case Ok(target):
                return target
            case Err(problem):
                self._decisions.note_belief(
                    "target-unreadable", key=entry.key, reason=str(problem)
                )
        return None

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "informed": self._informed,
            "targets": len(self._book),
        }
