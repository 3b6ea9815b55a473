"""The targets that are listed, as far as the store can be heard."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from greengagelatch.relay.incarnations import Succession
from greengagelatch.relay.targets import RETURN_SECONDS

from .invalid_entries import InvalidEntries
from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget, TargetBook
    from greengagelatch.store import Entry
    from greengagelatch.store.ranges import Changes, Scan

    from ..metrics import Metrics
    from .codecs import ListingCodec
    from .decisions import DecisionLog

__all__ = ("ListingFollower",)

#: old answers that are remembered; beyond it a line may be written again
MAX_OUTDATED_REPORTED = 1024


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
        book: TargetBook,
        on_removed: Callable[[Incarnation], None],
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
        self._on_removed = on_removed
        self._find_services = find_services
        self._metrics = metrics
        self._invalid = InvalidEntries(metrics=metrics, decisions=decisions)
        #: incarnations whose old answers have been logged, by id
        self._outdated: dict[str, Incarnation] = {}
        #: services that no configuration names, by the id of their target
        self._unknown_services: dict[str, str] = {}
        self._synced = False
        self._revision = 0
        #: monotonic seconds until which a missing entry may yet be written again
        self._grace_until = float("-inf")

    @property
    def revision(self) -> int:
        """Revision of the store up to which targets' entries are known."""
        return self._revision

    @property
    def synced(self) -> bool:
        """Whether a listing has been read at all."""
        return self._synced

    def apply_scan(self, scan: Scan) -> None:
        targets = self._read(scan.entries)
        self._invalid.retain_only({entry.key for entry in scan.entries})
        listed = {target.target_id for target in targets}
        for target in self._book.list_all():
            if target.target_id in listed or target.revision > scan.revision:
                continue
            self._handle_missing(target, scan.revision)
        for target in targets:
            self._put(target)
        self._revision = max(self._revision, scan.revision)
        self._synced = True

    def apply_changes(self, changes: Changes) -> None:
        for target in self._read(changes.written):
            self._put(target)
        for key, revision in changes.removed:
            self._invalid.discard(key)
            target = self._book.find_listed(key.removeprefix(self._codec.prefix))
            if target is not None:
                self._handle_missing(target, revision)
        self._revision = max(self._revision, changes.revision)

    def apply_peer_listing(
        self, targets: tuple[ListedTarget, ...], revision: int
    ) -> None:
        """Take in a listing that a peer has read later than this instance."""
        if revision <= self._revision and self._synced:
            return
        listed = {target.target_id for target in targets}
        for target in self._book.list_all():
            if target.target_id not in listed and target.revision <= revision:
                self._remove(target, revision, lapsed=True)
        for target in targets:
            self._put(target)
        self._revision = max(self._revision, revision)
        self._synced = True

    def handle_store_recovered(self) -> None:
        # entries lapse while targets can't renew them; those that live write them
        # again within this time
        self._grace_until = self._clock.now() + RETURN_SECONDS

    def _put(self, target: ListedTarget) -> None:
        former = None
        match self._book.compare(target):
            case Succession.OUTDATED:
                self._record_outdated(target)
                return
            case Succession.UNTOLD:
                # told by a peer that does not know the newest; the store's own
                # entries of this kind are set aside before
                self._metrics.count("targets.untold")
                return
            case Succession.NEWER:
                former = self._book.find_newest(target.target_id)
        changed = self._book.put(target)
        if former is not None:
            self._handle_restart(target, former)
        self._check_service(target.target_id)
        if not changed:
            return
        self._decisions.log_state_change(
            "target",
            target=str(target.incarnation),
            service=target.service,
            address=target.address,
            data_centre=target.data_centre,
            state="leaving" if target.leaving else "ready",
            revision=target.revision,
        )
        if target.leaving:
            self._on_removed(target.incarnation)

    def _handle_restart(self, target: ListedTarget, former: Incarnation) -> None:
        """Drop all that is known of the incarnation before.

        Believed of the new one, it would be sent prompts whose parts it has lost, be
        passed over for failures that are not its own, or get nothing for good where
        the former one was leaving.
        """
        self._metrics.count("targets.restarted")
        self._outdated.pop(target.target_id, None)
        self._decisions.log_state_change(
            "target-restarted",
            target=str(target.incarnation),
            former=str(former),
            address=target.address,
            revision=target.revision,
        )
        self._on_removed(former)

    def _record_outdated(self, target: ListedTarget) -> None:
        """Take in an old answer: it is of an incarnation that has ended."""
        self._metrics.count("targets.outdated")
        if self._outdated.get(target.target_id) == target.incarnation:
            return
        self._outdated[target.target_id] = target.incarnation
        if len(self._outdated) > MAX_OUTDATED_REPORTED:
            del self._outdated[next(iter(self._outdated))]
        self._decisions.log_state_change(
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
            self._unknown_services.pop(target_id, None)
            return
        if self._unknown_services.get(target_id) == target.service:
            return
        self._unknown_services[target_id] = target.service
        self._metrics.count("targets.unknown_service")
        self._decisions.log_state_change(
            "target-unknown-service",
            target=str(target.incarnation),
            service=target.service,
            revision=target.revision,
        )

    def _handle_missing(self, target: ListedTarget, revision: int) -> None:
        """Take in that an entry is missing.

        Right after the store was away whole services may be missing for a moment,
        although their targets live. One that is the last of its service is given
        the time in which it would be written again.
        """
        in_grace = self._clock.now() < self._grace_until
        is_last = len(self._book.list_service(target.service)) <= 1
        if in_grace and is_last and not target.leaving:
            left = self._grace_until - self._clock.now()
            loop = asyncio.get_running_loop()
            loop.call_later(left, self._remove_if_still_missing, target, revision)
            return
        self._remove(target, revision, lapsed=in_grace)

    def _remove_if_still_missing(self, target: ListedTarget, revision: int) -> None:
        # nothing is done if it has been written again, or has started again
        self._remove(target, revision, lapsed=True)

    def _remove(self, target: ListedTarget, revision: int, *, lapsed: bool) -> None:
        if not self._book.remove(target.incarnation, revision, lapsed=lapsed):
            return
        self._outdated.pop(target.target_id, None)
        self._unknown_services.pop(target.target_id, None)
        self._decisions.log_state_change(
            "target",
            target=str(target.incarnation),
            service=target.service,
            address=target.address,
            state="lapsed" if lapsed else "gone",
            revision=revision,
        )
        self._on_removed(target.incarnation)

    def _read(self, entries: tuple[Entry, ...]) -> list[ListedTarget]:
        """Return the targets of the entries that name one to use."""
        targets = []
        for entry in entries:
            match self._codec.decode(entry.key, entry.value, entry.revision):
                case Err(problem):
                    self._exclude(entry, str(problem))
                case Ok(target):
                    reason = self._find_fault(target)
                    if reason:
                        self._exclude(entry, reason)
                        continue
                    self._invalid.discard(entry.key)
                    targets.append(target)
        return targets

    def _find_fault(self, target: ListedTarget) -> str:
        """Return why an entry that can be read names no target to use."""
        if self._book.compare(target) is Succession.UNTOLD:
            known = self._book.find_newest(target.target_id)
            return f"tells no start, and {known} was at another address"
        return ""

    def _exclude(self, entry: Entry, reason: str) -> None:
        """Send a target nothing more while its entry names none to use.

        What it has been sent stays with it. It is used again once its entry can be
        read: nothing says that it has ended.
        """
        self._invalid.record(entry, reason)
        target = self._book.find_listed(entry.key.removeprefix(self._codec.prefix))
        if target is not None and target.revision < entry.revision:
            self._remove(target, entry.revision, lapsed=True)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "informed": self._synced,
            "targets": len(self._book),
            "bad_entries": self._invalid.dump(),
            "unknown_services": dict(self._unknown_services),
        }
