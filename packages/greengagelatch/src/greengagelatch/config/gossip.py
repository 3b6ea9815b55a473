"""Who watches the store, whom to tell, and how old one's knowledge is."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from ..peers import Member, MemberState
from .messages import SeenRow

__all__ = (
    "Knowledge",
    "Sighting",
    "choose_listeners",
    "choose_watchers",
    "list_alive",
)

#: instances in each data centre that watch the head: one may be cut off or silent
WATCHERS = 2

#: members of one's own data centre told of a new generation at once
FANOUT = 3

#: other instances whose generations are passed on in one advert
SEEN_ROWS = 8

#: instances whose generations are remembered
MAX_SIGHTINGS = 4096


def list_alive(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return members that can be talked to; suspects count, as most are alive."""
    usable = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
    return tuple(member for member in members if member.state in usable)


def choose_watchers(members: Iterable[Member], data_centre: str) -> tuple[str, ...]:
    """Return the ids of those that watch the head in a data centre.

    The choice is by rendezvous hashing over the members that are alive: instances
    that see the same members choose the same without a word, and a member that comes
    or goes moves only its own share. Where views differ, one more or one fewer
    watches for a while, which is harmless.
    """
    candidates = [
        member.instance_id
        for member in members
        if member.data_centre == data_centre and member.state is MemberState.ALIVE
    ]
    candidates.sort(key=_get_weight, reverse=True)
    return tuple(candidates[:WATCHERS])


def choose_listeners(
    members: Sequence[Member],
    neighbours: Sequence[str],
    own_id: str,
    data_centre: str,
    source: random.Random,
) -> tuple[str, ...]:
    """Return whom to tell of a new generation at once.

    These are the neighbours: links to them are open, some lead to other data centres,
    and as each that learns tells its own in turn, all hear of it. Words to members
    picked anew each time would each cost a handshake: with eleven data centres a
    change then kept all instances busy for seconds, seen as a change that takes long
    to be in force and as instances that are suspected meanwhile.

    Where no links are kept these are a few of one's own data centre and one of each
    other.
    """
    usable = [member for member in list_alive(members) if member.instance_id != own_id]
    kept = frozenset(neighbours)
    linked = [one.instance_id for one in usable if one.instance_id in kept]
    if linked:
        return tuple(linked)
    near = []
    far: dict[str, list[str]] = {}
    for member in usable:
        if member.data_centre == data_centre:
            near.append(member.instance_id)
        else:
            far.setdefault(member.data_centre, []).append(member.instance_id)
    chosen = source.sample(near, min(FANOUT, len(near)))
    for name in sorted(far):
        chosen.append(source.choice(far[name]))
    return tuple(chosen)


@dataclass(frozen=True, slots=True)
class Sighting:
    """The last known generation of an instance."""

    data_centre: str
    generation: int
    #: monotonic seconds of this instance at which it was true
    taken: float


class Knowledge:
    """What has been heard of others' generations, and of the store's newest."""

    def __init__(self) -> None:
        self._sightings: dict[str, Sighting] = {}
        self._confirmed: tuple[int, float] | None = None

    def note(
        self, instance_id: str, data_centre: str, generation: int, taken: float
    ) -> None:
        """Record an instance's own word."""
        # newest last, so that the oldest is the first to be forgotten
        self._sightings.pop(instance_id, None)
        self._sightings[instance_id] = Sighting(data_centre, generation, taken)
        if len(self._sightings) > MAX_SIGHTINGS:
            del self._sightings[next(iter(self._sightings))]

    def note_hearsay(
        self, instance_id: str, data_centre: str, generation: int, taken: float
    ) -> None:
        """Record what another one says of an instance.

        Its time is later than it truly was by the time the message took, so a lower
        generation proves nothing against a higher one.
        """
        known = self._sightings.get(instance_id)
        if known is not None:
            if known.taken >= taken:
                return
            generation = max(generation, known.generation)
        self.note(instance_id, data_centre, generation, taken)

    def find(self, instance_id: str) -> Sighting | None:
        """Return what is known of an instance."""
        return self._sightings.get(instance_id)

    def pick_rows(
        self, now: float, alive: frozenset[str], source: random.Random
    ) -> tuple[SeenRow, ...]:
        """Return a random few of the sightings of living members, to pass on."""
        known = [name for name in self._sightings if name in alive]
        rows = []
        for name in source.sample(known, min(SEEN_ROWS, len(known))):
            seen = self._sightings[name]
            age = round(max(0.0, now - seen.taken), 1)
            rows.append((name, seen.data_centre, seen.generation, age))
        return tuple(rows)

    def confirm(self, generation: int, taken: float) -> None:
        """Record that a generation was the store's newest at ``taken``."""
        if self._confirmed is None or (generation, taken) > self._confirmed:
            self._confirmed = (generation, taken)

    def get_store_age(self, generation: int, now: float) -> float | None:
        """Return seconds since ``generation`` was surely the newest, if known."""
        if self._confirmed is None or self._confirmed[0] != generation:
            return None
        return max(0.0, now - self._confirmed[1])


def _get_weight(instance_id: str) -> int:
    return xxhash.xxh64_intdigest(f"config-head\n{instance_id}".encode())
