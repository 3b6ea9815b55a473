"""Gossip of configuration generations between entry instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.config.gossip import (
    GenerationTable,
    choose_recipients,
    list_reachable,
)
from greengagelatch.config.messages import ConfigAdvert, ConfigQuery
from greengagelatch.peers import MemberState
from greengagelatch.peers.choice import choose_peers

from .report import MemberGeneration

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from greengagelatch.clock import Clock
    from greengagelatch.config.messages import GenerationRow
    from greengagelatch.config.replica import Replica
    from greengagelatch.peers import Member, PeerNetwork

__all__ = ("GenerationGossip",)

#: concurrent queries for the generation of members
MAX_CONCURRENT_QUERIES = 32

#: members queried at all in one round
MAX_QUERIES = 1024


class GenerationGossip:
    """Advertises the active generation to peers and records their generations.

    :param fetch_timeout: timeout in seconds of one query to a peer.
    :param on_newer_generation: called when a peer may have a newer generation.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        peers: PeerNetwork,
        clock: Clock,
        random_source: Random,
        data_centre: str,
        fetch_timeout: float,
        on_newer_generation: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._data_centre = data_centre
        self._fetch_timeout = fetch_timeout
        self._on_newer_generation = on_newer_generation
        self._generations = GenerationTable()
        peers.handle(ConfigAdvert, self._receive_advert)
        peers.handle(ConfigQuery, self._answer_query)

    def confirm_newest(self) -> None:
        """Record that the active generation is the newest in the store."""
        self._generations.confirm(self._replica.generation, self._clock.now())

    def get_store_age(self) -> float | None:
        """Return seconds since the active generation was confirmed as the newest."""
        now = self._clock.now()
        return self._generations.get_store_age(self._replica.generation, now)

    def find_generation(self, instance_id: str) -> int | None:
        """Return the last known generation of an instance; ``None``: unknown."""
        if instance_id == self._peers.instance_id:
            return self._replica.generation
        sample = self._generations.find(instance_id)
        return None if sample is None else sample.generation

    def list_reachable_peers(self) -> list[Member]:
        """Return the other instances that are reachable."""
        own_id = self._peers.instance_id
        alive = list_reachable(self._peers.members())
        return [member for member in alive if member.instance_id != own_id]

    def list_newer_peers(self) -> list[str]:
        """Return the ids of instances that have a newer generation than this one."""
        ahead = []
        for member in self.list_reachable_peers():
            generation = self.find_generation(member.instance_id)
            if generation is not None and generation > self._replica.generation:
                ahead.append(member.instance_id)
        return ahead

    def advertise_to_random_peer(self) -> None:
        """Send an advert to one random peer, so that lost adverts are made up for."""
        others = [member.instance_id for member in self.list_reachable_peers()]
        for name in choose_peers(others, self._peers.neighbours(), 1, self._random):
            self._peers.send(name, self._create_advert())

    def advertise_new_generation(self) -> None:
        """Send an advert of a new generation to a few peers immediately."""
        recipients = choose_recipients(
            self._peers.members(),
            self._peers.neighbours(),
            self._peers.instance_id,
            self._data_centre,
            self._random,
        )
        # without generations of others, which would make up most of the bytes
        advert = self._create_advert(rows=False)
        for instance_id in recipients:
            self._peers.send(instance_id, advert)

    async def query_members(self, members: Sequence[Member]) -> None:
        """Query members for their generations and record the answers."""
        slots = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query_one(instance_id: str) -> None:
            async with slots:
                answer = await self._peers.ask(
                    instance_id, ConfigQuery(), self._fetch_timeout
                )
            advert = answer.ok()
            if isinstance(advert, ConfigAdvert):
                self._apply_advert(instance_id, advert)

        own_id = self._peers.instance_id
        queried = [
            member.instance_id
            for member in members
            if member.instance_id != own_id and member.state is not MemberState.DEAD
        ]
        await asyncio.gather(*(query_one(name) for name in queried[:MAX_QUERIES]))

    def describe(self, member: Member) -> MemberGeneration:
        """Return the known state of a member's generation."""
        own = member.instance_id == self._peers.instance_id
        sample = self._generations.find(member.instance_id)
        age = None
        if own:
            age = 0.0
        elif sample is not None:
            age = max(0.0, self._clock.now() - sample.observed_at)
        return MemberGeneration(
            instance_id=member.instance_id,
            data_centre=self._data_centre if own else member.data_centre,
            state=member.state.value,
            generation=self.find_generation(member.instance_id),
            age=age,
        )

    def _receive_advert(self, sender: str, advert: ConfigAdvert) -> None:
        self._apply_advert(sender, advert)
        if advert.generation < self._replica.generation:
            # the sender then fetches the newer generation
            self._peers.send(sender, self._create_advert())

    def _answer_query(self, sender: str, query: ConfigQuery) -> ConfigAdvert:
        return self._create_advert()

    def _apply_advert(self, sender: str, advert: ConfigAdvert) -> None:
        now = self._clock.now()
        for instance_id, data_centre, generation, age in advert.seen:
            observed_at = now - age
            self._generations.record_relayed(
                instance_id, data_centre, generation, observed_at
            )
        self._generations.record(sender, advert.data_centre, advert.generation, now)
        if advert.store_age >= 0:
            observed_at = now - advert.store_age
            self._generations.confirm(advert.generation, observed_at)
        if self.list_newer_peers():
            self._on_newer_generation()

    def _create_advert(self, *, rows: bool = True) -> ConfigAdvert:
        age = self.get_store_age()
        return ConfigAdvert(
            generation=self._replica.generation,
            data_centre=self._data_centre,
            store_age=-1.0 if age is None else age,
            seen=self._sample_rows() if rows else (),
        )

    def _sample_rows(self) -> tuple[GenerationRow, ...]:
        alive = frozenset(member.instance_id for member in self.list_reachable_peers())
        return self._generations.sample_rows(self._clock.now(), alive, self._random)
