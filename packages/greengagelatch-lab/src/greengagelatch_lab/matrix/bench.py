"""Simulated fleet: instances, targets, platform and clients in one event loop."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err

from greengagelatch.claims.sharding import create_key
from greengagelatch.config.head import HEAD_KEY, SHARD_PREFIX
from greengagelatch.config.objects import Workspace
from greengagelatch.config.requests import ChangeMode, ChangeRequest
from greengagelatch.instances import Instance, InstanceKind, InstanceState
from greengagelatch.store import StoreError, StoreErrorKind, WriteOutcome, WriteResult

from ..standins.memory import MemoryInstanceList, MemoryStore, StoreFaults
from ..waiting import wait_until
from .callers_server import ClientAttempt
from .clients import Client, ClientRequest
from .fleet import FleetTarget, TargetRecord
from .instance import EntryInstance, LoopClock
from .network import Network
from .objects import OBJECTS, SERVICES, WORKSPACE
from .peers import LinkRegistry
from .processes import SimulatedProcess, spawn_outside
from .sessions import ORDERS
from .steps import Announcer, Step

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from greengagelatch.config.names import ConfigObject
    from greengagelatch.config.requests import ChangeOutcome

    from .serving import ServingInstance

__all__ = ("NORTH", "PLACES", "PLACES_WITH_SPARE", "Bench", "Change")

NORTH = "north"
SOUTH = "south"
#: data centre of each entry instance
PLACES = (NORTH, NORTH, SOUTH)
#: the same with an additional instance that does not watch the configuration head
PLACES_WITH_SPARE = (NORTH, NORTH, NORTH, SOUTH)
#: data centre of each replica of a service
REPLICAS = (NORTH, NORTH, SOUTH)

#: key prefix of leases, followed by data centre and service
LEASE_PREFIX = "leases/"
WRITE_KINDS = frozenset({"swap", "delete", "revoke"})
#: seconds between two polls of the generations in force
WATCH_INTERVAL = 0.1
#: replication lag of the instance list, in seconds
LIST_LAG_SECONDS = 0.2
#: seconds within which the first generation must be in force on all instances
START_TIMEOUT = 20.0


@dataclass(slots=True, eq=False)
class Change:
    """A configuration change submitted by an operator."""

    change_id: str
    instance: str
    objects: tuple[ConfigObject, ...]
    submitted: float
    outcome: ChangeOutcome | None = None
    settled: float | None = None


class Bench:
    """All components of one run; all randomness derives from the seed.

    :param create: factory of the entry instances under test
    :param places: data centre of each entry instance
    :param engines_check: whether engines reject stale fencing tokens
    """

    def __init__(
        self,
        seed: int,
        *,
        create: Callable[..., ServingInstance] = EntryInstance,
        places: Sequence[str] = PLACES,
        engines_check: bool = True,
    ) -> None:
        self.random = random.Random(seed)
        self.network = Network(self.random)
        self.announcer = Announcer()
        self.links = LinkRegistry(self.network)
        self.faults = StoreFaults()
        clock = LoopClock()
        self.store = MemoryStore(clock=clock, faults=self.faults)
        self.instance_list = MemoryInstanceList(clock=clock)
        self.engines_check = engines_check
        self.record = TargetRecord()
        #: targets by address
        self.targets: dict[str, FleetTarget] = {}
        #: marker of each request by request id
        self.markers: dict[str, str] = {}
        self.attempts: list[ClientAttempt] = []
        self.clients: list[Client] = []
        self.changes: list[Change] = []
        #: number of upcoming writes that are applied but whose responses are lost
        self.lost_responses = 0
        #: markers of requests sent after the faults, which must all succeed
        self.must_succeed: set[str] = set()
        self._current_change_ids: dict[str, str] = {}
        self._markers_by_key: dict[bytes, str] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._client_tasks: list[asyncio.Task[None]] = []
        self._create_targets()
        self.instances = [
            self._create_instance(create, number, place)
            for number, place in enumerate(places, start=1)
        ]

    async def start(self) -> None:
        """Start all instances and wait until the first configuration is in force."""
        for instance in self.instances:
            instance.start()
        await asyncio.sleep(0.5)
        self.instance_list.lag = LIST_LAG_SECONDS
        self.spawn(self._watch_generations())
        await self.operate(self.instances[0], "base", OBJECTS)
        await wait_until(
            lambda: all(one.generations for one in self.instances),
            timeout=START_TIMEOUT,
            what="first configuration in force",
        )

    async def finish(self) -> None:
        """Wait until all clients have finished."""
        await asyncio.gather(*self._client_tasks)

    def find(self, name: str) -> ServingInstance:
        """Return the instance named ``name``."""
        return next(one for one in self.instances if one.name == name)

    # clients

    def call(self, request: ClientRequest, *instances: ServingInstance) -> Client:
        """Start a client that tries the given instances in turn."""
        client = Client(self, request)
        self.clients.append(client)
        if request.keyed:
            self._markers_by_key[
                create_key(WORKSPACE, request.pipeline, request.key)
            ] = request.marker
        self._client_tasks.append(spawn_outside(client.run(list(instances))))
        return client

    def send(self, attempt: ClientAttempt, instance: ServingInstance) -> None:
        """Deliver a request to an instance, or refuse the connection."""
        if not instance.callers_server.listening:
            attempt.refused = True
            attempt.over.set()
            return
        # clients are in the data centre of their instance, so that no latency is added
        instance.process.deliver(instance.callers_server.accept, attempt)

    # operators

    def submit(
        self, instance: ServingInstance, change_id: str, labels: dict[str, str]
    ) -> Change:
        """Submit a change of the spare workspace's labels."""
        objects = (Workspace(name="spare", labels=labels),)
        return self.submit_objects(instance, change_id, objects)

    def submit_objects(
        self,
        instance: ServingInstance,
        change_id: str,
        objects: tuple[ConfigObject, ...],
    ) -> Change:
        """Submit a change without waiting for its outcome."""
        change = self._record_change(instance, change_id, objects)
        self._tasks.append(
            instance.process.spawn(self._submit_change(instance, change))
        )
        return change

    async def operate(
        self,
        instance: ServingInstance,
        change_id: str,
        objects: tuple[ConfigObject, ...],
    ) -> Change:
        """Submit a change and wait for its outcome."""
        change = self._record_change(instance, change_id, objects)
        await instance.process.spawn(self._submit_change(instance, change))
        return change

    def _record_change(
        self,
        instance: ServingInstance,
        change_id: str,
        objects: tuple[ConfigObject, ...],
    ) -> Change:
        now = asyncio.get_running_loop().time()
        change = Change(change_id, instance.name, objects, now)
        self.changes.append(change)
        return change

    async def _submit_change(self, instance: ServingInstance, change: Change) -> None:
        self._current_change_ids[instance.name] = change.change_id
        await self.announcer.announce_and_yield(
            Step.SUBMITTED, change.change_id, instance.process
        )
        request = ChangeRequest(
            change_id=change.change_id,
            mode=ChangeMode.APPLY,
            objects=change.objects,
        )
        change.outcome = await instance.change(request)
        change.settled = asyncio.get_running_loop().time()

    # observation

    def handle_store_call(
        self, process: SimulatedProcess, kind: str, key: str, value: bytes, answer: Any
    ) -> Any:
        """Announce the steps reached by a store call and return its response."""
        if kind == "swap" and answer.outcome is WriteOutcome.APPLIED:
            self._announce_write(process, key, value)
        if kind not in WRITE_KINDS:
            if self.faults.outage:
                return Err(StoreError(StoreErrorKind.TIMEOUT, "no answer"))
            return answer
        if self.lost_responses > 0:
            self.lost_responses -= 1
            return WriteResult(WriteOutcome.UNKNOWN, message="no answer")
        if self.faults.outage and answer.outcome is WriteOutcome.APPLIED:
            return WriteResult(WriteOutcome.UNKNOWN, message="no answer")
        return answer

    def _announce_write(
        self, process: SimulatedProcess, key: str, value: bytes
    ) -> None:
        change_id = self._current_change_ids.get(process.name, "")
        if key.startswith(SHARD_PREFIX):
            self.announcer.announce(Step.SHARDS_WRITTEN, change_id, process)
        elif key == HEAD_KEY:
            self.announcer.announce(Step.HEAD_SWAPPED, change_id, process)
        elif key.startswith(LEASE_PREFIX):
            group = key.removeprefix(LEASE_PREFIX).split("/")[0]
            self.announcer.announce(Step.LEASE_HELD, f"{ORDERS}/{group}", process)
        for claimed, marker in self._markers_by_key.items():
            if claimed in value:
                self.announcer.announce(Step.CLAIMED, marker, process)
                self.announcer.announce(Step.CLAIM_WRITER, marker, process)

    async def _watch_generations(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            for instance in self.instances:
                self._record_generation(instance, now)
            await asyncio.sleep(WATCH_INTERVAL)

    def _record_generation(self, instance: ServingInstance, now: float) -> None:
        generation = instance.generation
        previous = instance.generations[-1][1] if instance.generations else 0
        if generation == previous:
            return
        instance.generations.append((now, generation))
        change_id = instance.change_id
        submitters = {change.change_id: change.instance for change in self.changes}
        if instance.name != submitters.get(change_id):
            self.announcer.announce(Step.SPREADING, change_id, instance.process)
        living = [one for one in self.instances if one.alive]
        if all(one.change_id == change_id for one in living):
            self.announcer.announce(Step.IN_FORCE, change_id, instance.process)

    # components

    def _create_instance(
        self, create: Callable[..., ServingInstance], number: int, place: str
    ) -> ServingInstance:
        name = f"instance-{number}"
        address = f"127.0.1.{number}:7000"
        self.instance_list.put(
            Instance(
                instance_id=name,
                kind=InstanceKind.ENTRY,
                data_centre=place,
                address=address,
            )
        )
        return create(
            self,
            name=name,
            data_centre=place,
            address=address,
            seed=self.random.randrange(1, 2**31),
        )

    def _create_targets(self) -> None:
        for service in SERVICES:
            for number, data_centre in enumerate(REPLICAS, start=1):
                self.add_target(service.name, f"{service.name}-{number}", data_centre)

    def add_target(self, service: str, target_id: str, data_centre: str) -> None:
        """Add a replica of a service."""
        address = f"127.0.2.{len(self.targets) + 1}:9000"
        self.targets[address] = FleetTarget(
            target_id=target_id,
            service=service,
            data_centre=data_centre,
            address=address,
            record=self.record,
            random_source=self.random,
            resumes=self.random.random() < 0.5,
            checks_fence=self.engines_check,
        )
        self.list_target(self.targets[address])

    def list_target(self, target: FleetTarget) -> None:
        """Publish a target's current state in the platform's instance list."""
        state = InstanceState.LEAVING if target.leaving else InstanceState.LIVE
        self.instance_list.put(
            Instance(
                instance_id=target.target_id,
                kind=InstanceKind.TARGET,
                data_centre=target.data_centre,
                address=target.address,
                state=state,
                service=target.service,
            )
        )

    def spawn(self, work: Any) -> None:
        """Start a task that belongs to no simulated process."""
        self._tasks.append(spawn_outside(work))
