"""Evacuated data centres, replicated from the store or from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from greengagelatch.relay.evacuations import Evacuation, EvacuationTable

from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.targets import TargetTable
    from greengagelatch.store.ranges import Changes, Scan

    from ..metrics import Metrics
    from .codecs import EvacuationCodec
    from .decisions import DecisionLog

__all__ = ("EvacuationFollower",)


class EvacuationFollower(StoreSubscriber):
    """Excludes the targets of evacuated data centres from all new requests.

    Requests that these targets already execute continue.

    :param on_ended: called with each data centre whose evacuation has ended
    """

    def __init__(
        self,
        *,
        codec: EvacuationCodec,
        target_table: TargetTable,
        on_ended: Callable[[str], None],
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self.prefix = codec.prefix
        self._codec = codec
        self._target_table = target_table
        self._on_ended = on_ended
        self._metrics = metrics
        self._decisions = decisions
        self._table = EvacuationTable()

    @property
    def revision(self) -> int:
        """Store revision up to which the evacuations are known."""
        return self._table.revision

    def list_active(self) -> tuple[Evacuation, ...]:
        """Return the active evacuations."""
        return self._table.list_active()

    def apply_scan(self, scan: Scan) -> None:
        active = [self._read(entry.key, entry.revision) for entry in scan.entries]
        self._apply_changed(self._table.replace(active, scan.revision), "store")

    def apply_changes(self, changes: Changes) -> None:
        states = [self._read(entry.key, entry.revision) for entry in changes.written]
        states += [
            self._read(key, revision, active=False) for key, revision in changes.removed
        ]
        changed = [one for one in states if self._table.put(one)]
        self._apply_changed(changed, "store")

    def apply_peer_evacuations(
        self, active: tuple[Evacuation, ...], revision: int
    ) -> None:
        """Apply the evacuations that a peer knows if they are newer."""
        if revision <= self.revision:
            return
        self._apply_changed(self._table.replace(active, revision), "peer")

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "revision": self.revision,
            "evacuated": sorted(self._table.data_centres),
        }

    def _read(self, key: str, revision: int, *, active: bool = True) -> Evacuation:
        return Evacuation(self._codec.read_data_centre(key), revision, active)

    def _apply_changed(self, changed: list[Evacuation], origin: str) -> None:
        if not changed:
            return
        self._target_table.set_evacuated(self._table.data_centres)
        for one in changed:
            self._metrics.count(
                "evacuations.begun" if one.active else "evacuations.ended"
            )
            self._decisions.log_state_change(
                "evacuation",
                data_centre=one.data_centre,
                state="begun" if one.active else "ended",
                revision=one.revision,
                origin=origin,
            )
            if not one.active:
                self._on_ended(one.data_centre)
