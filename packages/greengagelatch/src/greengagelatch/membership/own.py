"""What an instance says of itself, and how it refutes what others say."""

from __future__ import annotations

from ..peers import MemberState
from .records import Update
from .steps import Identity

__all__ = ("OwnState",)


class OwnState:
    """Incarnation of this instance, and whether it is leaving.

    Only the instance itself raises its incarnation. It does so to refute that it is
    suspected or dead, and to override what an earlier process of its id has said,
    which a clock that stepped back would otherwise leave in force.
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
        """Present incarnation."""
        return self._incarnation

    @property
    def leaving(self) -> bool:
        """Whether this instance is leaving."""
        return self._leaving

    @property
    def update(self) -> Update:
        """The observation of this instance that others are to take over."""
        return Update(
            instance_id=self._identity.instance_id,
            incarnation=self._incarnation,
            state=MemberState.LEAVING if self._leaving else MemberState.ALIVE,
            data_centre=self._identity.data_centre,
            address=self._identity.address,
            capacity=self._identity.capacity,
        )

    def leave(self) -> None:
        """Begin to leave; there is no way back."""
        self._leaving = True

    def raise_incarnation(self) -> None:
        """Override whatever others have observed so far."""
        self._incarnation += 1

    def refute(self, update: Update) -> bool:
        """Take in what others say of this instance; whether it was refuted."""
        own = self.update
        if not update.overrides(own.incarnation, own.state):
            return False
        says_leaving = update.state is MemberState.LEAVING
        if says_leaving and self._owns(update.incarnation):
            # the platform has begun to take this instance away; that is not refuted
            return False
        self._incarnation = update.incarnation + 1
        return True

    def _owns(self, incarnation: int) -> bool:
        return self._identity.incarnation <= incarnation <= self._incarnation
