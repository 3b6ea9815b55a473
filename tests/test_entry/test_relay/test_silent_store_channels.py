"""Tests of connections to the store that go silent without an error."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Err, Ok

from greengagelatch.store import Entry, StoreError, StoreErrorKind
from greengagelatch.store.ranges import Changes, RangeStore, Scan
from greengagelatch_entry.relay.decisions import DecisionLog
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.store_follower import StoreFollower, StoreSubscriber
from greengagelatch_lab.stage_load.trial import LoopClock
from greengagelatch_platform.store import CALL_TIMEOUT, WATCH_MARGIN

pytestmark = pytest.mark.looptime

#: seconds after the silence, and after the ack of a change, from which it has to be in
#: force; the lowest that the platform asks for
CONTACT_SECONDS, APPLY_SECONDS = 3.0, 2.0
#: seconds between two looks at the state
LOOK_SECONDS = 0.05
CALM_SECONDS = 600.0
SEEDS = range(10)


class Backend:
    """The items of a store, and a condition for those that wait for changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, Entry] = {}
        self.removed: dict[str, int] = {}
        self.changed = asyncio.Event()

    def put(self, key: str) -> None:
        self.revision += 1
        self.items[key] = Entry(key, b"1", self.revision)
        self._notify()

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self.removed[key] = self.revision
        self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Channels(RangeStore):
    """Connections of one instance, of which those that are open may go silent."""

    get = list = watch = swap = delete = None
    grant_lease = renew_lease = revoke_lease = None

    def __init__(self, backend: Backend, source: random.Random, delay: float) -> None:
        self._backend = backend
        self._random = source
        self._delay = delay
        #: number of the connections in use, and the last that is silent
        self._current, self._silent = 1, 0
        self.calls = 0
        self.renewals = 0

    def fall_silent(self) -> None:
        self._silent = self._current

    def renew_connections(self) -> None:
        self.renewals += 1
        self._current += 1

    async def scan(self, prefix):
        self.calls += 1
        current = self._current
        if not await self._answer(current, CALL_TIMEOUT):
            self.renew_connections()
            return Err(StoreError(StoreErrorKind.TIMEOUT, "scan"))
        items = tuple(self._backend.items.values())
        return Ok(Scan(items, self._backend.revision))

    async def follow(self, prefix, after, wait):
        self.calls += 1
        current, backend = self._current, self._backend
        end = asyncio.get_running_loop().time() + wait
        while backend.revision <= after:
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await backend.changed.wait()
            except TimeoutError:
                break
        left = end - asyncio.get_running_loop().time()
        if not await self._answer(current, max(0.0, left) + WATCH_MARGIN):
            return Err(StoreError(StoreErrorKind.TIMEOUT, "watch"))
        written = [one for one in backend.items.values() if one.revision > after]
        removed = [row for row in backend.removed.items() if row[1] > after]
        return Ok(Changes(tuple(written), tuple(removed), backend.revision))

    async def _answer(self, current: int, timeout: float) -> bool:
        """Return whether an answer passes the connections of a call in time."""
        if current <= self._silent:
            await asyncio.sleep(timeout)
            return False
        await asyncio.sleep(self._random.uniform(0.0, self._delay))
        return current > self._silent


