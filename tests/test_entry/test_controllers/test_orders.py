"""Tests of leases and orders over an in-process store, in injected time."""

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
    """Wait in loop time, which costs next to nothing."""
    await wait_until(condition, timeout=seconds)


async def test_engines_reach_the_wanted_state_in_turn():
    async with OrdersFleet(engines=3) as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-2") == ("draft-1",))
        wanted = [(holder.fence, ("draft-1",))]
        for number in range(3):
            assert fleet.list_orders(f"engine-{number}") == wanted
        await asyncio.sleep(100)
        assert len(fleet.list_orders()) == 1
        assert fleet.engines.reads > 3 * 20
        assert holder.orders.dump()["groups"][GROUP]["engines"]["engine-0"]["as_wanted"]


async def test_without_placement_the_store_is_not_called():
    async with OrdersFleet() as fleet:
        fleet.snapshot = fleet.place()
        await fleet.add("a")
        await asyncio.sleep(100)
        assert fleet.store.calls == Counter()
        assert fleet.engines.reads == 0


async def test_a_new_holder_waits_for_what_the_former_one_began():
    """An engine that ignores numbers goes back to a former holder's state.

    The holder dies with an order under way, which the engine carries out after the
    next holder's. The cause would be a holder that begins as soon as it has the lease.
    """
    async with OrdersFleet() as fleet:
        fleet.engines.duration = 19.0
        first = await fleet.add("a")
        await wait_for(lambda: first.metrics.value("orders.sent") == 1)
        await first.crash()
        second = await fleet.add("b")
        second.snapshot = fleet.place(models="draft-2")
        await wait_for(lambda: fleet.find_models() == ("draft-2",))
        acquired = second.leases.find(GROUP).acquired
        assert second.sent_at[0] >= acquired + 20
        assert [models for _, models in fleet.list_orders()] == [
            ("draft-1",),
            ("draft-2",),
        ]


async def test_engines_that_check_need_no_wait():
    async with OrdersFleet(checks=True) as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        assert holder.sent_at[0] < holder.leases.find(GROUP).acquired + 20


async def test_an_order_is_withheld_after_a_halt():
    """An order is sent under a lease that is long over.

    The whole instance is halted while the connection is made, as when the platform
    moves it: its monotonic clock stands still, and only the wall clock shows it. The
    cause would be a lease that is counted by one clock alone.
    """
    async with OrdersFleet() as fleet:
        holder = await fleet.add("a")

        async def halt(order):
            holder.clock.lead += 60

        fleet.engines.before_send = halt
        await wait_for(lambda: holder.metrics.value("orders.withheld") > 0)
        assert fleet.list_orders() == []
        fleet.engines.before_send = None
        await wait_for(lambda: fleet.find_models() == ("draft-1",))


