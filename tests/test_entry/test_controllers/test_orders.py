"""Tests of leases and orders with an in-memory store and simulated time."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from greengagelatch.peers import MemberState
from greengagelatch_entry.controllers.drain import DRAIN_STARTED
from greengagelatch_lab.standins.orders_fleet import GROUP, OrdersFleet
from greengagelatch_lab.waiting import wait_until

pytestmark = pytest.mark.looptime


async def wait_for(condition, seconds=200.0):
    """Wait for a condition in simulated time."""
    await wait_until(condition, timeout=seconds)


async def test_engines_reach_the_desired_state_in_turn():
    async with OrdersFleet(engines=3) as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-2") == ("draft-1",))
        desired = [(holder.fence, ("draft-1",))]
        for number in range(3):
            assert fleet.list_orders(f"engine-{number}") == desired
        await asyncio.sleep(100)
        assert len(fleet.list_orders()) == 1
        assert fleet.engines.reads > 3 * 20
        assert holder.orders.dump()["groups"][GROUP]["engines"]["engine-0"]["as_wanted"]


async def test_without_placement_the_store_is_not_called():
    async with OrdersFleet() as fleet:
        fleet.snapshot = fleet.create_snapshot()
        await fleet.add("a")
        await asyncio.sleep(100)
        assert fleet.store.calls == Counter()
        assert fleet.engines.reads == 0


async def test_new_holder_waits_for_orders_of_the_previous_one():
    """An engine without fencing would revert to the state of the previous holder.

    The holder crashes with an order in flight, which the engine executes after an
    order of the next holder, unless that one waits after it acquires the lease.
    """
    async with OrdersFleet() as fleet:
        fleet.engines.duration = 19.0
        first = await fleet.add("a")
        await wait_for(lambda: first.metrics.value("orders.sent") == 1)
        await first.crash()
        second = await fleet.add("b")
        second.snapshot = fleet.create_snapshot(models="draft-2")
        await wait_for(lambda: fleet.find_models() == ("draft-2",))
        acquired = second.leases.find(GROUP).acquired
        assert second.sent_at[0] >= acquired + 20
        assert [models for _, models in fleet.list_orders()] == [
            ("draft-1",),
            ("draft-2",),
        ]


async def test_engines_with_fencing_need_no_wait():
    async with OrdersFleet(checks=True) as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        assert holder.sent_at[0] < holder.leases.find(GROUP).acquired + 20


async def test_order_is_withheld_after_a_suspension():
    """An order would be sent under a lease that expired long ago.

    The instance is suspended while the connection is made, as in a live migration:
    its monotonic clock stops, and only the wall clock advances. A lease measured by
    the monotonic clock alone would seem valid.
    """
    async with OrdersFleet() as fleet:
        holder = await fleet.add("a")

        async def suspend(order):
            holder.clock.wall_offset += 60

        fleet.engines.before_send = suspend
        await wait_for(lambda: holder.metrics.value("orders.withheld") > 0)
        assert fleet.list_orders() == []
        fleet.engines.before_send = None
        await wait_for(lambda: fleet.find_models() == ("draft-1",))


async def test_no_order_is_sent_while_the_store_is_unreachable():
    """A holder would keep sending orders after its lease has expired.

    The store is unreachable for longer than the TTL of the lease, and the holder
    must not treat a missing answer as a renewal.
    """
    async with OrdersFleet() as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        fleet.store.faults.outage = True
        await asyncio.sleep(30)
        holder.snapshot = fleet.create_snapshot(models="draft-2")
        await asyncio.sleep(600)
        assert fleet.find_models() == ("draft-1",)
        group = holder.leases.dump()["groups"][GROUP]
        assert group["seconds_left"] == 0
        assert "unreachable" in group["last_error"]
        fleet.store.faults.outage = False
        await wait_for(lambda: fleet.find_models() == ("draft-2",))


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes", "lose_lease_answers"])
async def test_lost_store_answer_is_verified(fault):
    """Two instances would hold the same lease, or none would ever acquire it.

    The answer to the write that acquires the lease, or to the grant before it, is
    lost. The holder reads the outcome from the store instead of assuming one.
    """
    async with OrdersFleet() as fleet:
        setattr(fleet.store.faults, fault, 1)
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        entry = (await fleet.store.get(f"leases/{GROUP}")).unwrap()
        assert holder.fence == entry.revision


async def test_an_order_without_an_answer_is_read_back_and_not_repeated():
    """An engine loads the same weights twice, or an older order wins.

    The answer to an order is lost while the engine carries it out. The cause would
    be an order that is repeated before it is known to be over.
    """
    async with OrdersFleet() as fleet:
        fleet.engines.duration = 15.0
        fleet.engines.lose_answers = 1
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("orders.outcome.unknown") == 1)
        holder.snapshot = fleet.create_snapshot(models="draft-2")
        await wait_for(lambda: fleet.find_models() == ("draft-2",))
        assert [models for _, models in fleet.list_orders()] == [
            ("draft-1",),
            ("draft-2",),
        ]


async def test_refused_fencing_token_makes_the_holder_stop():
    """A previous holder would continue although an engine reports a newer one.

    The engine has received an order with a higher fencing token. The refusal must
    not be treated as a failure of that engine alone.
    """
    async with OrdersFleet(checks=True) as fleet:
        engine = fleet.engines.find_executor("engine-0")
        engine.duration = 0.0
        newer_token = 1000
        await engine.apply(newer_token, engine.state)
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("leases.given_up") == 1)
        refused_token = fleet.list_orders()[-1][0]
        await wait_for(lambda: holder.fence > refused_token)
        assert fleet.find_models() == ()


async def test_leaving_target_gets_no_order():
    """A leaving target would receive an order to load weights.

    It begins to leave while the connection for the order is made, after the check
    at planning time.
    """
    async with OrdersFleet(engines=2) as fleet:
        holder = await fleet.add("a")

        async def leave(order):
            fleet.directory.leaving.add("engine-0")

        fleet.engines.before_send = leave
        await wait_for(lambda: fleet.find_models("engine-1") == ("draft-1",))
        assert fleet.list_orders("engine-0") == []
        assert holder.metrics.value("orders.withheld") == 1


async def test_drain_releases_the_lease_after_the_order():
    """The holder after a stopped instance would start too early or too late.

    The instance is drained with an order in flight. Its lease must not be released
    before the order has ended, nor be left to expire.
    """
    async with OrdersFleet() as fleet:
        fleet.engines.duration = 4.0
        first = await fleet.add("a")
        await wait_for(lambda: first.metrics.value("orders.sent") == 1)
        models_at_revoke = []

        async def record_revoke(kind, key):
            if kind == "revoke":
                models_at_revoke.append(fleet.find_models())

        fleet.store.faults.before_call = record_revoke
        first.events.emit(DRAIN_STARTED)
        await wait_for(lambda: models_at_revoke)
        assert models_at_revoke == [("draft-1",)]
        await wait_for(lambda: not first.leases.dump()["groups"])


async def test_lease_is_held_until_the_order_in_flight_has_ended():
    """A lease is not released before its order has ended if the policy is deleted."""
    async with OrdersFleet() as fleet:
        fleet.engines.duration = 4.0
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("orders.sent") == 1)
        holder.snapshot = fleet.create_snapshot()
        await asyncio.sleep(3.0)
        assert holder.fence
        assert fleet.find_models() == ()
        await wait_for(lambda: not holder.fence)
        assert fleet.find_models() == ("draft-1",)


async def test_no_order_is_sent_on_an_unconfirmed_configuration():
    """Engines would revert to a model that an operator has replaced.

    The previous holder acted on a newer generation than the new one has. The new
    holder must confirm that its generation is the newest before it sends orders.
    """
    async with OrdersFleet() as fleet:
        holder = await fleet.add("a")
        holder.store_age = None
        await asyncio.sleep(100)
        assert holder.fence
        assert fleet.list_orders() == []
        holder.store_age = 0.0
        await wait_for(lambda: fleet.find_models() == ("draft-1",))


async def test_orders_respect_the_rate_of_the_weight_store():
    async with OrdersFleet(engines=6, models="a, b", adapters="c") as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-5"))
        started_at = holder.sent_at[0]
        # three loads per engine, one per second: the sixth engine waits for fifteen
        assert holder.sent_at[5] - started_at >= 14


async def test_unreachable_engine_does_not_delay_the_others():
    async with OrdersFleet(engines=2) as fleet:
        fleet.engines.unreachable.add("engine-0")
        await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-1") == ("draft-1",))
        fleet.engines.unreachable.clear()
        await wait_for(lambda: fleet.find_models("engine-0") == ("draft-1",))


async def test_few_instances_call_the_store_for_one_lease():
    async with OrdersFleet() as fleet:
        for number in range(8):
            fleet.states[f"i{number}"] = MemberState.ALIVE
        for number in range(8):
            await fleet.add(f"i{number}")
        await asyncio.sleep(60)
        fleet.store.calls.clear()
        await asyncio.sleep(300)
        # one renews and one standby checks, each every few seconds
        assert set(fleet.store.calls) <= {"keep", "get"}
        assert sum(fleet.store.calls.values()) <= 2 * 300 / (30 * 0.25)
        assert sum(instance.fence > 0 for instance in fleet.instances) == 1


async def test_remote_engines_are_placed_on_overflow():
    placement = {"models": "draft-1", "data_centres": "south"}
    async with OrdersFleet(**placement) as fleet:
        fleet.add_target("far-engine", "south")
        fleet.directory.loads["far-engine"] = 5
        await fleet.add("a")
        await asyncio.sleep(300)
        assert fleet.store.calls == Counter()
        fleet.directory.loads["far-engine"] = 15
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        assert fleet.list_orders("far-engine") == []
