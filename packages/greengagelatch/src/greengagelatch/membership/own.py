"""State of this instance in the membership, and refutation of wrong updates."""

from __future__ import annotations

from ..peers import MemberState
from .records import MemberUpdate
from .steps import Identity

__all__ = ("OwnState",)


class OwnState:
    """Incarnation of this instance, and whether it is leaving.

    Only the instance itself raises its incarnation. It does so to refute that it is
    suspected or dead, and to override updates about an earlier process with the same
    id, which would otherwise stay in force if the clock was set back.
    """

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._incarnation = identity.incarnation
        self._leaving = False

    @property
    def instance_id(self) -> str:
        """Id of this instance."""
        return self._identity.instance_id

    @property
    def data_centre(self) -> str:
        """Data centre of this instance."""
        return self._identity.data_centre

    @property
    def incarnation(self) -> int:
        """Current incarnation."""
        return self._incarnation

    @property
    def leaving(self) -> bool:
        """Whether this instance is leaving."""
        return self._leaving

    @property
    def update(self) -> MemberUpdate:
        """Update that announces the current state of this instance to others."""
        return MemberUpdate(
            instance_id=self._identity.instance_id,
            incarnation=self._incarnation,
            state=MemberState.LEAVING if self._leaving else MemberState.ALIVE,
            data_centre=self._identity.data_centre,
            address=self._identity.address,
            capacity=self._identity.capacity,
        )

    def leave(self) -> None:
        """Mark this instance as leaving, which cannot be undone."""
        self._leaving = True

    def raise_incarnation(self) -> None:
        """Raise the incarnation to override all earlier updates of this instance."""
        self._incarnation += 1

    def refute(self, update: MemberUpdate) -> bool:
        """Refute an update about this instance if it is wrong; return whether it was.

        An update is refuted by raising the incarnation above that of the update.
        """
        own = self.update
        if not update.overrides(own.incarnation, own.state):
            return False
        reports_leaving = update.state is MemberState.LEAVING
        if reports_leaving and self._is_own_incarnation(update.incarnation):
            # the platform has begun to remove this instance, which must not be refuted
            return False
        self._incarnation = update.incarnation + 1
        return True

    def _is_own_incarnation(self, incarnation: int) -> bool:
        return self._identity.incarnation <= incarnation <= self._incarnation
