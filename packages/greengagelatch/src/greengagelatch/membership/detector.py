"""Failure detection between entry instances, based on the SWIM protocol.

In each period an instance probes one of its peers. If the peer does not answer, the
instance asks a few others to probe it as well, since only the path between the two may
be broken. If these indirect probes fail too, the peer is suspected and the suspicion
is gossiped. Unless the peer refutes it in time with a higher incarnation, it is
declared dead. Updates are piggybacked on probes and acknowledgements, so the cost for
an instance does not grow with the size of the fleet.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

import xxhash

from ..instances import Listing
from ..peers import MemberState
from ..peers.codec import Message
from .gossip import GossipQueue
from .messages import MembersTable, Probe, ProbeAck, ProbeRequest
from .overlay import choose_neighbours
from .own import OwnState
from .probes import PendingProbes
from .records import MemberRecord, MemberUpdate, decode_update, encode_update
from .steps import DetectorOutput, DetectorRules, Identity, OutgoingMessage
from .table import MemberTable, list_updates

__all__ = ("Detector",)

#: suspected instances probed in each period, so that they learn of the suspicion
SUSPECTS_PROBED = 2

#: peers that receive a direct message when this instance begins to leave
LEAVING_FANOUT = 16


class Detector:
    """The membership as seen by this instance.

    The class does no I/O and reads no clock: its methods take the current time in
    monotonic seconds and return the messages to send.
    """

    def __init__(
        self, *, identity: Identity, rules: DetectorRules, random_source: random.Random
    ) -> None:
        self._own = OwnState(identity)
        self._rules = rules
        self._random = random_source
        self._table = MemberTable()
        self._gossip = GossipQueue(factor=rules.gossip_factor)
        self._probes = PendingProbes()
        self._order: list[str] = []
        self._periods = 0
        self._next_period: float | None = None
        self._next_dead = 0.0
        self._last: float | None = None
        self._neighbours: frozenset[str] | None = None
        self._sends: list[OutgoingMessage] = []
        self._changed = False
        self._gossip.add(self._own.update)

    # queries

    @property
    def own(self) -> OwnState:
        """State of this instance itself."""
        return self._own

    @property
    def table(self) -> MemberTable:
        """Records of all other known instances."""
        return self._table

    def list_neighbours(self) -> frozenset[str]:
        """Return the instances to which a link should be kept open."""
        if self._neighbours is None:
            up = self._table.select(MemberState.ALIVE, MemberState.SUSPECT)
            self._neighbours = choose_neighbours(
                self._own.instance_id,
                self._own.data_centre,
                [record for record in up if record.address],
                self._rules.links,
            )
        return self._neighbours

    def compute_suspicion(self) -> float:
        """Return the seconds that an instance has to refute a suspicion."""
        members = max(10, self._count_present())
        return self._rules.suspicion_periods * self._rules.period * math.log10(members)

    def list_all_updates(self) -> list[MemberUpdate]:
        """Return the updates of all known instances, this one included."""
        return [self._own.update, *list_updates(self._table)]

    def compute_digest(self) -> bytes:
        """Return a digest of all live instances, this one included."""
        present = {
            record.instance_id: record.incarnation
            for record in self._table.select(MemberState.ALIVE, MemberState.SUSPECT)
            if record.confirmed
        }
        if not self._own.leaving:
            present[self._own.instance_id] = self._own.incarnation
        digest = xxhash.xxh3_64()
        for instance_id, incarnation in sorted(present.items()):
            digest.update(f"{instance_id}\x00{incarnation}\n".encode())
        return digest.digest()

    # inputs

    def advance(self, now: float) -> DetectorOutput:
        """Process all timers; must be called several times in each period."""
        self._handle_pause(now)
        self._last = now
        self._check_probes(now)
        self._expire_suspects(now)
        if self._next_period is None or now >= self._next_period:
            self._begin_period(now)
        return self._finish()

    def register_peer(
        self, now: float, identity: Identity, *, leaving: bool = False
    ) -> DetectorOutput:
        """Record the identity that a peer sent when a link to it was opened."""
        state = MemberState.LEAVING if leaving else MemberState.ALIVE
        update = MemberUpdate(
            instance_id=identity.instance_id,
            incarnation=identity.incarnation,
            state=state,
            data_centre=identity.data_centre,
            address=identity.address,
            capacity=identity.capacity,
        )
        self._merge(now, update)
        # the peer may have been declared dead meanwhile and can only refute that once
        # it has received the update, which is piggybacked on this probe
        if self._find_state(identity.instance_id) is not MemberState.LEAVING:
            self._probe(now, identity.instance_id)
        return self._finish()

    def receive(self, now: float, sender: str, message: Message) -> DetectorOutput:
        """Process a message from a peer."""
        match message:
            case Probe(sequence, updates):
                self._merge_all(now, updates)
                ack = ProbeAck(sequence, self._piggyback_updates(sender))
                self._sends.append(OutgoingMessage(sender, ack))
            case ProbeAck(sequence, updates):
                self._merge_all(now, updates)
                self._acknowledge(sequence)
            case ProbeRequest(sequence, instance_id, updates):
                self._merge_all(now, updates)
                origin = (sender, sequence)
                self._probe(now, instance_id, origin=origin)
            case MembersTable(updates):
                # not gossiped: the sender and most others know these updates already,
                # and a table of hundreds would fill all probes for minutes
                self._merge_all(now, updates, gossiped=False)
        return self._finish()

    def handle_link_loss(self, now: float, instance_id: str) -> DetectorOutput:
        """Probe an instance at once, as the link to it was lost."""
        state = self._find_state(instance_id)
        if state is MemberState.ALIVE and not self._probes.awaits(instance_id):
            self._probe(now, instance_id)
        return self._finish()

    def apply_listing(self, now: float, listing: Listing) -> DetectorOutput:
        """Apply a listing of the platform."""
        before = len(self._table)
        updates = self._table.apply_listing(listing, self._own.instance_id, now)
        for update in updates:
            self._gossip.add(update)
        if updates or len(self._table) != before:
            self._mark_changed()
        return self._finish()

    def leave(self, now: float) -> DetectorOutput:
        """Announce that this instance is leaving, which cannot be undone."""
        if self._own.leaving:
            return self._finish()
        self._own.leave()
        self._changed = True
        self._gossip.add(self._own.update)
        present = self._list_present()
        for peer in self._sample(present, LEAVING_FANOUT, frozenset()):
            self._probe(now, peer)
        return self._finish()

    # timers

    def _handle_pause(self, now: float) -> None:
        """Restart all timers after a pause of this process.

        When a process continues after it was stopped, or its event loop was blocked,
        all its probes are overdue, and it would declare all its peers dead at once. So
        the time of the pause is not counted: pending probes are dropped and suspicions
        are extended by the length of the pause.
        """
        if self._last is None or now - self._last <= self._rules.pause_threshold:
            return
        pause = now - self._last
        self._probes.clear()
        self._table.shift_times(pause)
        self._next_period = now
        if not self._own.leaving and pause > self._rules.probe_limit:
            # others may suspect this instance by now: refute it pre-emptively
            self._own.raise_incarnation()
            self._gossip.add(self._own.update)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in self._probes.start_indirect(
            now - self._rules.probe_timeout
        ):
            peers = self._sample(
                self._list_present(), self._rules.indirect_probes, {probe.instance_id}
            )
            for peer in peers:
                request = ProbeRequest(
                    sequence, probe.instance_id, self._piggyback_updates(peer)
                )
                self._sends.append(OutgoingMessage(peer, request))
        for probe in self._probes.pop_failed(now - self._rules.probe_limit):
            if probe.origin is None:
                self._suspect(now, probe.instance_id)

    def _expire_suspects(self, now: float) -> None:
        latest = now - self.compute_suspicion()
        for record in self._table.select(MemberState.SUSPECT):
            if record.since <= latest:
                self._observe(now, record, MemberState.DEAD)

    def _begin_period(self, now: float) -> None:
        self._next_period = now + self._rules.period * (
            0.9 + 0.2 * self._random.random()
        )
        self._periods += 1
        chosen = self._choose_probed()
        if chosen is not None:
            self._probe(now, chosen)
        suspects = [r.instance_id for r in self._table.select(MemberState.SUSPECT)]
        for suspect in self._sample(suspects, SUSPECTS_PROBED, {chosen or ""}):
            self._probe(now, suspect)
        if now >= self._next_dead:
            self._begin_dead_period(now)

    def _begin_dead_period(self, now: float) -> None:
        # dead instances may be on the other side of a partition; only occasional probes
        # of them rejoin the two sides after the partition has healed
        spread = 0.5 + self._random.random()
        self._next_dead = now + self._rules.dead_interval * spread
        self._table.expire(now)
        self._neighbours = None
        used = self._list_used_addresses()
        local: list[str] = []
        remote: list[str] = []
        for record in self._table.select(MemberState.DEAD):
            if not record.address or record.address in used:
                continue
            beside = record.data_centre == self._own.data_centre
            (local if beside else remote).append(record.instance_id)
        # one that restarts while this data centre is partitioned may know no peer, and
        # is found only by a probe of its address
        for instance_id in (*self._sample(local, 1, ()), *self._sample(remote, 1, ())):
            self._probe(now, instance_id)

    def _list_used_addresses(self) -> set[str]:
        """Return the addresses of all instances that are not dead.

        A dead instance with one of these addresses was an earlier process there. It
        never answers, and each probe of it would cause three indirect probes.
        """
        present = self._table.select(
            MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING
        )
        return {self._own.update.address, *(record.address for record in present)}

    def _choose_probed(self) -> str | None:
        if self._periods % self._rules.random_share == 0:
            return next(iter(self._sample(self._list_present(), 1, frozenset())), None)
        neighbours = self.list_neighbours()
        while self._order:
            instance_id = self._order.pop()
            if instance_id in neighbours:
                return instance_id
        # each round probes all neighbours once, in a new random order, which bounds the
        # time until each of them is probed
        self._order = sorted(neighbours)
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    # probes

    def _probe(
        self, now: float, instance_id: str, origin: tuple[str, int] | None = None
    ) -> None:
        record = self._table.find(instance_id)
        if record is None or not record.address:
            return
        sequence = self._probes.add(now, instance_id, origin)
        message = Probe(sequence, self._piggyback_updates(instance_id))
        self._sends.append(OutgoingMessage(instance_id, message))

    def _acknowledge(self, sequence: int) -> None:
        probe = self._probes.pop(sequence)
        if probe is None or probe.origin is None:
            return
        requester, requested = probe.origin
        ack = ProbeAck(requested, self._piggyback_updates(requester))
        self._sends.append(OutgoingMessage(requester, ack))

    def _suspect(self, now: float, instance_id: str) -> None:
        record = self._table.find(instance_id)
        if record is None or record.state is not MemberState.ALIVE:
            return
        # no instance ever had contact with it, so nobody would refute a suspicion
        state = MemberState.SUSPECT if record.confirmed else MemberState.DEAD
        self._observe(now, record, state)

    # updates

    def _observe(self, now: float, record: MemberRecord, state: MemberState) -> None:
        update = MemberUpdate(
            instance_id=record.instance_id,
            incarnation=record.incarnation,
            state=state,
            data_centre=record.data_centre,
            address=record.address,
            capacity=record.capacity,
        )
        self._merge(now, update)

    def _merge_all(
        self, now: float, updates: Iterable[object], *, gossiped: bool = True
    ) -> None:
        for item in updates:
            update = decode_update(item)
            if update is not None:
                self._merge(now, update, gossiped=gossiped)

    def _merge(
        self, now: float, update: MemberUpdate, *, gossiped: bool = True
    ) -> None:
        if update.instance_id == self._own.instance_id:
            if self._own.refute(update):
                self._gossip.add(self._own.update)
            return
        if not self._table.merge(update, now):
            return
        self._mark_changed()
        record = self._table.find(update.instance_id)
        if gossiped and record is not None and record.confirmed:
            self._gossip.add(record.update)

    def _piggyback_updates(self, receiver: str) -> tuple[tuple, ...]:
        record = self._table.find(receiver)
        updates = []
        if record is not None and record.state is not MemberState.ALIVE:
            # the receiver can refute this state only if it learns of it
            updates.append(record.update)
        room = self._rules.updates - len(updates)
        updates += self._gossip.take(room, self._count_present())
        return tuple(encode_update(update) for update in updates)

    # members

    def _list_present(self) -> list[str]:
        up = self._table.select(MemberState.ALIVE, MemberState.SUSPECT)
        return [record.instance_id for record in up if record.address]

    def _count_present(self) -> int:
        return 1 + len(self._table.select(MemberState.ALIVE, MemberState.SUSPECT))

    def _find_state(self, instance_id: str) -> MemberState | None:
        record = self._table.find(instance_id)
        return None if record is None else record.state

    def _sample(
        self, ids: list[str], number: int, excluded: Iterable[str]
    ) -> list[str]:
        chosen = [item for item in ids if item not in excluded]
        return self._random.sample(chosen, min(number, len(chosen)))

    def _mark_changed(self) -> None:
        self._changed = True
        self._neighbours = None

    def _finish(self) -> DetectorOutput:
        step = DetectorOutput(sends=tuple(self._sends), changed=self._changed)
        self._sends = []
        self._changed = False
        return step
