"""Ownership of maker groups by instances, according to the local membership view."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from greengagelatch.peers import MemberState
from greengagelatch.relay.owners import rank_owners

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import Member, PeerNetwork
    from greengagelatch.relay.groups import MakerGroup

    from .decisions import DecisionLog

__all__ = ("Ownership",)

#: seconds for which an owner that did not answer is excluded; by then the membership
#: protocol has detected whether it has failed
EXCLUSION_SECONDS = 1.5
#: seconds for which a suspected instance may still own stage work: a live one has
#: refuted the suspicion by then, and the links to a dead one fail at the first request
SUSPICION_SECONDS = 0.5
#: seconds for which the list of members is cached
MEMBERS_CACHE_SECONDS = 0.1
#: seconds after a change of owner until no call of the previous owner is left at a
#: maker: a draining instance continues until it is killed, usually 8 s after its stop
#: request, and its last call takes less than 2 s more
HANDOVER_SECONDS = 10.0
#: seconds after any other change of the membership in which an instance that does not
#: know the owner yet may call the makers itself: until it has learnt of the other
#: instances and its call has ended
CONVERGENCE_SECONDS = 2.0


class Ownership:
    """Ranks the instances that may own each group of makers."""

    def __init__(
        self, *, peers: PeerNetwork, clock: Clock, decisions: DecisionLog
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._excluded_until: dict[str, float] = {}
        #: suspected members, and the time since when they are
        self._suspected: dict[str, float] = {}
        self._candidates: tuple[Member, ...] = ()
        self._candidates_until = 0.0
        #: ranked owners by group, valid for the current candidates
        self._ranked: dict[MakerGroup, tuple[str, ...]] = {}
        #: time since when this instance has been the owner, by group
        self._owner_since: dict[MakerGroup, float] = {}
        #: time since when the candidates have not changed
        self._stable_since = clock.now()

    def rank(self, group: MakerGroup) -> tuple[str, ...]:
        """Return the instances that may own a group, the current owner first."""
        candidates = self.list_candidates()
        if group not in self._ranked:
            self._update_ranking(group, candidates)
        return self._ranked[group]

    def owns(self, group: MakerGroup) -> bool:
        """Return whether this instance is the owner of a group."""
        return self.rank(group)[:1] == (self._peers.instance_id,)

    def is_exclusive(self, group: MakerGroup) -> bool:
        """Return whether no other instance has calls at the makers of a group.

        This holds once this instance has owned the group for longer than a previous
        owner can continue, and the membership has not changed recently. A draining
        instance owns nothing, although it finishes the bundles of its peers.

        Changes of instances that are not owners only count for the shorter
        :data:`CONVERGENCE_SECONDS`. With the longer period, inputs would be kept and
        fill the makers' memory, and calls would be half empty throughout a rolling
        restart.
        """
        if not self.owns(group):
            return False
        if self.find_stable_seconds() < CONVERGENCE_SECONDS:
            return False
        return self._clock.now() - self._owner_since[group] >= HANDOVER_SECONDS

    def exclude(self, owner: str) -> None:
        """Exclude an owner that did not answer, for :data:`EXCLUSION_SECONDS`."""
        self._excluded_until[owner] = self._clock.now() + EXCLUSION_SECONDS
        self._candidates_until = 0.0

    def list_candidates(self) -> tuple[Member, ...]:
        """Return the instances that may own stage work."""
        now = self._clock.now()
        if now < self._candidates_until:
            return self._candidates
        self._candidates_until = now + MEMBERS_CACHE_SECONDS
        for owner, until in tuple(self._excluded_until.items()):
            if until <= now:
                del self._excluded_until[owner]
        before = {one.instance_id: one.capacity for one in self._candidates}
        # this instance follows the same rule: while it drains, its peers already use
        # the next owner, and two owners of the same makers would compete for them
        self._candidates = tuple(
            member
            for member in self._peers.members()
            if member.instance_id not in self._excluded_until
            and self._may_own(member, now)
        )
        after = {one.instance_id: one.capacity for one in self._candidates}
        if after != before:
            self._stable_since = now
            # updated eagerly: a short-lived owner also has calls at the makers
            for group in tuple(self._ranked):
                self._update_ranking(group, self._candidates)
            self._decisions.log_state_change(
                "instances",
                gone=sorted(set(before) - set(after)),
                come=sorted(set(after) - set(before)),
                shunned=sorted(self._excluded_until),
            )
        return self._candidates

    def find_stable_seconds(self) -> float:
        """Return the seconds for which the candidates have not changed."""
        self.list_candidates()
        return self._clock.now() - self._stable_since

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "instances": [one.instance_id for one in self.list_candidates()],
            "unchanged_seconds": round(self.find_stable_seconds(), 1),
            "shunned": list(self._excluded_until),
            "owners": {
                str(group): next(iter(ranked), "")
                for group, ranked in self._ranked.items()
            },
        }

    def _update_ranking(
        self, group: MakerGroup, candidates: tuple[Member, ...]
    ) -> None:
        ranked = self._ranked[group] = rank_owners(group, candidates)
        if ranked[:1] == (self._peers.instance_id,):
            self._owner_since.setdefault(group, self._clock.now())
        else:
            self._owner_since.pop(group, None)

    def _may_own(self, member: Member, now: float) -> bool:
        """Return whether a member is alive, or suspected only since recently.

        Most suspicions are refuted within 0.1 s. If each changed the owner, two owners
        would fill the makers' memory, and the original one would count as new
        afterwards and keep inputs at the makers for seconds.
        """
        if member.state is not MemberState.SUSPECT:
            self._suspected.pop(member.instance_id, None)
            return member.state is MemberState.ALIVE
        since = self._suspected.setdefault(member.instance_id, now)
        return now - since < SUSPICION_SECONDS
