"""A lease holder that is halted while it sends an order, with real processes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from greengagelatch_lab.fleets.daemon import Daemon
from greengagelatch_lab.fleets.instance_list import (
    InstanceListClient,
    create_list_entry,
)
from greengagelatch_lab.halting import HALTED
from greengagelatch_lab.processes import ProcessGroup

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]

SETTINGS = {
    "drain.balancer_lag": "0",
    "platform.instances_interval": "0.2",
    "configuration.gossip_interval": "0.2",
    "leases.ttl": "3",
    "leases.margin": "0.2",
    "orders.timeout": "0.5",
    "orders.longest": "0.5",
    "orders.interval": "0.2",
    "orders.loads_per_minute": "600",
}

OBJECTS = """
[service:writer]
kind = generate
labels = fencing={fencing}

[policy:place]
effect = placement
models = {model}
"""


class World:
    """A platform, an engine, and daemons that are started individually."""

    def __init__(self, group, registry, session, engine, fencing) -> None:
        self.engine = engine
        self.fencing = fencing
        self._group = group
        self._registry = registry
        self._session = session

    async def start_daemon(self, name, command=()):
        daemon = Daemon(
            name,
            "centre",
            directory=self._group.directory,
            platform=self._registry.address,
            settings=SETTINGS,
            command=command,
        )
        self._group.processes.append(daemon.process)
        await daemon.start()
        await self._registry.put([daemon.create_list_entry()])
        return daemon

    async def place(self, daemon, model):
        """Apply a placement of ``model`` through one daemon."""
        body = {
            "change_id": model,
            "mode": "apply",
            "text": OBJECTS.format(fencing=self.fencing, model=model),
            "file": "objects.ini",
        }
        url = f"http://{daemon.entry.operator_address}/changes"
        async with self._session.post(url, json=body) as response:
            assert response.status == 200, await response.text()

    async def read(self, address, path):
        async with self._session.get(f"http://{address}{path}") as response:
            return await response.json()

    async def count(self, daemon, name):
        dump = await self.read(daemon.entry.operator_address, "/dump")
        return dump["metrics"]["counters"].get(name, 0)

    async def read_models(self):
        return (await self.read(self.engine, "/orders"))["state"]["models"]

    async def list_orders(self):
        return (await self.read(self.engine, "/record/orders"))["orders"]


@asynccontextmanager
async def run_world(directory, fencing):
    timeout = aiohttp.ClientTimeout(total=5)
    async with (
        ProcessGroup(directory) as group,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        standins = "greengagelatch_lab.standins"
        platform = await group.run_module("platform", f"{standins}.platform")
        engine = await group.run_module(
            "engine",
            f"{standins}.engine",
            "--service=writer",
            "--target-id=engine",
            "--data-centre=centre",
            f"--fencing={fencing}",
            "--order-ms=20",
        )
        async with InstanceListClient(platform.ready) as registry:
            target = create_list_entry(
                "engine", "target", "centre", engine.ready, service="writer"
            )
            await registry.put([target])
            yield World(group, registry, session, engine.ready, fencing)


async def wait_for(check, timeout=30.0):
    """Wait until the awaited result of ``check`` is true."""
    async with asyncio.timeout(timeout):
        # polled, as the change comes from other processes without a notification
        while not await check():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def replace_halted(world, moment):
    """Halt a holder at its first order and wait for the order of another instance."""
    command = ("greengagelatch_lab.halting", f"--halt={moment}")
    halted = await world.start_daemon("halted", command)
    await world.place(halted, "draft-1")

    async def has_halted():
        return HALTED in halted.process.stdout.read_text()

    await wait_for(has_halted)
    other = await world.start_daemon("other")
    await world.place(other, "draft-2")

    async def has_ordered():
        return await world.read_models() == ["draft-2"]

    await wait_for(has_ordered)
    return halted, other


async def test_an_order_is_withheld_once_the_lease_has_lapsed(tmp_path):
    """Guards against an engine that reverts to a model that was replaced.

    A holder is halted immediately before its order is sent. Its lease expires, another
    instance orders a newer model, and the first one resumes. It must not send the
    order because of a check that it made before the halt.
    """
    async with run_world(tmp_path, "ignored") as world:
        halted, _ = await replace_halted(world, "before")
        halted.process.resume()

        async def has_withheld():
            return await world.count(halted, "orders.withheld") == 1

        await wait_for(has_withheld)
        orders = await world.list_orders()
        assert {tuple(order["wanted"]["models"]) for order in orders} == {("draft-2",)}
        assert await world.read_models() == ["draft-2"]
        assert await world.count(halted, "orders.sent") == 0


async def test_an_order_that_gets_out_is_refused_by_an_engine_that_checks(tmp_path):
    """As above, but halted after the check, when only the engine can refuse."""
    async with run_world(tmp_path, "checked") as world:
        halted, other = await replace_halted(world, "after")
        halted.process.resume()

        async def has_ended():
            return await world.count(halted, "leases.ended") == 1

        await wait_for(has_ended)
        assert await world.count(halted, "orders.sent") == 1
        orders = await world.list_orders()
        accepted = [order for order in orders if order["accepted"]]
        assert [order["wanted"]["models"] for order in accepted] == [["draft-2"]]
        assert await world.read_models() == ["draft-2"]
        assert await world.count(other, "orders.outcome.old-fence") == 0
