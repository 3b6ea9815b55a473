"""Tests of greengagelatch_entry.relay.store_follower through outages of the store."""

from __future__ import annotations

from dataclasses import replace

from greengagelatch_entry.relay.composition import compose_relay
from greengagelatch_entry.relay.parts import RelayAdapters
from greengagelatch_lab.platform_standins.deployment import create_configuration
from greengagelatch_lab.platform_standins.store import StoreFault
from greengagelatch_lab.standins.tcp_proxy import TcpProxy
from greengagelatch_platform.store import PlatformStore

from .conftest import World


async def test_instance_without_a_configuration_responds_not_ready():
    """Guards against permanent errors while no configuration is loaded.

    An instance starts while the store is unreachable. The fault is to report routes and
    keys as non-existent instead of refusing with a retry.
    """
    world = World()
    await world.start(configured=False)
    try:
        reply = await world.ask("/look/1")
        assert reply.status == 503
        assert "Retry-After" in reply.headers
    finally:
        await world.stop()


async def test_instance_serves_during_a_store_outage(world):
    follower = world.find("store")
    world.store.fault = StoreFault.UNAVAILABLE
    await world.wait_for(lambda: not follower.reachable)
    assert (await world.ask("/look/1")).status == 200
    world.store.fault = StoreFault.NONE
    await world.wait_for(lambda: follower.reachable)


async def test_lost_watch_history_triggers_a_scan(world):
    """Guards against revoked keys that stay valid after a lost watch history.

    The store compacts its history during an outage. A watch from an older revision
    never returns the changes made meanwhile, so that a new scan is needed.
    """
    configuration = world.find("news")._configuration
    world.store.fault = StoreFault.UNAVAILABLE
    follower = world.find("store")
    await world.wait_for(lambda: not follower.reachable)
    world.store.put("op/config", create_configuration(12))
    world.store.remove("servers/desk-1")
    world.store.compact()
    world.store.fault = StoreFault.NONE
    await world.wait_for(lambda: configuration.deployment.version == 12)
    await world.wait_for(lambda: not world.accepts("desk-1"))


async def test_older_configuration_is_rejected(world):
    configuration = world.find("news")._configuration
    world.store.put("op/config", create_configuration(12))
    await world.wait_for(lambda: configuration.deployment.version == 12)
    assert not configuration.apply(b"{}", configuration.revision, "peer")
    assert not configuration.apply(b"{}", configuration.revision - 1, "peer")
    assert configuration.deployment.version == 12


async def test_invalid_route_does_not_affect_others(world):
    configuration = world.find("news")._configuration
    fields = create_configuration(12)
    fields["routes"].append({"name": "bad", "prefix": "no-slash"})
    world.store.put("op/config", fields)
    await world.wait_for(lambda: configuration.deployment.version == 12)
    assert (await world.ask("/look/1")).status == 200


async def test_invalid_entry_does_not_affect_others(world):
    world.store.put("servers/bad", {"service": 7})
    await world.add("desk-3", "desk")
    await world.wait_until_synced(3)
    assert (await world.ask("/look/1")).status == 200


async def test_invalid_configuration_keeps_the_active_one(world):
    configuration = world.find("news")._configuration
    follower = world.find("store")
    revision = world.store.put("op/config", {"routes": 7})
    await world.wait_for(lambda: (follower.dump()["revision"] or 0) >= revision)
    assert configuration.deployment.version == 3
    assert (await world.ask("/look/1")).status == 200


async def test_instance_registers_in_the_store(world):
    registry = world.find("registry")
    await world.wait_for(lambda: registry.dump()["registered"])
    prefix = "greengagelatch/instances/"
    assert list(world.store.find(prefix)) == [f"{prefix}entry-1"]


class ProxiedWorld(World):
    """An instance whose connections to the store may go silent."""

    async def start(self) -> None:
        await self.store.start()
        self.proxy = TcpProxy(self.store.address)
        await self.proxy.start()
        self.store.put("op/config", create_configuration())
        self.parts = compose_relay(self._create_rules(), self._create_adapters())
        await self.start_parts()

    async def stop(self) -> None:
        await super().stop()
        await self.proxy.stop()

    def _create_adapters(self) -> RelayAdapters:
        return replace(
            super()._create_adapters(),
            create_store=lambda metrics: PlatformStore(
                address=self.proxy.address, metrics=metrics
            ),
        )


async def test_changes_are_heard_although_open_connections_went_silent():
    """Guards against a configuration and targets that outlive a silent connection.

    No outage counts, as the store answers on new connections.
    """
    world = ProxiedWorld()
    await world.start()
    try:
        await world.add("desk-1", "desk")
        await world.add("desk-2", "desk")
        await world.wait_until_synced(2)
        world.proxy.blackhole(only_open=True)
        world.store.remove("servers/desk-1")
        world.store.put("op/config", create_configuration(12))
        configuration = world.find("news")._configuration
        await world.wait_for(lambda: configuration.deployment.version == 12)
        assert not world.accepts("desk-1")
        assert (await world.ask("/look/1")).status == 200
        assert world.count("store.silent_channels") == 1
        assert world.count("beliefs.store-lost") == 0
    finally:
        await world.stop()
