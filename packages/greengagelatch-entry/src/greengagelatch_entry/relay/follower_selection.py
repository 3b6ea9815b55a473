"""Which instances follow the store, by the membership view of this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.peers import MemberState
from greengagelatch.relay.store_followers import choose_followers

if TYPE_CHECKING:
    from greengagelatch.peers import Member, PeerNetwork

__all__ = ("FollowerSelection",)


class FollowerSelection:
    """The followers of the store; cached, as the membership changes rarely."""

    def __init__(self, peers: PeerNetwork) -> None:
        self._peers = peers
        self._followers: frozenset[str] = frozenset()
        #: membership that the followers were chosen from
        self._members: tuple[Member, ...] = ()

    def list_followers(self) -> frozenset[str]:
        """Return the instances that follow the store."""
        members = self._peers.members()
        if members is not self._members:
            self._members = members
            self._followers = choose_followers(
                {
                    member.instance_id: member.data_centre
                    for member in members
                    if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
                }
            )
        return self._followers

    def is_follower(self) -> bool:
        """Return whether this instance is one of them."""
        return self._peers.instance_id in self.list_followers()

    def has_dependents(self) -> bool:
        """Return whether other instances rely on this one to follow the store."""
        if not self.is_follower():
            return False
        return len(self._followers) < len(self._members)
