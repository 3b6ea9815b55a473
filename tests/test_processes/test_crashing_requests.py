"""Process tests of requests that crash their targets, over several instances."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import pytest

from greengagelatch_lab.platform_standins.deployment import API_KEY, HOST
from greengagelatch_lab.platform_standins.fleet import PlatformFleet
from greengagelatch_lab.platform_standins.store import StoreFault

pytestmark = [pytest.mark.processes, pytest.mark.timeout(180)]

#: timeout of every wait, in seconds
WAIT_TIMEOUT = 60
#: seconds after the last counted crash within which all instances have its report
REPLICATION_SECONDS = 3.0
#: number of targets that a request may crash, and of targets that it may still reach
#: after that
MAX_CRASHES = 3
MAX_STRAYS = 3
#: number of times that the request is sent again after that
REPEATS = 12


class Callers:
    """Sends requests to the instances in turn, and replaces crashed targets."""

    def __init__(self, fleet, session, service: str, crashed_by: str) -> None:
        self._fleet = fleet
        self._session = session
        self._service = service
        self._crashed_by = frozenset({crashed_by})
        self._numbers = itertools.count(1)
        self.instances = itertools.cycle(fleet.instances)
        for target in fleet.find_targets(service):
            target.crashed_by = self._crashed_by

    async def ask(self, path: str, instance=None) -> int:
        """Return the status of one request; 0 if the connection broke."""
        instance = instance or next(self.instances)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"r-{next(self._numbers)}",
            "X-Deadline-Ms": "2500",
            "Authorization": f"Bearer {API_KEY}",
        }
        method = "GET" if path.startswith("/look") else "POST"
        if path.startswith(("/scan", "/draft")):
            headers |= {"X-Token-Counts": "100,20", "X-Prefix-Hash": "aa:60,bb:40"}
        if path.startswith("/draft"):
            headers |= {"X-Pieces": "2,3", "X-Piece-Key": path}
        url = f"http://{instance.front}{path}"
        try:
            async with self._session.request(method, url, headers=headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    def list_crashed(self) -> list:
        targets = self._fleet.find_targets(self._service)
        return [one for one in targets if not one.is_serving()]

    def count_arrivals(self, path: str) -> int:
        targets = self._fleet.find_targets(self._service)
        return sum(one.target == path for target in targets for one in target.received)

    async def replace_crashed(self, sound: str) -> None:
        """List a new target for each that has crashed, and wait until it serves."""
        for target in self.list_crashed():
            self._fleet.store.remove(f"servers/{target.target_id}")
        listed = self._fleet.store.find("servers/")
        services = [
            one
            for one in self._fleet.find_targets(self._service)
            if f"servers/{one.target_id}" in listed
        ]
        for _ in range(2 - len(services)):
            await self._fleet.add_target(
                f"{self._service}-new-{next(self._numbers)}",
                self._service,
                crashed_by=self._crashed_by,
            )
        for instance in self._fleet.instances:
            await self.wait_served(instance, sound)

    async def wait_served(self, instance, path: str) -> None:
        """Wait until an instance serves a request; targets that crashed delay it."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while await self.ask(path, instance) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)


@pytest.fixture
async def fleet(tmp_path):
    created = PlatformFleet(tmp_path, count=3)
    try:
        await created.start()
        yield created
    finally:
        await created.stop()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as created:
        yield created


