"""Simulates failure detectors in one process, in virtual time without sockets."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from greengagelatch.instances import Instance, InstanceKind, InstanceState, Listing
from greengagelatch.membership.detector import Detector
from greengagelatch.membership.messages import MembersTable
from greengagelatch.membership.records import MemberUpdate, encode_update
from greengagelatch.membership.steps import DetectorOutput, DetectorRules, Identity
from greengagelatch.peers import MemberState
from greengagelatch.peers.codec import Envelope, Message, encode

__all__ = ("DATA_CENTRES", "DetectorFleet", "SimulatedInstance")

DATA_CENTRES = ("fukuoka-a", "fukuoka-b", "kumamoto")

#: step of virtual time in seconds
TICK_SECONDS = 0.1
#: one-way message latency in seconds
LATENCY_SECONDS = 0.002
#: virtual time at the start, in seconds
START_TIME = 1000.0
FIRST_INCARNATION = 1_780_000_000


@dataclass(slots=True)
class SimulatedInstance:
    """One simulated instance."""

    detector: Detector
    identity: Identity
    paused: bool = False
    stopped: bool = False
    #: bytes of all messages sent, and the number of messages by type
    sent_bytes: int = 0
    sent: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, order=True)
class _Delivery:
    due: float
    number: int
    sender: str = field(compare=False)
    receiver: str = field(compare=False)
    message: Message = field(compare=False)


class DetectorFleet:
    """Detectors on a simulated network that delays and loses messages.

    :param count_false_positives: whether to count suspicions and deaths of running
        instances, which costs processor time.
    :param is_lost: whether a message from the first to the second instance is lost.
    """

    def __init__(
        self,
        size: int,
        *,
        seed: int,
        rules: DetectorRules | None = None,
        count_false_positives: bool = True,
        is_lost: Callable[[str, str], bool] | None = None,
    ) -> None:
        self.now = START_TIME
        self.is_lost = is_lost or (lambda sender, receiver: False)
        self.random = random.Random(seed)
        self.instances: dict[str, SimulatedInstance] = {}
        #: transitions to suspect and to dead of instances that were running
        self.false_suspicions = 0
        self.false_deaths = 0
        self._rules = rules or DetectorRules()
        self._count_false_positives = count_false_positives
        self._queue: list[_Delivery] = []
        self._number = 0
        self._as_of = 0
        for index in range(size):
            self.add(index)

    def add(self, index: int, *, incarnation: int = 0) -> SimulatedInstance:
        """Start an instance with an empty member table, replacing any of that index."""
        instance_id = f"entry-{index:05d}"
        identity = Identity(
            instance_id=instance_id,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            address=f"10.0.{index // 250}.{index % 250}:8082",
            incarnation=incarnation or FIRST_INCARNATION + int(self.now),
        )
        detector = Detector(
            identity=identity,
            rules=self._rules,
            random_source=random.Random(self.random.random()),
        )
        instance = SimulatedInstance(detector, identity)
        self.instances[instance_id] = instance
        return instance

    def list_instances(self, *, leaving: frozenset[str] = frozenset()) -> Listing:
        """Return a new listing of all instances that were not stopped."""
        self._as_of += 1
        rows = [
            Instance(
                instance_id=instance_id,
                kind=InstanceKind.ENTRY,
                data_centre=instance.identity.data_centre,
                address=instance.identity.address,
                state=(
                    InstanceState.LEAVING
                    if instance_id in leaving
                    else InstanceState.LIVE
                ),
            )
            for instance_id, instance in self.instances.items()
            if not instance.stopped
        ]
        return Listing(self._as_of, tuple(rows))

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing at all running instances."""
        for instance_id, instance in self.instances.items():
            if not instance.stopped and not instance.paused:
                output = instance.detector.apply_listing(self.now, listing)
                self.send_output(instance_id, output)

    def converge(self) -> None:
        """Give every instance the member records of all, as after convergence."""
        updates = [instance.detector.own.update for instance in self.instances.values()]
        for instance_id in self.instances:
            self.deliver_members(instance_id, updates)

    def deliver_members(
        self, instance_id: str, updates: Iterable[MemberUpdate]
    ) -> None:
        """Deliver a member table to one instance, as from a peer."""
        table = MembersTable(tuple(encode_update(update) for update in updates))
        instance = self.instances[instance_id]
        self.send_output(instance_id, instance.detector.receive(self.now, "", table))

    def register_with_all(self, instance_id: str) -> None:
        """Register one instance and all others with each other, as by opening links."""
        instance = self.instances[instance_id]
        for other_id, other in self.instances.items():
            if other is instance or other.stopped:
                continue
            output = instance.detector.register_peer(self.now, other.identity)
            self.send_output(instance_id, output)
            output = other.detector.register_peer(self.now, instance.identity)
            self.send_output(other_id, output)

    def run(self, seconds: float) -> None:
        """Advance virtual time by ``seconds``."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            self._deliver()
            for instance_id, instance in list(self.instances.items()):
                if instance.paused or instance.stopped:
                    continue
                if not self._count_false_positives:
                    self.send_output(instance_id, instance.detector.advance(self.now))
                    continue
                before = self._list_unhealthy(instance)
                self.send_output(instance_id, instance.detector.advance(self.now))
                self._record_false_positives(instance, before)

    def send_output(self, sender: str, output: DetectorOutput) -> None:
        """Send the messages of a detector's output."""
        instance = self.instances[sender]
        for send in output.sends:
            instance.sent[send.message.wire_name] += 1
            instance.sent_bytes += len(encode(Envelope(send.message)))
            receiver = self.instances.get(send.instance_id)
            if receiver is None or receiver.stopped:
                continue
            if self.is_lost(sender, send.instance_id):
                continue
            self._number += 1
            delivery = _Delivery(
                self.now + LATENCY_SECONDS,
                self._number,
                sender,
                send.instance_id,
                send.message,
            )
            heapq.heappush(self._queue, delivery)

    def find_state(self, observer: str, observed: str) -> MemberState | None:
        """Return the state of one instance in the member table of another."""
        record = self.instances[observer].detector.table.find(observed)
        return None if record is None else record.state

    def count_states(self, observed: str) -> Counter[MemberState | None]:
        """Count the states of one instance in the tables of all other running ones."""
        return Counter(
            self.find_state(observer, observed)
            for observer, instance in self.instances.items()
            if observer != observed and not instance.stopped and not instance.paused
        )

    def _deliver(self) -> None:
        # replies to messages of this tick are due within the same tick
        while self._queue and self._queue[0].due <= self.now + TICK_SECONDS:
            delivery = heapq.heappop(self._queue)
            instance = self.instances[delivery.receiver]
            if instance.stopped:
                continue
            if instance.paused:
                self._number += 1
                delivery.due = self.now + 2 * TICK_SECONDS
                heapq.heappush(self._queue, delivery)
                continue
            output = instance.detector.receive(
                self.now, delivery.sender, delivery.message
            )
            self.send_output(delivery.receiver, output)

    def _list_unhealthy(self, instance: SimulatedInstance) -> tuple[set[str], set[str]]:
        table = instance.detector.table
        suspects = {r.instance_id for r in table.select(MemberState.SUSPECT)}
        dead = {r.instance_id for r in table.select(MemberState.DEAD)}
        return suspects, dead

    def _record_false_positives(
        self, instance: SimulatedInstance, before: tuple[set[str], set[str]]
    ) -> None:
        suspects, dead = self._list_unhealthy(instance)
        for instance_id in suspects - before[0]:
            self.false_suspicions += self._is_running(instance_id)
        for instance_id in dead - before[1]:
            self.false_deaths += self._is_running(instance_id)

    def _is_running(self, instance_id: str) -> bool:
        instance = self.instances.get(instance_id)
        return instance is not None and not instance.stopped and not instance.paused