async def test_no_order_is_given_while_the_store_is_out_of_reach():
    """A holder goes on ordering while another data centre's view has moved on.

    The store is down or cut off for longer than the lease lasts. The cause would be
    a holder that takes silence for consent.
    """
    async with OrdersFleet() as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models() == ("draft-1",))
        fleet.store.faults.outage = True
        await asyncio.sleep(30)
        holder.snapshot = fleet.place(models="draft-2")
        await asyncio.sleep(600)
        assert fleet.find_models() == ("draft-1",)
        group = holder.leases.dump()["groups"][GROUP]
        assert group["seconds_left"] == 0
        assert "unreachable" in group["last_error"]
        fleet.store.faults.outage = False
        await wait_for(lambda: fleet.find_models() == ("draft-2",))


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes", "lose_lease_answers"])
async def test_a_lost_answer_of_the_store_is_settled(fault):
    """Two instances hold one lease, or none ever does.

    The answer to the write that takes the lease, or to the grant before, is lost.
    The cause would be an outcome that is guessed instead of read.
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
        holder.snapshot = fleet.place(models="draft-2")
        await wait_for(lambda: fleet.find_models() == ("draft-2",))
        assert [models for _, models in fleet.list_orders()] == [
            ("draft-1",),
            ("draft-2",),
        ]


async def test_a_refused_number_makes_the_holder_stop():
    """A former holder goes on although an engine tells it of a newer one.

    The engine has had an order with a higher number. The cause would be a refusal
    that is taken for a failure of that engine alone.
    """
    async with OrdersFleet(checks=True) as fleet:
        book = fleet.engines.find("engine-0")
        book.duration = 0.0
        newer = 1000
        await book.carry_out(newer, book.state)
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("leases.given_up") == 1)
        refused = fleet.list_orders()[-1][0]
        await wait_for(lambda: holder.fence > refused)
        assert fleet.find_models() == ()


async def test_a_leaving_target_gets_no_order():
    """A target that is leaving is told to load weights.

    It begins to leave while the connection for the order is made. The cause would be
    a check when the order is planned only.
    """
    async with OrdersFleet(engines=2) as fleet:
        holder = await fleet.add("a")

        async def leave(order):
            fleet.directory.leaving.add("engine-0")

        fleet.engines.before_send = leave
        await wait_for(lambda: fleet.find_models("engine-1") == ("draft-1",))
        assert fleet.list_orders("engine-0") == []
        assert holder.metrics.value("orders.withheld") == 1


async def test_a_stop_gives_the_lease_up_once_the_order_has_ended():
    """The next holder of a stopped instance's lease begins too early, or too late.

    The instance is drained with an order under way. The causes would be a lease that
    is given up before the order has ended, or kept until it lapses.
    """
    async with OrdersFleet() as fleet:
        fleet.engines.duration = 4.0
        first = await fleet.add("a")
        await wait_for(lambda: first.metrics.value("orders.sent") == 1)
        carried_out = []

        async def note_revoke(kind, key):
            if kind == "revoke":
                carried_out.append(fleet.find_models())

        fleet.store.faults.before_call = note_revoke
        first.events.emit(DRAIN_STARTED)
        await wait_for(lambda: carried_out)
        assert carried_out == [("draft-1",)]
        await wait_for(lambda: not first.leases.dump()["groups"])


async def test_a_lease_is_kept_until_the_order_under_way_has_ended():
    """As above, but the policy is deleted instead."""
    async with OrdersFleet() as fleet:
        fleet.engines.duration = 4.0
        holder = await fleet.add("a")
        await wait_for(lambda: holder.metrics.value("orders.sent") == 1)
        holder.snapshot = fleet.place()
        await asyncio.sleep(3.0)
        assert holder.fence
        assert fleet.find_models() == ()
        await wait_for(lambda: not holder.fence)
        assert fleet.find_models() == ("draft-1",)


async def test_no_order_is_given_on_a_configuration_that_may_be_old():
    """Engines go back to a model that an operator has replaced.

    The former holder acted on a newer generation than the new one knows as yet. The
    cause would be a holder that does not make sure it knows the newest.
    """
    async with OrdersFleet() as fleet:
        holder = await fleet.add("a")
        holder.store_age = None
        await asyncio.sleep(100)
        assert holder.fence
        assert fleet.list_orders() == []
        holder.store_age = 0.0
        await wait_for(lambda: fleet.find_models() == ("draft-1",))


async def test_orders_keep_to_the_rate_of_the_weight_store():
    async with OrdersFleet(engines=6, models="a, b", adapters="c") as fleet:
        holder = await fleet.add("a")
        await wait_for(lambda: fleet.find_models("engine-5"))
        begun = holder.sent_at[0]
        # three loads each, one a second: the sixth has to wait for fifteen others
        assert holder.sent_at[5] - begun >= 14


async def test_an_engine_out_of_reach_does_not_hold_up_the_others():
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
        # one renews and one looks, each every few seconds
        assert set(fleet.store.calls) <= {"keep", "get"}
        assert sum(fleet.store.calls.values()) <= 2 * 300 / (30 * 0.25)
        assert sum(instance.fence > 0 for instance in fleet.instances) == 1


async def test_engines_elsewhere_follow_when_work_overflows():
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
