"""The targets that are listed, as far as the store can be heard."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from greengagelatch.relay.incarnations import IncarnationOrder
from greengagelatch.relay.targets import REREGISTRATION_SECONDS

from .bad_entries import BadEntries
from .following import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget, TargetTable
    from greengagelatch.store import Entry
    from greengagelatch.store.ranges import Changes, Scan

    from ..metrics import Metrics
    from .codecs import ListingCodec
    from .decisions import DecisionLog

__all__ = ("ListingFollower",)

#: old answers that are remembered; beyond it a line may be written again
MAX_OUTDATED = 1024


class ListingFollower(StoreSubscriber):
    """Follows the targets' entries and keeps the book of targets.

    :param note_gone: called with each incarnation that is gone
    :param find_services: returns the services that are configured; ``None`` before
        any are known
    """

    def __init__(
        self,
        *,
        codec: ListingCodec,
        book: TargetTable,
        note_gone: Callable[[Incarnation], None],
        find_services: Callable[[], Collection[str] | None],
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self.prefix = codec.prefix
        self._clock = clock
        self._decisions = decisions
        self._codec = codec
        self._book = book
        self._note_gone = note_gone
        self._find_services = find_services
        self._metrics = metrics
        self._bad = BadEntries(metrics=metrics, decisions=decisions)
        #: incarnations whose old answers have been logged, by id
        self._outdated: dict[str, Incarnation] = {}
        #: services that no configuration names, by the id of their target
        self._strange: dict[str, str] = {}
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
        targets = self._read(scan.entries)
        self._bad.keep({entry.key for entry in scan.entries})
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
        for target in self._read(changes.written):
            self._put(target)
        for key, revision in changes.removed:
            self._bad.forget(key)
            target = self._book.find_listed(key.removeprefix(self._codec.prefix))
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
        self._returning_until = self._clock.now() + REREGISTRATION_SECONDS

    def _put(self, target: ListedTarget) -> None:
        former = None
        match self._book.compare(target):
            case IncarnationOrder.OUTDATED:
                self._note_outdated(target)
                return
            case IncarnationOrder.UNKNOWN:
                # told by a peer that does not know the newest; the store's own
                # entries of this kind are set aside before
                self._metrics.count("targets.untold")
                return
            case IncarnationOrder.NEWER:
                former = self._book.find_newest(target.target_id)
        changed = self._book.put(target)
        if former is not None:
            self._note_restart(target, former)
        self._check_service(target.target_id)
        if not changed:
            return
        self._decisions.note_belief(
            "target",
            target=str(target.incarnation),
            service=target.service,
            address=target.address,
            data_centre=target.data_centre,
            state="leaving" if target.leaving else "ready",
            revision=target.revision,
        )
        if target.leaving:
            self._note_gone(target.incarnation)

    def _note_restart(self, target: ListedTarget, former: Incarnation) -> None:
        """Drop all that is known of the incarnation before.

        Believed of the new one, it would be sent prompts whose parts it has lost, be
        passed over for failures that are not its own, or get nothing for good where
        the former one was leaving.
        """
        self._metrics.count("targets.restarted")
        self._outdated.pop(target.target_id, None)
        self._decisions.note_belief(
            "target-restarted",
            target=str(target.incarnation),
            former=str(former),
            address=target.address,
            revision=target.revision,
        )
        self._note_gone(former)

    def _note_outdated(self, target: ListedTarget) -> None:
        """Take in an old answer: it is of an incarnation that has ended."""
        self._metrics.count("targets.outdated")
        if self._outdated.get(target.target_id) == target.incarnation:
            return
        self._outdated[target.target_id] = target.incarnation
        if len(self._outdated) > MAX_OUTDATED:
            del self._outdated[next(iter(self._outdated))]
        self._decisions.note_belief(
            "target-outdated",
            target=str(target.incarnation),
            known=str(self._book.find_newest(target.target_id)),
            revision=target.revision,
        )

    def check_services(self) -> None:
        """Take in that other services are configured than before."""
        for target in self._book.list_all():
            self._check_service(target.target_id)

    def _check_service(self, target_id: str) -> None:
        """Tell once of a target whose service is in no configuration.

        It gets no work, as no route leads there. It stays in the book: a later
        version may name the service, and no entry would tell of the target again.
        """
        target = self._book.find_listed(target_id)
        services = self._find_services()
        if target is None or services is None or target.service in services:
            self._strange.pop(target_id, None)
            return
        if self._strange.get(target_id) == target.service:
            return
        self._strange[target_id] = target.service
        self._metrics.count("targets.unknown_service")
        self._decisions.note_belief(
            "target-unknown-service",
            target=str(target.incarnation),
            service=target.service,
            revision=target.revision,
        )

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
        # nothing is done if it has been written again, or has started again
        self._remove(target, revision, lapsed=True)

    def _remove(self, target: ListedTarget, revision: int, *, lapsed: bool) -> None:
        if not self._book.remove(target.incarnation, revision, lapsed=lapsed):
            return
        self._outdated.pop(target.target_id, None)
        self._strange.pop(target.target_id, None)
        self._decisions.note_belief(
            "target",
            target=str(target.incarnation),
            service=target.service,
            address=target.address,
            state="lapsed" if lapsed else "gone",
            revision=revision,
        )
        self._note_gone(target.incarnation)

    def _read(self, entries: tuple[Entry, ...]) -> list[ListedTarget]:
        """Return the targets of the entries that name one to use."""
        targets = []
        for entry in entries:
            match self._codec.decode(entry.key, entry.value, entry.revision):
                case Err(problem):
                    self._set_aside(entry, str(problem))
                case Ok(target):
                    reason = self._find_fault(target)
                    if reason:
                        self._set_aside(entry, reason)
                        continue
                    self._bad.forget(entry.key)
                    targets.append(target)
        return targets

    def _find_fault(self, target: ListedTarget) -> str:
        """Return why an entry that can be read names no target to use."""
        if self._book.compare(target) is IncarnationOrder.UNKNOWN:
            known = self._book.find_newest(target.target_id)
            return f"tells no start, and {known} was at another address"
        return ""

    def _set_aside(self, entry: Entry, reason: str) -> None:
        """Send a target nothing more while its entry names none to use.

        What it has been sent stays with it. It is used again once its entry can be
        read: nothing says that it has ended.
        """
        self._bad.note(entry, reason)
        target = self._book.find_listed(entry.key.removeprefix(self._codec.prefix))
        if target is not None and target.revision < entry.revision:
            self._remove(target, entry.revision, lapsed=True)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "informed": self._informed,
            "targets": len(self._book),
            "bad_entries": self._bad.dump(),
            "unknown_services": dict(self._strange),
        }
