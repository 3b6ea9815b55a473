"""Cost of a change of the configuration to those who make it and those who learn it."""

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
#: changes made before the measurement begins
HISTORIES = (0, 300, 1100)
#: changes that each point is the mean of
ROUNDS = 10
PIPELINES = 9
STAGES = 5
#: workspaces for each policy
SHARE = 4
TIMEOUT = 10.0


@dataclass(slots=True)
class _Replica:
    """One instance's part in the configuration, without its network."""

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
            fetch_timeout=TIMEOUT,
            on_adopted=lambda: None,
        )
        self.driver = ChangeDriver(
            store=self.store,
            reader=reader,
            clock=SystemClock(),
            random_source=random.Random(1),
            metrics=metrics,
            timeout=TIMEOUT,
            on_settled=self.learner.adopt,
            get_generation=lambda: self.replica.generation,
        )


class _Trio:
    """One instance that makes changes, one that watches, one that hears of them."""

    def __init__(self, workspaces: int) -> None:
        self.store = MemoryStore(clock=SystemClock())
        self.switchboard = MemoryNetwork()
        self.maker = self._join("maker")
        self.watcher = self._join("watcher")
        self.listener = self._join("listener")
        self._workspaces = workspaces
        self._number = 0
        self._random = random.Random(workspaces)

    async def begin(self) -> None:
        """Put all objects in force, by one change."""
        texts = [_describe_workspace(n, 0) for n in range(self._workspaces)]
        texts += [_describe_policy(n) for n in range(0, self._workspaces, SHARE)]
        texts.append("[service:model]\nkind = generate\n")
        texts += [_describe_pipeline(n) for n in range(PIPELINES)]
        await self._apply("\n".join(texts))

    async def change(self) -> None:
        """Change one workspace, as an operator does."""
        number = self._random.randrange(self._workspaces)
        await self._apply(_describe_workspace(number, self._number))

    async def read_head(self) -> Entry:
        """Return the head as a watch gives it."""
        return (await self.store.get(HEAD_KEY)).unwrap()

    async def learn(self) -> None:
        """Bring the others up to date."""
        await self.watcher.learner.adopt_entry(await self.read_head())
        await self.listener.learner.adopt_from_peer("watcher")

    def _join(self, name: str) -> _Replica:
        return _Replica(store=self.store, peers=self.switchboard.join(name))

    async def _apply(self, text: str) -> None:
        self._number += 1
        request = ChangeRequest(
            change_id=f"change-{self._random.getrandbits(96):024x}",
            mode=ChangeMode.APPLY,
            objects=parse_objects(text, "objects.ini").unwrap(),
        )
        outcome = await self.maker.driver.change(request)
        if not isinstance(outcome, Settled):
            raise RuntimeError(f"change {self._number} was not settled: {outcome}")


async def measure_changes(
    workspaces: Sequence[int] = WORKSPACES,
    histories: Sequence[int] = HISTORIES,
    rounds: int = ROUNDS,
) -> Series:
    """Make changes of one object each, after more and more earlier ones."""
    points = []
    for count in workspaces:
        trio = _Trio(count)
        await trio.begin()
        made = 0
        for history in sorted(histories):
            while made < history:
                await trio.change()
                made += 1
            await trio.learn()
            points.append(await _measure_point(trio, count, history, rounds))
            made += rounds
    drivers = ("workspaces", "history")
    return Series(
        role="configuration, one change of one object",
        points=points,
        lines={
            "make_cpu_ms": drivers,
            "watch_cpu_ms": drivers,
            "fetch_cpu_ms": drivers,
            "head_kb": drivers,
            "fetched_kb": drivers,
            "memory_kb": drivers,
        },
    )


async def _measure_point(
    trio: _Trio, workspaces: int, history: int, rounds: int
) -> Point:
    make = watch = fetch = fetched = 0.0
    calls = trio.store.calls.copy()
    for _ in range(rounds):
        with measure_cpu() as made:
            await trio.change()
        entry = await trio.read_head()
        with measure_cpu() as watched:
            await trio.watcher.learner.adopt_entry(entry)
        head = trio.watcher.replica.head
        missing = trio.listener.replica.find_missing(head.shards.values())
        with measure_cpu() as heard:
            await trio.listener.learner.adopt_from_peer("watcher")
        make += made.cpu_ms
        watch += watched.cpu_ms
        fetch += heard.cpu_ms
        delta = encode_delta(head, head.generation - 1) or b""
        held = [trio.watcher.replica.get(ref.key) for ref in missing]
        fetched += len(delta) + sum(len(one.data) for one in held if one)
    calls = trio.store.calls - calls
    newcomer = trio._join(f"newcomer-{history}")
    with measure_memory() as memory:
        await newcomer.learner.adopt_entry(await trio.read_head())
    return Point(
        drivers={"workspaces": workspaces, "history": history},
        figures={
            "make_cpu_ms": make / rounds,
            "watch_cpu_ms": watch / rounds,
            # by the one that asks and the one that is asked together
            "fetch_cpu_ms": fetch / rounds,
            "head_kb": len((await trio.read_head()).value) / 1000,
            "fetched_kb": fetched / rounds / 1000,
            "memory_kb": memory.bytes / 1000,
            "store_writes": (calls["swap"] + calls["delete"]) / rounds,
            # one read of the head each round is this measurement's own
            "store_reads": calls["get"] / rounds - 1,
        },
    )


def _describe_workspace(number: int, version: int) -> str:
    return (
        f"[workspace:workspace-{number:04d}]\n"
        f"labels = id=n{number:04d}, version=v{version}\n"
    )


def _describe_policy(number: int) -> str:
    return (
        f"[policy:policy-{number:04d}]\neffect = priority\n"
        f"workspaces = id=n{number:04d}\nrank = {number}\n"
        "priority = 5\n"
    )


def _describe_pipeline(number: int) -> str:
    stages = [f"stage-{n}" for n in range(STAGES)]
    rows = [f"[pipeline:pipeline-{number}]\nstages = {', '.join(stages)}\n"]
    for name in stages:
        rows.append(
            f"[stage:pipeline-{number}/{name}]\nkind = generate\nservice = model\n"
        )
    return "\n".join(rows)
