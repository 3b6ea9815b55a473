"""Steps and invariants of the model of orders to one engine."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

from result import Err

from greengagelatch.leases.contention import LeaseIntent
from greengagelatch.leases.instants import Instant
from greengagelatch.leases.rules import LeaseRules
from greengagelatch.leases.state import LeaseState, LeaseStep
from greengagelatch.orders import EngineReport, EngineState, Order, permission
from greengagelatch.orders.engine import EngineAction, EngineRecord
from greengagelatch.orders.rules import Fencing, OrderRules
from greengagelatch.store import (
    ABSENT,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

from ..explore import Model
from .store import TTL, apply_call, drop_unbound
from .world import (
    Call,
    Contender,
    Delivery,
    Engine,
    FaultBudget,
    OrdersState,
    put_contender,
    spend,
)

__all__ = ("OrdersModel",)

#: ticks within which the engine executes an order that it has received
DURATION = 1
#: ticks between reads of the engine; five times as frequent for an unsettled order
READ_INTERVAL = 5.0

#: the margin covers a clock that runs at three quarters of the correct speed
LEASE_RULES = LeaseRules(ttl=TTL, margin=1.0)

#: lease calls whose number is bounded, with the field of the budget
BUDGETED = {LeaseStep.GRANT: "grants", LeaseStep.RENEW: "renewals"}

LOST = Err(StoreError(StoreErrorKind.TIMEOUT, ""))
UNKNOWN = WriteResult(WriteOutcome.UNKNOWN)


class OrdersModel(Model[OrdersState]):
    """Two contenders for one lease, and the engine to which its holder sends orders.

    :param speeds: rate of each contender's clock; 1 is correct
    :param fencing: whether the instances assume that the engine checks fencing tokens
    :param checks: whether the engine does check them; by default as assumed
    :param delivery: ticks within which an order reaches the engine, unless it is lost
    :param holding: whether the first contender initially holds the lease; otherwise
        both are about to acquire it
    :param slow_calls: whether time may advance during a call to the store
    :param orders: whether orders are sent; leases alone can be explored further
    """

    def __init__(
        self,
        *,
        speeds: tuple[float, float],
        fencing: Fencing,
        budget: FaultBudget,
        checks: bool | None = None,
        delivery: int = 1,
        holding: bool = True,
        slow_calls: bool = True,
        orders: bool = True,
    ) -> None:
        self._speeds = speeds
        self._fencing = fencing
        self._checks = fencing is Fencing.CHECKED if checks is None else checks
        self._budget = budget
        self._delivery = delivery
        self._rules = OrderRules(
            timeout=delivery,
            max_execution=DURATION,
            interval=READ_INTERVAL,
            margin=LEASE_RULES.margin,
        )
        self._holding = holding
        self._slow_calls = slow_calls
        self._orders = orders

    def start(self) -> Iterable[OrdersState]:
        contenders = []
        for number in range(len(self._speeds)):
            contenders.append(
                Contender(LeaseState(instance_id=str(number), rules=LEASE_RULES))
            )
        world = OrdersState(self._budget, tuple(contenders))
        if self._holding:
            for _ in range(3):
                world = self._begin(world, 0, LeaseIntent.HOLD)
                world = self._handle(world, 0)
                world = self._answer(world, 0, world.contenders[0].call.answer)
            # held for long, so that orders of an earlier holder cannot interfere
            holder = world.contenders[0]
            tenure = dataclasses.replace(holder.tenure, acquired=-100.0)
            world = put_contender(world, 0, dataclasses.replace(holder, tenure=tenure))
        yield world

    def list_steps(self, state: OrdersState) -> Iterator[tuple[str, OrdersState]]:
        if state.fault:
            return
        for number, contender in enumerate(state.contenders):
            if not contender.alive:
                continue
            yield from self._step_lease(state, number)
            if self._orders:
                yield from self._step_orders(state, number)
            if state.budget.crashes:
                dead = dataclasses.replace(contender, alive=False, call=None)
                spent = spend(state, "crashes")
                yield f"{number} crashes", put_contender(spent, number, dead)
        yield from self._step_engine(state)
        for call in state.late:
            rest = tuple(one for one in state.late if one is not call)
            store, _ = apply_call(state.store, call, state.time)
            yield f"delayed {call.step.value}", state.change(store=store, late=rest)
        if self._may_tick(state):
            yield "tick", self._tick(state)

    def find_violation(self, state: OrdersState) -> str:
        if state.fault:
            return state.fault
        believers = 0
        for number, contender in enumerate(state.contenders):
            now = self._read_clock(state, number)
            believers += contender.alive and contender.tenure.compute_remaining(now) > 0
        if believers > 1:
            return "two contenders believe that they hold the lease"
        return ""

    # time

    def _read_clock(self, state: OrdersState, number: int) -> Instant:
        own = state.time * self._speeds[number]
        return Instant(own, own)

    def _may_tick(self, state: OrdersState) -> bool:
        """Whether time may advance: not past the end of a pending delivery."""
        if state.time >= state.budget.ticks:
            return False
        engine = state.engine
        under_way = (*engine.on_wire, *engine.running)
        return all(state.time < delivery.until for delivery in under_way)

    def _tick(self, state: OrdersState) -> OrdersState:
        time = state.time + 1
        store = state.store
        leases = tuple(item for item in store.leases if item[1] > time)
        store = dataclasses.replace(store, leases=leases)
        return state.change(time=time, store=drop_unbound(store))

    # the lease

    def _step_lease(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        call = contender.call
        if call is None:
            yield from self._begin_call(state, number)
            return
        name = f"{number}'s {call.step.value}"
        if not self._slow_calls:
            handled = self._handle(state, number)
            answer = handled.contenders[number].call.answer
            yield f"{name} is answered", self._answer(handled, number, answer)
            return
        if call.answer is None:
            yield f"{name} is handled", self._handle(state, number)
        else:
            yield f"{name} is answered", self._answer(state, number, call.answer)
        if state.budget.lost_calls:
            lost = spend(state, "lost_calls")
            if call.answer is None:
                lost = lost.change(late=(*lost.late, call))
            answer = UNKNOWN if call.step is LeaseStep.ACQUIRE else LOST
            yield f"{name} gets no answer", self._answer(lost, number, answer)

    def _begin_call(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        begun = self._begin(state, number, LeaseIntent.HOLD)
        step = begun.contenders[number].tenure.step
        if step is LeaseStep.CHECK and state.store.revision != ABSENT:
            # the check would find a holder and only be repeated later
            return
        name = BUDGETED.get(step)
        if name is not None:
            if getattr(state.budget, name):
                yield f"{number} begins {step.value}", spend(begun, name)
        elif step is not LeaseStep.IDLE:
            yield f"{number} begins {step.value}", begun
        busy = contender.awaited or contender.planned or contender.record.unsettled
        if state.budget.releases and contender.tenure.held and not busy:
            spent = spend(state, "releases")
            yield (
                f"{number} releases the lease",
                self._begin(spent, number, LeaseIntent.RELEASE),
            )

    def _begin(self, state: OrdersState, number: int, wish: LeaseIntent) -> OrdersState:
        contender = state.contenders[number]
        now = self._read_clock(state, number)
        tenure = contender.tenure.plan(now, wish)
        call = None
        if tenure.step is not LeaseStep.IDLE:
            tenure = tenure.begin(now)
            call = Call(tenure.step, tenure.lease_id, tenure.value)
        return self._change_tenure(state, number, tenure, call)

    def _handle(self, state: OrdersState, number: int) -> OrdersState:
        contender = state.contenders[number]
        store, answer = apply_call(state.store, contender.call, state.time)
        call = dataclasses.replace(contender.call, answer=answer)
        contender = dataclasses.replace(contender, call=call)
        return put_contender(state.change(store=store), number, contender)

    def _answer(self, state: OrdersState, number: int, answer: Any) -> OrdersState:
        tenure = state.contenders[number].tenure
        now = self._read_clock(state, number)
        match tenure.step:
            case LeaseStep.CHECK:
                after = tenure.handle_check(answer, now, LeaseIntent.HOLD)
            case LeaseStep.GRANT:
                after = tenure.handle_grant(answer, now)
            case LeaseStep.ACQUIRE:
                after = tenure.handle_acquire(answer, now)
            case LeaseStep.VERIFY:
                after = tenure.handle_verify(answer, now)
            case LeaseStep.RENEW:
                after = tenure.handle_renew(answer, now)
            case _:
                after = tenure.handle_revoke(now)
        if after.held and not tenure.held:
            if after.fence <= state.fence:
                state = state.change(fault="a fencing token did not increase")
            state = state.change(fence=max(state.fence, after.fence))
        return self._change_tenure(state, number, after, None)

    def _change_tenure(
        self, state: OrdersState, number: int, tenure: LeaseState, call: Call | None
    ) -> OrdersState:
        contender = state.contenders[number]
        record = contender.record
        if not tenure.held:
            record = EngineRecord()
        contender = dataclasses.replace(
            contender, tenure=tenure, call=call, record=record
        )
        return put_contender(state, number, contender)

    # orders

    def _step_orders(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        if contender.awaited is not None:
            yield from self._stop_waiting(state, number)
            return
        if contender.planned is not None:
            yield from self._send(state, number)
            return
        tenure = contender.tenure
        if not tenure.held:
            return
        now = self._read_clock(state, number)
        wanted = EngineState(models=(str(number),))
        may_order = permission.may_order(
            tenure, now, rules=self._rules, fencing=self._fencing
        )
        action = contender.record.plan(now.monotonic, wanted, may_order=may_order)
        if action is EngineAction.READ:
            report = EngineReport(state.engine.state, state.engine.fence)
            record = contender.record.record_report(now.monotonic, report, self._rules)
            read = dataclasses.replace(contender, record=record)
            yield f"{number} reads the engine", put_contender(state, number, read)
        if action is EngineAction.ORDER:
            planned = dataclasses.replace(
                contender, planned=Order(tenure.fence, wanted)
            )
            yield f"{number} plans an order", put_contender(state, number, planned)

    def _send(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        order = contender.planned
        now = self._read_clock(state, number)
        allowed = permission.may_send(
            contender.tenure, order, now, rules=self._rules, fencing=self._fencing
        )
        if not allowed:
            idle = dataclasses.replace(contender, planned=None)
            yield f"{number} withholds its order", put_contender(state, number, idle)
            return
        engine = state.engine
        under_way = (*engine.on_wire, *engine.running)
        if any(delivery.order == order for delivery in under_way):
            state = state.change(fault="an order was sent again while it was in flight")
        delivery = Delivery(order, number, state.time + self._delivery)
        engine = dataclasses.replace(engine, on_wire=(*engine.on_wire, delivery))
        sent = dataclasses.replace(
            contender,
            planned=None,
            awaited=order,
            record=contender.record.record_sending(now.monotonic, order),
        )
        state = put_contender(state.change(engine=engine), number, sent)
        yield f"{number} sends its order", state

    def _stop_waiting(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        now = self._read_clock(state, number).monotonic
        if now - contender.record.sent < self._rules.timeout:
            return
        record = contender.record.record_lost_answer(now)
        given_up = dataclasses.replace(contender, awaited=None, record=record)
        yield f"{number} times out", put_contender(state, number, given_up)

    # the engine

    def _step_engine(self, state: OrdersState) -> Iterator[tuple[str, OrdersState]]:
        engine = state.engine
        for delivery in engine.on_wire:
            rest = tuple(one for one in engine.on_wire if one is not delivery)
            moved = dataclasses.replace(engine, on_wire=rest)
            name = f"{delivery.sender}'s order"
            yield f"{name} arrives", self._arrive(state, moved, delivery)
            if state.budget.lost_orders:
                lost = spend(state, "lost_orders")
                yield f"{name} is lost", lost.change(engine=moved)
        for delivery in engine.running:
            rest = tuple(one for one in engine.running if one is not delivery)
            moved = dataclasses.replace(engine, running=rest)
            name = f"{delivery.sender}'s order"
            done = self._carry_out(state, moved, delivery)
            yield f"{name} is executed", self._tell(done, delivery, old=False)
            if state.budget.lost_orders:
                lost = spend(done, "lost_orders")
                yield f"{name} is executed, the answer is lost", lost

    def _arrive(
        self, state: OrdersState, engine: Engine, delivery: Delivery
    ) -> OrdersState:
        order = delivery.order
        if self._checks and order.fence < engine.highest:
            return self._tell(state.change(engine=engine), delivery, old=True)
        running = dataclasses.replace(delivery, until=state.time + DURATION)
        engine = dataclasses.replace(
            engine,
            highest=max(engine.highest, order.fence),
            running=(*engine.running, running),
        )
        return state.change(engine=engine)

    def _carry_out(
        self, state: OrdersState, engine: Engine, delivery: Delivery
    ) -> OrdersState:
        order = delivery.order
        if self._checks and order.fence < engine.highest:
            return state.change(engine=engine)
        if order.fence < engine.fence:
            state = state.change(
                fault="an order of a former holder was executed after a newer one"
            )
        engine = dataclasses.replace(engine, state=order.desired, fence=order.fence)
        return state.change(engine=engine)

    def _tell(
        self, state: OrdersState, delivery: Delivery, *, old: bool
    ) -> OrdersState:
        number = delivery.sender
        contender = state.contenders[number]
        if not contender.alive or contender.awaited != delivery.order:
            return state
        now = self._read_clock(state, number).monotonic
        record = contender.record.record_answer(now)
        contender = dataclasses.replace(contender, awaited=None, record=record)
        if old:
            tenure = contender.tenure.leave()
            contender = dataclasses.replace(contender, tenure=tenure, call=None)
        return put_contender(state, number, contender)
