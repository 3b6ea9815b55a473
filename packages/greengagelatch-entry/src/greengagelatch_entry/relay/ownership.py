"""Which instance owns which makers, as this one sees it."""

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

#: seconds for which an owner that did not answer is passed over; the membership
#: has noticed by then whether it is gone
EXCLUSION_SECONDS = 1.5
#: seconds for which a suspected instance may still own stage work: one that lives has
#: refuted it by then, and one that is gone fails its links at the first question
SUSPICION_SECONDS = 0.5
#: seconds for which the list of members is used again
MEMBERS_CACHE_SECONDS = 0.1
#: seconds for which an instance has been the owner until calls of the owner before
#: are at no maker any more: an instance that leaves goes on until it is killed, usually
#: 8 s after its stop request, and a call that it began last for less than 2 more
HANDOVER_SECONDS = 10.0
#: seconds after any other change in which an instance that does not know the owner
#: may make pieces itself: until it has heard of the others, and its call has ended
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
        #: members that are suspected, and since when
        self._suspected: dict[str, float] = {}
        self._candidates: tuple[Member, ...] = ()
        self._candidates_until = 0.0
        #: owners in order by group, as of the candidates
        self._ranked: dict[MakerGroup, tuple[str, ...]] = {}
        #: since when this instance has been the owner, by group
        self._owner_since: dict[MakerGroup, float] = {}
        #: since when the candidates have been the same
        self._stable_since = clock.now()

    def rank(self, group: MakerGroup) -> tuple[str, ...]:
        """Return who may own a group, its owner first."""
        candidates = self.list_candidates()
        if group not in self._ranked:
            self._update_ranking(group, candidates)
        return self._ranked[group]

    def owns(self, group: MakerGroup) -> bool:
        """Whether this instance is the owner of a group."""
        return self.rank(group)[:1] == (self._peers.instance_id,)

    def is_exclusive(self, group: MakerGroup) -> bool:
        """Return whether no other instance's calls are at the makers of a group.

        So it is where this instance has owned the group for as long as an owner
        before could go on, and nobody has come or gone just now. An instance that
        leaves owns nothing, although it finishes what it has in work for its peers.

        Others that come and go own nothing: were their changes waited for like a
        change of the owner, inputs would fill the makers' room and leave calls half
        empty through a whole rolling restart.
        """
        if not self.owns(group):
            return False
        if self.find_stable_seconds() < CONVERGENCE_SECONDS:
            return False
        return self._clock.now() - self._owner_since[group] >= HANDOVER_SECONDS

    def exclude(self, owner: str) -> None:
        """Pass an owner over for a while that did not answer."""
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
        # this instance by the same rule: peers of one that leaves ask the next owner
        # already, and two that fill calls to the same makers are in each other's way
        self._candidates = tuple(
            member
            for member in self._peers.members()
            if member.instance_id not in self._excluded_until
            and self._may_own(member, now)
        )
        after = {one.instance_id: one.capacity for one in self._candidates}
        if after != before:
            self._stable_since = now
            # at once: who owns a group only in between has calls at its makers too
            for group in tuple(self._ranked):
                self._update_ranking(group, self._candidates)
            self._decisions.note_belief(
                "instances",
                gone=sorted(set(before) - set(after)),
                come=sorted(set(after) - set(before)),
                shunned=sorted(self._excluded_until),
            )
        return self._candidates

    def find_stable_seconds(self) -> float:
        """Return the seconds for which the candidates have been the same."""
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
        """Whether a member is there, or is suspected since a moment only.

        Most suspicions are refuted within a tenth of a second: if owners changed with
        each, two would fill the makers' room, and the one that owns them again would
        count as new and keep its inputs for seconds.
        """
        if member.state is not MemberState.SUSPECT:
            self._suspected.pop(member.instance_id, None)
            return member.state is MemberState.ALIVE
        since = self._suspected.setdefault(member.instance_id, now)
        return now - since < SUSPICION_SECONDS
