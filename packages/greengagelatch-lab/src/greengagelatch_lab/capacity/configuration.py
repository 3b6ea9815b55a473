"""Benchmarks configuration changes at the instances that apply and receive them."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from greengagelatch.clock import SystemClock
from greengagelatch.config.head import HEAD_KEY, encode_delta
from greengagelatch.config.ini import parse_objects
from greengagelatch.config.replica import Replica
from greengagelatch.config.requests import ChangeMode, ChangeRequest, Settled
from greengagelatch.store import Entry
from greengagelatch_entry.configuration.driver import ChangeDriver
from greengagelatch_entry.configuration.learner import Learner
from greengagelatch_entry.configuration.serving import ConfigServer
from greengagelatch_entry.configuration.shards import ShardReader
from greengagelatch_entry.metrics import Metrics

from ..standins.memory import MemoryStore
from ..standins.peers import MemoryNetwork, MemoryPeers
from .fits import Point, Series
from .meters import measure_cpu, measure_memory

__all__ = ("measure_changes",)

STATSD = "127.0.0.1:9"
WORKSPACES = (10, 300, 1200)
#: number of changes applied before the measurement begins
HISTORIES = (0, 300, 1100)
#: number of changes over which each point is averaged
ROUNDS = 10
PIPELINES = 9
STAGES = 5
#: number of workspaces per policy
WORKSPACES_PER_POLICY = 4
#: timeout of fetches and changes in seconds
TIMEOUT_SECONDS = 10.0


@dataclass(slots=True)
class _ConfigurationInstance:
    """Configuration components of one instance, on an in-memory network."""

    store: MemoryStore
    peers: MemoryPeers
    replica: Replica = field(default_factory=Replica)
    learner: Learner = field(init=False)
    driver: ChangeDriver = field(init=False)

    def __post_init__(self) -> None:
        metrics = Metrics(STATSD)
        reader = ShardReader(store=self.store, replica=self.replica, metrics=metrics)
        ConfigServer(replica=self.replica, peers=self.peers, metrics=metrics)
        self.learner = Learner(
            replica=self.replica,
            reader=reader,
            peers=self.peers,
            metrics=metrics,
            fetch_timeout=TIMEOUT_SECONDS,
            on_adopted=lambda: None,
        )
        self.driver = ChangeDriver(
            store=self.store,
            reader=reader,
            clock=SystemClock(),
            random_source=random.Random(1),
            metrics=metrics,
            timeout=TIMEOUT_SECONDS,
            on_settled=self.learner.adopt,
            get_generation=lambda: self.replica.generation,
        )


class _Instances:
    """Three instances: one applies changes, one watches the store, one asks a peer."""

    def __init__(self, workspaces: int) -> None:
        self.store = MemoryStore(clock=SystemClock())
        self.network = MemoryNetwork()
        self.writer = self._create_instance("maker")
        self.watcher = self._create_instance("watcher")
        self.fetcher = self._create_instance("listener")
        self._workspaces = workspaces
        self._change_number = 0
        self._random = random.Random(workspaces)

    async def apply_initial_objects(self) -> None:
        """Apply all objects in one change."""
        texts = [_format_workspace(n, 0) for n in range(self._workspaces)]
        texts += [
            _format_policy(n) for n in range(0, self._workspaces, WORKSPACES_PER_POLICY)
        ]
        texts.append("[service:model]\nkind = generate\n")
        texts += [_format_pipeline(n) for n in range(PIPELINES)]
        await self._apply("\n".join(texts))

    async def change_workspace(self) -> None:
        """Change one random workspace."""
        number = self._random.randrange(self._workspaces)
        await self._apply(_format_workspace(number, self._change_number))

    async def read_head(self) -> Entry:
        """Return the stored head, as a watch would deliver it."""
        return (await self.store.get(HEAD_KEY)).unwrap()

    async def synchronise(self) -> None:
        """Bring the watching and the fetching instance up to date."""
        await self.watcher.learner.adopt_entry(await self.read_head())
        await self.fetcher.learner.adopt_from_peer("watcher")

    def _create_instance(self, name: str) -> _ConfigurationInstance:
        return _ConfigurationInstance(store=self.store, peers=self.network.join(name))

    async def _apply(self, text: str) -> None:
        self._change_number += 1
        request = ChangeRequest(
            change_id=f"change-{self._random.getrandbits(96):024x}",
            mode=ChangeMode.APPLY,
            objects=parse_objects(text, "objects.ini").unwrap(),
        )
        outcome = await self.writer.driver.change(request)
        if not isinstance(outcome, Settled):
            raise RuntimeError(
                f"change {self._change_number} did not settle: {outcome}"
            )


async def measure_changes(
    workspaces: Sequence[int] = WORKSPACES,
    histories: Sequence[int] = HISTORIES,
    rounds: int = ROUNDS,
) -> Series:
    """Apply changes of one object each, with a growing number of earlier changes."""
    points = []
    for count in workspaces:
        instances = _Instances(count)
        await instances.apply_initial_objects()
        applied = 0
        for history in sorted(histories):
            while applied < history:
                await instances.change_workspace()
                applied += 1
            await instances.synchronise()
            points.append(await _measure_point(instances, count, history, rounds))
            applied += rounds
    drivers = ("workspaces", "history")
    return Series(
        role="configuration, one change of one object",
        points=points,
        fit_drivers={
            "make_cpu_ms": drivers,
            "watch_cpu_ms": drivers,
            "fetch_cpu_ms": drivers,
            "head_kb": drivers,
            "fetched_kb": drivers,
            "memory_kb": drivers,
        },
    )


async def _measure_point(
    instances: _Instances, workspaces: int, history: int, rounds: int
) -> Point:
    write_ms = watch_ms = fetch_ms = fetched_bytes = 0.0
    calls = instances.store.calls.copy()
    for _ in range(rounds):
        with measure_cpu() as write_usage:
            await instances.change_workspace()
        entry = await instances.read_head()
        with measure_cpu() as watch_usage:
            await instances.watcher.learner.adopt_entry(entry)
        head = instances.watcher.replica.head
        missing = instances.fetcher.replica.find_missing(head.shards.values())
        with measure_cpu() as fetch_usage:
            await instances.fetcher.learner.adopt_from_peer("watcher")
        write_ms += write_usage.cpu_ms
        watch_ms += watch_usage.cpu_ms
        fetch_ms += fetch_usage.cpu_ms
        delta = encode_delta(head, head.generation - 1) or b""
        fetched_shards = [instances.watcher.replica.get(ref.key) for ref in missing]
        fetched_bytes += len(delta) + sum(
            len(one.data) for one in fetched_shards if one
        )
    calls = instances.store.calls - calls
    newcomer = instances._create_instance(f"newcomer-{history}")
    with measure_memory() as memory_usage:
        await newcomer.learner.adopt_entry(await instances.read_head())
    return Point(
        drivers={"workspaces": workspaces, "history": history},
        figures={
            "make_cpu_ms": write_ms / rounds,
            "watch_cpu_ms": watch_ms / rounds,
            # sum of the requesting and the answering instance
            "fetch_cpu_ms": fetch_ms / rounds,
            "head_kb": len((await instances.read_head()).value) / 1000,
            "fetched_kb": fetched_bytes / rounds / 1000,
            "memory_kb": memory_usage.retained_bytes / 1000,
            "store_writes": (calls["swap"] + calls["delete"]) / rounds,
            # without the read of the head that the benchmark itself makes each round
            "store_reads": calls["get"] / rounds - 1,
        },
    )


def _format_workspace(number: int, version: int) -> str:
    return (
        f"[workspace:workspace-{number:04d}]\nlabels = id=n{number:04d}, version=v"
        f"{version}\n"
    )


def _format_policy(number: int) -> str:
    return (
        f"[policy:policy-{number:04d}]\neffect = priority\nworkspaces = id=n"
        f"{number:04d}\nrank = {number}\npriority = 5\n"
    )


def _format_pipeline(number: int) -> str:
    stages = [f"stage-{n}" for n in range(STAGES)]
    rows = [f"[pipeline:pipeline-{number}]\nstages = {', '.join(stages)}\n"]
    for name in stages:
        rows.append(
            f"[stage:pipeline-{number}/{name}]\nkind = generate\nservice = model\n"
        )
    return "\n".join(rows)
