"""Gossip of configuration generations: watchers, recipients and known generations."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from ..peers import Member, MemberState
from .messages import GenerationRow

__all__ = (
    "GenerationSample",
    "GenerationTable",
    "choose_recipients",
    "choose_watchers",
    "list_reachable",
)

#: instances in each data centre that watch the head; two, as one may be partitioned
#: or unresponsive
WATCHERS = 2

#: members of the local data centre that are notified of a new generation immediately
LOCAL_FANOUT = 3

#: generations of other instances that one advert relays
ROWS_PER_ADVERT = 8

#: instances whose generations are stored
MAX_SAMPLES = 4096


def list_reachable(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return reachable members, including suspects, most of which are alive."""
    usable = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
    return tuple(member for member in members if member.state in usable)


def choose_watchers(members: Iterable[Member], data_centre: str) -> tuple[str, ...]:
    """Return the ids of the instances that watch the head in a data centre.

    They are chosen by rendezvous hashing over the live members: instances with the
    same membership view choose the same watchers without coordination, and a member
    that joins or leaves moves only its own share. Where views differ, there is one
    watcher more or fewer for a while, which is harmless.
    """
    candidates = [
        member.instance_id
        for member in members
        if member.data_centre == data_centre and member.state is MemberState.ALIVE
    ]
    candidates.sort(key=_get_weight, reverse=True)
    return tuple(candidates[:WATCHERS])


def choose_recipients(
    members: Sequence[Member],
    neighbours: Sequence[str],
    own_id: str,
    data_centre: str,
    source: random.Random,
) -> tuple[str, ...]:
    """Return the instances to notify of a new generation immediately.

    These are the neighbours: connections to them are open, some of them lead to other
    data centres, and each recipient notifies its own neighbours in turn, so that the
    advert reaches all. Random recipients would each cost a handshake: with eleven
    data centres these kept all instances busy for seconds, so that the change became
    active late and live instances were suspected meanwhile.

    Without open connections, the recipients are a few members of the local data
    centre and one of each other data centre.
    """
    usable = [
        member for member in list_reachable(members) if member.instance_id != own_id
    ]
    neighbour_ids = frozenset(neighbours)
    connected = [one.instance_id for one in usable if one.instance_id in neighbour_ids]
    if connected:
        return tuple(connected)
    local = []
    remote: dict[str, list[str]] = {}
    for member in usable:
        if member.data_centre == data_centre:
            local.append(member.instance_id)
        else:
            remote.setdefault(member.data_centre, []).append(member.instance_id)
    chosen = source.sample(local, min(LOCAL_FANOUT, len(local)))
    for name in sorted(remote):
        chosen.append(source.choice(remote[name]))
    return tuple(chosen)


@dataclass(frozen=True, slots=True)
class GenerationSample:
    """The last known generation of an instance."""

    data_centre: str
    generation: int
    #: monotonic seconds of this instance at which it was true
    observed_at: float


class GenerationTable:
    """Known generations of other instances, and the newest confirmed by the store."""

    def __init__(self) -> None:
        self._samples: dict[str, GenerationSample] = {}
        self._confirmed: tuple[int, float] | None = None

    def record(
        self, instance_id: str, data_centre: str, generation: int, observed_at: float
    ) -> None:
        """Record the generation that an instance reports of itself."""
        # newest last, so that the oldest is evicted first
        self._samples.pop(instance_id, None)
        self._samples[instance_id] = GenerationSample(
            data_centre, generation, observed_at
        )
        if len(self._samples) > MAX_SAMPLES:
            del self._samples[next(iter(self._samples))]

    def record_relayed(
        self, instance_id: str, data_centre: str, generation: int, observed_at: float
    ) -> None:
        """Record a generation that another instance relays.

        The transmission time of the message makes it look newer than it is, so a
        lower generation does not replace a higher one.
        """
        known = self._samples.get(instance_id)
        if known is not None:
            if known.observed_at >= observed_at:
                return
            generation = max(generation, known.generation)
        self.record(instance_id, data_centre, generation, observed_at)

    def find(self, instance_id: str) -> GenerationSample | None:
        """Return the last known generation of an instance."""
        return self._samples.get(instance_id)

    def sample_rows(
        self, now: float, alive: frozenset[str], source: random.Random
    ) -> tuple[GenerationRow, ...]:
        """Return a random sample of the generations of live members, to relay."""
        known = [name for name in self._samples if name in alive]
        rows = []
        for name in source.sample(known, min(ROWS_PER_ADVERT, len(known))):
            seen = self._samples[name]
            age = round(max(0.0, now - seen.observed_at), 1)
            rows.append((name, seen.data_centre, seen.generation, age))
        return tuple(rows)

    def confirm(self, generation: int, observed_at: float) -> None:
        """Record that a generation was the newest in the store at ``observed_at``."""
        if self._confirmed is None or (generation, observed_at) > self._confirmed:
            self._confirmed = (generation, observed_at)

    def get_store_age(self, generation: int, now: float) -> float | None:
        """Return seconds since ``generation`` was last confirmed as the newest."""
        if self._confirmed is None or self._confirmed[0] != generation:
            return None
        return max(0.0, now - self._confirmed[1])


def _get_weight(instance_id: str) -> int:
    return xxhash.xxh64_intdigest(f"config-head\n{instance_id}".encode())