async def crash_targets(callers: Callers, path: str, sound: str) -> None:
    """Send a crashing request until it has crashed three targets."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while len(callers.list_crashed()) < MAX_CRASHES:
            await callers.ask(path)
            await callers.replace_crashed(sound)


async def send_repeatedly(callers: Callers, path: str, sound: str) -> list[int]:
    """Return the statuses of a request that is sent repeatedly."""
    statuses = []
    for _ in range(REPEATS):
        statuses.append(await callers.ask(path))
        await callers.replace_crashed(sound)
    return statuses


@pytest.mark.parametrize(
    ("service", "kind"), [("desk", "look"), ("desk", "book"), ("llm", "scan")]
)
async def test_request_that_crashes_targets_is_kept_from_them(
    fleet, session, service, kind
):
    """Guard against a request that crashes one target after the other."""
    crashing, sound = f"/{kind}/crashing", f"/{kind}/sound"
    callers = Callers(fleet, session, service, crashing)
    await crash_targets(callers, crashing, sound)
    await asyncio.sleep(REPLICATION_SECONDS)
    before = callers.count_arrivals(crashing)
    statuses = await send_repeatedly(callers, crashing, sound)
    assert callers.count_arrivals(crashing) - before <= MAX_STRAYS
    # a held request has not run, and its status says so
    assert statuses[MAX_STRAYS:] == [503] * (REPEATS - MAX_STRAYS)


async def test_sound_requests_beside_it_are_served_afterwards(fleet, session):
    """Guard against holding sound requests that shared targets with a crashing one."""
    crashing, sound = "/look/crashing", "/look/sound"
    concurrent = [f"/look/beside-{number}" for number in range(3)]
    callers = Callers(fleet, session, "desk", crashing)
    async with asyncio.timeout(WAIT_TIMEOUT):
        while len(callers.list_crashed()) <= MAX_CRASHES:
            before = len(callers.list_crashed())
            gate = asyncio.Event()
            targets = fleet.find_targets("desk")
            for target in targets:
                target.gate = gate
            seen = sum(len(target.received) for target in targets)
            asking = [
                asyncio.create_task(callers.ask(path))
                for path in (*concurrent, crashing)
            ]
            while sum(len(target.received) for target in targets) < seen + len(asking):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            gate.set()
            await asyncio.gather(*asking)
            for target in targets:
                target.gate = None
            if len(callers.list_crashed()) == before:
                break
            await callers.replace_crashed(sound)
    await asyncio.sleep(REPLICATION_SECONDS)
    for instance in fleet.instances:
        assert await callers.ask(crashing, instance) == 503
        for path in concurrent:
            assert await callers.ask(path, instance) == 200


async def test_restarted_instances_know_of_it(fleet, session):
    """Guard against crash reports that are lost when all instances are killed."""
    crashing, sound = "/look/crashing", "/look/sound"
    callers = Callers(fleet, session, "desk", crashing)
    await crash_targets(callers, crashing, sound)
    await asyncio.sleep(REPLICATION_SECONDS)
    for instance in fleet.instances:
        await fleet.kill(instance)
    for instance in fleet.instances:
        await fleet.launch(instance)
        await fleet.wait_ready(instance)
    before = callers.count_arrivals(crashing)
    for instance in fleet.instances:
        assert await callers.ask(crashing, instance) == 503
    assert callers.count_arrivals(crashing) == before


async def crash_targets_during_outage(fleet, callers, path: str, sound: str) -> None:
    """Crash three targets through one instance while the store takes no reports."""
    for number in range(2 * MAX_CRASHES):
        await fleet.add_target(
            f"desk-more-{number}", "desk", crashed_by=frozenset({path})
        )
    await callers.replace_crashed(sound)
    # until all instances know all targets
    await asyncio.sleep(REPLICATION_SECONDS)
    fleet.store.fault = StoreFault.UNAVAILABLE
    async with asyncio.timeout(WAIT_TIMEOUT):
        while len(callers.list_crashed()) < MAX_CRASHES:
            await callers.ask(path, fleet.instances[0])
    await asyncio.sleep(REPLICATION_SECONDS)


async def check_held(callers, instance, path: str, sound: str) -> None:
    """Check that an instance serves requests, but sends one request to no target."""
    await callers.wait_served(instance, sound)
    before = callers.count_arrivals(path)
    assert await callers.ask(path, instance) == 503
    assert callers.count_arrivals(path) == before


async def test_peers_receive_reports_during_a_store_outage(fleet, session):
    """Guard against crash reports that reach no peers during a store outage."""
    crashing, sound = "/look/crashing", "/look/sound"
    callers = Callers(fleet, session, "desk", crashing)
    await crash_targets_during_outage(fleet, callers, crashing, sound)
    for instance in fleet.instances:
        await check_held(callers, instance, crashing, sound)


async def test_instance_that_starts_during_a_store_outage_knows_of_it(fleet, session):
    """Guard against reports that only instances which ran before the outage have."""
    crashing, sound = "/look/crashing", "/look/sound"
    callers = Callers(fleet, session, "desk", crashing)
    await crash_targets_during_outage(fleet, callers, crashing, sound)
    last = fleet.instances[-1]
    await fleet.kill(last)
    await fleet.launch(last)
    await fleet.wait_ready(last)
    await check_held(callers, last, crashing, sound)


async def test_request_whose_pieces_crash_makers_is_kept_from_them(fleet, session):
    """Guard against a request that crashes makers, and the calls that it shares."""
    crashing, sound = "/draft/crashing", "/draft/sound"
    callers = Callers(fleet, session, "portal", crashing)
    await crash_targets(callers, crashing, sound)
    await asyncio.sleep(REPLICATION_SECONDS)
    before = len(callers.list_crashed())
    statuses = []
    for number in range(REPEATS):
        concurrent = callers.ask(f"/draft/beside-{number}")
        answers = await asyncio.gather(callers.ask(crashing), concurrent)
        statuses.append(answers)
        await callers.replace_crashed(sound)
    assert len(callers.list_crashed()) - before <= MAX_STRAYS
    assert statuses[MAX_STRAYS:] == [[503, 200]] * (REPEATS - MAX_STRAYS)


@pytest.mark.parametrize(
    ("service", "kind"), [("desk", "look"), ("llm", "scan"), ("portal", "draft")]
)
async def test_attempts_at_once_crash_targets_one_after_the_other(
    fleet, session, service, kind
):
    """Guard against targets crashed by the attempts of one moment at all instances."""
    crashing, sound = f"/{kind}/crashing", f"/{kind}/sound"
    callers = Callers(fleet, session, service, crashing)
    await callers.replace_crashed(sound)
    while len(callers.list_crashed()) < 2:
        await callers.ask(crashing)
        await callers.replace_crashed(sound)
    for number in range(4 * MAX_CRASHES):
        await fleet.add_target(
            f"{service}-more-{number}", service, crashed_by=frozenset({crashing})
        )
    await asyncio.sleep(REPLICATION_SECONDS)
    before = len(callers.list_crashed())
    for _ in range(3):
        asked = [callers.ask(crashing) for _ in range(4 * len(fleet.instances))]
        await asyncio.gather(*asked)
    # one more is decisive where no other request was on these targets
    assert len(callers.list_crashed()) - before <= MAX_CRASHES
