"""Membership of the entry instances, maintained by failure detection and gossip."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Ok

from greengagelatch.membership.detector import Detector
from greengagelatch.membership.messages import (
    MembersQuery,
    MembersTable,
    Probe,
    ProbeAck,
    ProbeRequest,
)
from greengagelatch.membership.records import MAX_TEXT, encode_update
from greengagelatch.membership.steps import DetectorOutput, DetectorRules, Identity
from greengagelatch.peers import Member, MemberState
from greengagelatch.peers.messages import Hello

from . import Controller
from .drain import DRAIN_STARTED
from .listing import LISTING_RECEIVED

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.instances import Listing
    from greengagelatch.membership.records import MemberRecord
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.peers.codec import Message
    from greengagelatch.setting_values import Settings

    from ..metrics import Metrics

__all__ = ("MEMBERS_CHANGED", "MembershipController", "is_probe")

#: emitted without arguments after a change of the members
MEMBERS_CHANGED = "members-changed"

#: seconds between two advances of the failure detector
TICK = 0.2

#: seconds between two anti-entropy exchanges of the member table with a random peer
SYNC_INTERVAL = 60.0

#: seconds between two exchanges until the first one succeeds
FIRST_SYNC_INTERVAL = 1.0

#: seconds to wait for the answer of the peer in such an exchange
SYNC_TIMEOUT = 3.0

#: seconds for which a leaving instance is still listed as a member
LEAVING_VISIBLE_SECONDS = 600.0

#: seconds for which the list of members is cached
MEMBERS_CACHE_SECONDS = 1.0

_PROBES = (Probe, ProbeAck, ProbeRequest)


def is_probe(message: Message) -> bool:
    """Whether a message is a probe, which does not count as use of a link."""
    return isinstance(message, _PROBES)


class MembershipController(Controller):
    """Drives the failure detector: feeds it time and messages, sends its output.

    It is created and started by the peer network that it belongs to.
    """

    name = "membership"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: Clock,
        random_source: random.Random,
        events: EventBus,
        settings: Settings,
        metrics: Metrics,
        capacity: int = 0,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._events = events
        self._metrics = metrics
        self._rules = DetectorRules(
            period=settings["peers.probe_interval"],
            dead_interval=settings["peers.dead_interval"],
            links=settings["peers.links"],
        )
        self._identity = Identity(
            instance_id=settings["instance.id"],
            data_centre=settings["instance.data_centre"],
            address=settings["peers.advertise"] or settings["peers.listen"],
            # each later process with the same id needs a higher incarnation
            incarnation=int(clock.wall()),
            capacity=capacity,
        )
        self._detector = self._create_detector()
        #: cached result of ``members()``, which every request reads and which is
        #: expensive to build for a large fleet
        self._cached_members: tuple[Member, ...] | None = None
        self._cache_expires_at = 0.0
        events.declare(MEMBERS_CHANGED)
        events.declare(LISTING_RECEIVED)
        events.declare(DRAIN_STARTED)
        events.connect(LISTING_RECEIVED, self._apply_listing)
        events.connect(DRAIN_STARTED, self._leave)
        for message_type in _PROBES:
            peers.handle(message_type, self._receive)
        peers.handle(MembersQuery, self._answer_query)

    @property
    def instance_id(self) -> str:
        """Id of this instance."""
        return self._identity.instance_id

    def set_address(self, address: str) -> None:
        """Set the address of this instance after its listener is bound."""
        if address == self._identity.address:
            return
        self._identity = replace(self._identity, address=address)
        self._detector = self._create_detector()
        self._cached_members = None

    # queries

    def members(self) -> tuple[Member, ...]:
        """Return all known entry instances, including this one, sorted by id."""
        now = self._clock.now()
        if self._cached_members is not None and now < self._cache_expires_at:
            return self._cached_members
        self._cached_members = self._list_members(now)
        self._cache_expires_at = now + MEMBERS_CACHE_SECONDS
        return self._cached_members

    def _list_members(self, now: float) -> tuple[Member, ...]:
        own = self._detector.own
        members = [
            Member(
                instance_id=own.instance_id,
                data_centre=own.data_centre,
                address=self._identity.address,
                state=MemberState.LEAVING if own.leaving else MemberState.ALIVE,
                capacity=self._identity.capacity,
            )
        ]
        for record in self._detector.table:
            if _is_visible(record, now):
                members.append(_create_member(record))
        return tuple(sorted(members, key=lambda member: member.instance_id))

    def list_neighbours(self) -> tuple[str, ...]:
        """Return the ids of the instances to keep a link to, sorted."""
        return tuple(sorted(self._detector.list_neighbours()))

    def find_address(self, instance_id: str) -> str:
        """Return the address of an instance; empty if unknown."""
        record = self._detector.table.find(instance_id)
        return "" if record is None else record.address

    def create_hello(self) -> Hello:
        """Return the hello message of this instance."""
        own = self._detector.own
        return Hello(
            instance_id=own.instance_id,
            data_centre=own.data_centre,
            address=self._identity.address,
            incarnation=own.incarnation,
            leaving=own.leaving,
            capacity=self._identity.capacity,
        )

    def check_hello(self, hello: Hello, linked_address: str) -> str:
        """Return why the hello of a peer is rejected; empty if it is valid.

        Two processes with the same id would receive each other's messages and refute
        each other's updates, visible as an instance whose address flaps. The process
        that used the id first therefore keeps it.

        :param linked_address: address of the peer with this id and an open link.
        """
        if not _is_well_formed(hello):
            return "malformed hello"
        if hello.instance_id == self.instance_id:
            return f"id {hello.instance_id!r} is the id of this instance"
        if linked_address and linked_address != hello.address:
            return f"id {hello.instance_id!r} is in use at {linked_address}"
        record = self._detector.table.find(hello.instance_id)
        if record is None or not record.confirmed or record.address == hello.address:
            return ""
        if record.state is not MemberState.ALIVE or not record.address:
            return ""
        # probe the known one, which is gone if it was restarted at another address
        self.handle_link_loss(hello.instance_id)
        return f"id {hello.instance_id!r} is in use at {record.address}"

    def dump(self) -> dict[str, Any]:
        now = self._clock.now()
        visible = [
            record for record in self._detector.table if _is_visible(record, now)
        ]
        return {
            "incarnation": self._detector.own.incarnation,
            "leaving": self._detector.own.leaving,
            "neighbours": list(self.list_neighbours()),
            "members": {
                record.instance_id: {
                    "state": record.state.value,
                    "data_centre": record.data_centre,
                    "address": record.address,
                    "incarnation": record.incarnation,
                    "capacity": record.capacity,
                    "seconds_in_state": now - record.since,
                    "listed": record.listed,
                }
                for record in visible[:1000]
            },
        }

    # observations

    def register_peer(self, identity: Identity, *, leaving: bool) -> None:
        """Register a peer from the hello of a newly opened link."""
        self._apply_output(
            self._detector.register_peer(self._clock.now(), identity, leaving=leaving)
        )

    def handle_link_loss(self, instance_id: str) -> None:
        """Report a lost link to the failure detector."""
        self._apply_output(
            self._detector.handle_link_loss(self._clock.now(), instance_id)
        )

    def _apply_listing(self, listing: Listing) -> None:
        self._apply_output(self._detector.apply_listing(self._clock.now(), listing))

    def _leave(self) -> None:
        self._apply_output(self._detector.leave(self._clock.now()))

    def _receive(self, sender: str, message: Message) -> None:
        self._apply_output(self._detector.receive(self._clock.now(), sender, message))

    def _answer_query(self, sender: str, message: MembersQuery) -> MembersTable:
        if message.digest == self._detector.compute_digest():
            return MembersTable()
        updates = self._detector.list_all_updates()
        return MembersTable(tuple(encode_update(update) for update in updates))

    # service

    @Service.task
    async def _advance_forever(self) -> None:
        while not self.should_stop:
            self._apply_output(self._detector.advance(self._clock.now()))
            # Service.sleep would create a task on each tick
            await asyncio.sleep(TICK)

    @Service.task
    async def _sync_forever(self) -> None:
        interval = FIRST_SYNC_INTERVAL
        while not self.should_stop:
            if await self._sync():
                interval = SYNC_INTERVAL
            await self.sleep(interval * (0.75 + 0.5 * self._random.random()))

    async def _sync(self) -> bool:
        alive = [
            member.instance_id
            for member in self.members()
            if member.state is MemberState.ALIVE
            and member.instance_id != self.instance_id
        ]
        if not alive:
            return False
        peer = self._random.choice(alive)
        query = MembersQuery(self._detector.compute_digest())
        match await self._peers.ask(peer, query, SYNC_TIMEOUT):
            case Ok(MembersTable() as table):
                self._receive(peer, table)
                return True
        return False

    def _create_detector(self) -> Detector:
        return Detector(
            identity=self._identity, rules=self._rules, random_source=self._random
        )

    def _apply_output(self, output: DetectorOutput) -> None:
        if output.changed:
            self._cached_members = None
        for item in output.sends:
            if not self._peers.send(item.instance_id, item.message):
                self._metrics.count("peers.probes_unsent")
        if output.changed:
            self._events.emit(MEMBERS_CHANGED)


def _is_well_formed(hello: Hello) -> bool:
    texts = (hello.instance_id, hello.data_centre, hello.address)
    if not all(isinstance(text, str) and 0 < len(text) <= MAX_TEXT for text in texts):
        return False
    for number in (hello.number, hello.capacity):
        if type(number) is not int or number < 0:
            return False
    return type(hello.incarnation) is int and hello.incarnation > 0


def _is_visible(record: MemberRecord, now: float) -> bool:
    if not record.confirmed or record.is_gone(now):
        return False
    if record.state is not MemberState.LEAVING:
        return True
    return now - record.since < LEAVING_VISIBLE_SECONDS


def _create_member(record: MemberRecord) -> Member:
    return Member(
        instance_id=record.instance_id,
        data_centre=record.data_centre,
        address=record.address,
        state=record.state,
        capacity=record.capacity,
    )