class Keys(StoreSubscriber):
    """The keys below a prefix that an instance believes in."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.known: set[str] = set()

    def apply_scan(self, scan):
        self.known = {entry.key for entry in scan.entries}

    def apply_changes(self, changes):
        self.known |= {entry.key for entry in changes.written}
        self.known -= {key for key, _ in changes.removed}


class Instances:
    """Instances that follow one store, each on connections of its own."""

    def __init__(self, count: int, seed: int, *, dependents: bool = False) -> None:
        self.random = random.Random(seed)
        self.backend = Backend()
        clock, self.metrics = LoopClock(), PrometheusMetrics()
        self.channels, self.keys, self._followers = [], [], []
        for _ in range(count):
            channels = Channels(self.backend, self.random, delay=0.02)
            keys = (Keys("op/"), Keys("servers/"))
            follower = StoreFollower(
                store=channels,
                subscribers=keys,
                clock=clock,
                random_source=self.random,
                metrics=self.metrics,
                decisions=DecisionLog(clock=clock, metrics=self.metrics),
                is_follower=lambda: True,
                has_dependents=lambda: dependents,
            )
            self.channels.append(channels)
            self.keys.append(keys)
            self._followers.append(follower)

    async def start(self) -> None:
        for follower in self._followers:
            await follower.start()

    async def stop(self) -> None:
        for follower in self._followers:
            await follower.stop()

    def list_believers(self, key: str) -> list[int]:
        """Return the instances that use a key."""
        return [
            number
            for number, groups in enumerate(self.keys)
            if any(key in one.known for one in groups)
        ]


async def find_late(instances: Instances, key: str, silent: int) -> list[int]:
    """Return the instances that use a key later than they may.

    :param silent: on how many of them the open connections go silent
    """
    source, backend = instances.random, instances.backend
    backend.put(key)
    await instances.start()
    await asyncio.sleep(source.uniform(4.0, 8.0))
    assert len(instances.list_believers(key)) == len(instances.channels)
    loop = asyncio.get_running_loop()
    silent_at = loop.time()
    for channels in source.sample(instances.channels, silent):
        channels.fall_silent()
    await asyncio.sleep(source.choice([0.0, 0.1, source.uniform(0.0, 4.0)]))
    backend.remove(key)
    bound = max(silent_at + CONTACT_SECONDS, loop.time() + APPLY_SECONDS)
    await asyncio.sleep(bound - loop.time())
    late = instances.list_believers(key)
    await instances.stop()
    return late


async def test_removed_key_is_not_used_after_new_watches_went_silent():
    """Guards against a removed key that is used until the watch times out."""
    instances = Instances(3, 1)
    instances.backend.put("op/config")
    await instances.start()
    await asyncio.sleep(1.0)
    # all watches begin anew
    instances.backend.put("op/other")
    await asyncio.sleep(0.3)
    for channels in instances.channels:
        channels.fall_silent()
    instances.backend.remove("op/config")
    await asyncio.sleep(CONTACT_SECONDS)
    assert instances.list_believers("op/config") == []
    await instances.stop()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("silent", [9, 5, 1])
@pytest.mark.parametrize("key", ["op/config", "servers/t-1"])
async def test_removed_key_is_not_used_beyond_the_bound(key, silent, seed):
    """Guards against a removed key or target that is used after its bound.

    The open connections of all, half or one of the instances go silent before or after
    the removal, while new ones work. The fault is to wait until the watch times out.
    """
    instances = Instances(9, seed)
    assert await find_late(instances, key, silent) == []
    assert instances.metrics.value("store.silent_channels") >= silent


@pytest.mark.parametrize("seed", SEEDS)
async def test_follower_with_dependents_notices_silence_in_time_to_tell(seed):
    """Guards against followers that notice a silence too late to tell others."""
    instances = Instances(3, seed, dependents=True)
    await instances.start()
    await asyncio.sleep(instances.random.uniform(4.0, 8.0))
    for channels in instances.channels:
        channels.fall_silent()
    instances.backend.put("op/config")
    await asyncio.sleep(CONTACT_SECONDS - 1.0)
    assert len(instances.list_believers("op/config")) == 3
    await instances.stop()


class LateChannels(Channels):
    """Connections on which each answer is late, by less than a watch allows for."""

    late = WATCH_MARGIN - 0.1

    async def _answer(self, current, timeout):
        await asyncio.sleep(min(self.late, timeout))
        return self.late < timeout


async def test_store_that_answers_late_is_not_lost():
    """Guards against a late watch that ends as a scan beside it fails."""
    instances = Instances(1, 1)
    (follower,) = instances._followers
    await instances.start()
    await asyncio.sleep(4.0)
    follower._store = LateChannels(instances.backend, instances.random, delay=0.0)
    for _ in range(600):
        await asyncio.sleep(0.1)
        assert follower.reachable
    await instances.stop()


async def test_connections_are_not_renewed_while_all_is_calm():
    """Guards against needless calls to the store, each of which is billed."""
    instances = Instances(3, 1)
    await instances.start()
    await asyncio.sleep(CALM_SECONDS)
    await instances.stop()
    assert [one.renewals for one in instances.channels] == [0, 0, 0]
    # one watch of two seconds after the other
    assert max(one.calls for one in instances.channels) <= CALM_SECONDS / 2 + 2


async def test_silent_store_is_not_taken_for_a_silent_connection_again_and_again():
    """Guards against calls in quick succession to a store that answers nobody."""
    instances = Instances(1, 1)
    await instances.start()
    await asyncio.sleep(4.0)
    (channels,) = instances.channels
    channels.renew_connections = channels.fall_silent
    channels.fall_silent()
    before = channels.calls
    await asyncio.sleep(20.0)
    assert channels.calls - before <= 20
    await instances.stop()
