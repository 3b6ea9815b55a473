"""Targets as the platform lists them, and which of them may get work."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("ListedTarget", "TargetBook")

#: seconds after the platform's store is back within which entries that lapsed while
#: it was away are written again by targets that live
RETURN_SECONDS = 2.0
#: targets that left whose ids are remembered
MAX_LEFT = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedTarget:
    """One life of a target; a restart gets a new id."""

    target_id: str
    service: str
    #: ``host:port``; may be given to another target once this one has ended
    address: str
    data_centre: str
    slots: int = 1
    leaving: bool = False
    #: revision of the store at which its entry was written
    revision: int = 0


class TargetBook:
    """All targets that are listed, by service.

    A target that has begun to leave stays out for good, also if an older entry of
    it is read again from a store that lags: work sent to it would be cut.
    """

    def __init__(self) -> None:
        self._targets: dict[str, ListedTarget] = {}
        self._left: dict[str, None] = {}
        self._services: dict[str, tuple[ListedTarget, ...]] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def accepts(self, target_id: str) -> bool:
        """Whether a target may still be sent work."""
        target = self._targets.get(target_id)
        return target is not None and not target.leaving

    def list_service(self, service: str) -> tuple[ListedTarget, ...]:
        """Return the targets of a service that may be sent work, by id."""
        found = self._services.get(service)
        if found is None:
            found = tuple(
                sorted(
                    (
                        target
                        for target in self._targets.values()
                        if target.service == service and not target.leaving
                    ),
                    key=lambda target: target.target_id,
                )
            )
            self._services[service] = found
        return found

    def list_all(self) -> tuple[ListedTarget, ...]:
        """Return every target listed, also those that leave."""
        return tuple(self._targets.values())

    def put(self, target: ListedTarget) -> bool:
        """Take in an entry; whether it changed what may be sent work."""
        known = self._targets.get(target.target_id)
        if known is not None and known.revision > target.revision:
            return False
        if target.target_id in self._left and not target.leaving:
            return False
        if target.leaving:
            self._remember_left(target.target_id)
        self._targets[target.target_id] = target
        self._services.clear()
        return known is None or known.leaving != target.leaving

    def remove(self, target_id: str, revision: int, *, lapsed: bool = False) -> bool:
        """Take in that an entry is gone; whether it was there.

        :param lapsed: whether the entry may have ended only because its target
            could not renew it; such a target may be listed again
        """
        known = self._targets.get(target_id)
        if known is None or known.revision > revision > 0:
            return False
        del self._targets[target_id]
        if not lapsed:
            self._remember_left(target_id)
        self._services.clear()
        return True

    def _remember_left(self, target_id: str) -> None:
        self._left[target_id] = None
        if len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]
