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
from .states import (
    Call,
    Contender,
    Delivery,
    Engine,
    FaultBudget,
    OrdersState,
    replace_contender,
    spend_budget,
)
from .store import TTL, apply_call, delete_unbound

__all__ = ("OrdersModel",)

#: ticks within which the engine executes an order that it has received
EXECUTION_TICKS = 1
#: ticks between reads of the engine; five times as frequent for an unsettled order
READ_INTERVAL = 5.0

#: the margin covers a clock that runs at three quarters of the correct speed
LEASE_RULES = LeaseRules(ttl=TTL, margin=1.0)

#: lease calls whose number is bounded, with the field of the budget
BUDGETED_STEPS = {LeaseStep.GRANT: "grants", LeaseStep.RENEW: "renewals"}

TIMED_OUT = Err(StoreError(StoreErrorKind.TIMEOUT, ""))
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
            max_execution=EXECUTION_TICKS,
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
        state = OrdersState(self._budget, tuple(contenders))
        if self._holding:
            for _ in range(3):
                state = self._begin(state, 0, LeaseIntent.HOLD)
                state = self._apply_call(state, 0)
                state = self._handle_answer(state, 0, state.contenders[0].call.answer)
            # held for long, so that orders of an earlier holder cannot interfere
            holder = state.contenders[0]
            lease_state = dataclasses.replace(holder.lease_state, acquired=-100.0)
            state = replace_contender(
                state, 0, dataclasses.replace(holder, lease_state=lease_state)
            )
        yield state

    def list_steps(self, state: OrdersState) -> Iterator[tuple[str, OrdersState]]:
        if state.violation:
            return
        for number, contender in enumerate(state.contenders):
            if not contender.alive:
                continue
            yield from self._step_lease(state, number)
            if self._orders:
                yield from self._step_orders(state, number)
            if state.budget.crashes:
                dead = dataclasses.replace(contender, alive=False, call=None)
                spent = spend_budget(state, "crashes")
                yield f"{number} crashes", replace_contender(spent, number, dead)
        yield from self._step_engine(state)
        for call in state.delayed_calls:
            remaining = tuple(one for one in state.delayed_calls if one is not call)
            store, _ = apply_call(state.store, call, state.time)
            yield (
                f"delayed {call.step.value}",
                state.change(store=store, delayed_calls=remaining),
            )
        if self._may_tick(state):
            yield "tick", self._tick(state)

    def find_violation(self, state: OrdersState) -> str:
        if state.violation:
            return state.violation
        holders = 0
        for number, contender in enumerate(state.contenders):
            now = self._read_clock(state, number)
            holders += (
                contender.alive and contender.lease_state.compute_remaining(now) > 0
            )
        if holders > 1:
            return "two contenders believe that they hold the lease"
        return ""

    # time

    def _read_clock(self, state: OrdersState, number: int) -> Instant:
        local_time = state.time * self._speeds[number]
        return Instant(local_time, local_time)

    def _may_tick(self, state: OrdersState) -> bool:
        """Whether time may advance: not past the end of a pending delivery."""
        if state.time >= state.budget.ticks:
            return False
        engine = state.engine
        in_flight = (*engine.in_transit, *engine.running)
        return all(state.time < delivery.until for delivery in in_flight)

    def _tick(self, state: OrdersState) -> OrdersState:
        time = state.time + 1
        store = state.store
        leases = tuple(item for item in store.leases if item[1] > time)
        store = dataclasses.replace(store, leases=leases)
        return state.change(time=time, store=delete_unbound(store))

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
            handled = self._apply_call(state, number)
            answer = handled.contenders[number].call.answer
            yield f"{name} is answered", self._handle_answer(handled, number, answer)
            return
        if call.answer is None:
            yield f"{name} is handled", self._apply_call(state, number)
        else:
            yield f"{name} is answered", self._handle_answer(state, number, call.answer)
        if state.budget.lost_calls:
            lost = spend_budget(state, "lost_calls")
            if call.answer is None:
                lost = lost.change(delayed_calls=(*lost.delayed_calls, call))
            answer = UNKNOWN if call.step is LeaseStep.ACQUIRE else TIMED_OUT
            yield f"{name} gets no answer", self._handle_answer(lost, number, answer)

    def _begin_call(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        begun = self._begin(state, number, LeaseIntent.HOLD)
        step = begun.contenders[number].lease_state.step
        if step is LeaseStep.CHECK and state.store.revision != ABSENT:
            # the check would find a holder and only be repeated later
            return
        name = BUDGETED_STEPS.get(step)
        if name is not None:
            if getattr(state.budget, name):
                yield f"{number} begins {step.value}", spend_budget(begun, name)
        elif step is not LeaseStep.IDLE:
            yield f"{number} begins {step.value}", begun
        busy = contender.awaited or contender.planned or contender.record.unsettled
        if state.budget.releases and contender.lease_state.held and not busy:
            spent = spend_budget(state, "releases")
            yield (
                f"{number} releases the lease",
                self._begin(spent, number, LeaseIntent.RELEASE),
            )

    def _begin(
        self, state: OrdersState, number: int, intent: LeaseIntent
    ) -> OrdersState:
        contender = state.contenders[number]
        now = self._read_clock(state, number)
        lease_state = contender.lease_state.plan(now, intent)
        call = None
        if lease_state.step is not LeaseStep.IDLE:
            lease_state = lease_state.begin(now)
            call = Call(lease_state.step, lease_state.lease_id, lease_state.value)
        return self._replace_lease_state(state, number, lease_state, call)

    def _apply_call(self, state: OrdersState, number: int) -> OrdersState:
        contender = state.contenders[number]
        store, answer = apply_call(state.store, contender.call, state.time)
        call = dataclasses.replace(contender.call, answer=answer)
        contender = dataclasses.replace(contender, call=call)
        return replace_contender(state.change(store=store), number, contender)

    def _handle_answer(
        self, state: OrdersState, number: int, answer: Any
    ) -> OrdersState:
        lease_state = state.contenders[number].lease_state
        now = self._read_clock(state, number)
        match lease_state.step:
            case LeaseStep.CHECK:
                after = lease_state.handle_check(answer, now, LeaseIntent.HOLD)
            case LeaseStep.GRANT:
                after = lease_state.handle_grant(answer, now)
            case LeaseStep.ACQUIRE:
                after = lease_state.handle_acquire(answer, now)
            case LeaseStep.VERIFY:
                after = lease_state.handle_verify(answer, now)
            case LeaseStep.RENEW:
                after = lease_state.handle_renew(answer, now)
            case _:
                after = lease_state.handle_revoke(now)
        if after.held and not lease_state.held:
            if after.fence <= state.fence:
                state = state.change(violation="a fencing token did not increase")
            state = state.change(fence=max(state.fence, after.fence))
        return self._replace_lease_state(state, number, after, None)

    def _replace_lease_state(
        self,
        state: OrdersState,
        number: int,
        lease_state: LeaseState,
        call: Call | None,
    ) -> OrdersState:
        contender = state.contenders[number]
        record = contender.record
        if not lease_state.held:
            record = EngineRecord()
        contender = dataclasses.replace(
            contender, lease_state=lease_state, call=call, record=record
        )
        return replace_contender(state, number, contender)

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
        lease_state = contender.lease_state
        if not lease_state.held:
            return
        now = self._read_clock(state, number)
        desired = EngineState(models=(str(number),))
        may_order = permission.may_order(
            lease_state, now, rules=self._rules, fencing=self._fencing
        )
        action = contender.record.plan(now.monotonic, desired, may_order=may_order)
        if action is EngineAction.READ:
            report = EngineReport(state.engine.state, state.engine.fence)
            record = contender.record.record_report(now.monotonic, report, self._rules)
            read = dataclasses.replace(contender, record=record)
            yield f"{number} reads the engine", replace_contender(state, number, read)
        if action is EngineAction.ORDER:
            planned = dataclasses.replace(
                contender, planned=Order(lease_state.fence, desired)
            )
            yield f"{number} plans an order", replace_contender(state, number, planned)

    def _send(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        order = contender.planned
        now = self._read_clock(state, number)
        allowed = permission.may_send(
            contender.lease_state, order, now, rules=self._rules, fencing=self._fencing
        )
        if not allowed:
            idle = dataclasses.replace(contender, planned=None)
            yield (
                f"{number} withholds its order",
                replace_contender(state, number, idle),
            )
            return
        engine = state.engine
        in_flight = (*engine.in_transit, *engine.running)
        if any(delivery.order == order for delivery in in_flight):
            state = state.change(
                violation="an order was sent again while it was in flight"
            )
        delivery = Delivery(order, number, state.time + self._delivery)
        engine = dataclasses.replace(engine, in_transit=(*engine.in_transit, delivery))
        sent = dataclasses.replace(
            contender,
            planned=None,
            awaited=order,
            record=contender.record.record_sending(now.monotonic, order),
        )
        state = replace_contender(state.change(engine=engine), number, sent)
        yield f"{number} sends its order", state

    def _stop_waiting(
        self, state: OrdersState, number: int
    ) -> Iterator[tuple[str, OrdersState]]:
        contender = state.contenders[number]
        now = self._read_clock(state, number).monotonic
        if now - contender.record.sent < self._rules.timeout:
            return
        record = contender.record.record_lost_answer(now)
        timed_out = dataclasses.replace(contender, awaited=None, record=record)
        yield f"{number} times out", replace_contender(state, number, timed_out)

    # the engine

    def _step_engine(self, state: OrdersState) -> Iterator[tuple[str, OrdersState]]:
        engine = state.engine
        for delivery in engine.in_transit:
            remaining = tuple(one for one in engine.in_transit if one is not delivery)
            moved = dataclasses.replace(engine, in_transit=remaining)
            name = f"{delivery.sender}'s order"
            yield f"{name} arrives", self._receive(state, moved, delivery)
            if state.budget.lost_orders:
                lost = spend_budget(state, "lost_orders")
                yield f"{name} is lost", lost.change(engine=moved)
        for delivery in engine.running:
            remaining = tuple(one for one in engine.running if one is not delivery)
            moved = dataclasses.replace(engine, running=remaining)
            name = f"{delivery.sender}'s order"
            done = self._execute(state, moved, delivery)
            yield (
                f"{name} is executed",
                self._answer_sender(done, delivery, is_stale=False),
            )
            if state.budget.lost_orders:
                lost = spend_budget(done, "lost_orders")
                yield f"{name} is executed, the answer is lost", lost

    def _receive(
        self, state: OrdersState, engine: Engine, delivery: Delivery
    ) -> OrdersState:
        order = delivery.order
        if self._checks and order.fence < engine.highest_fence:
            return self._answer_sender(
                state.change(engine=engine), delivery, is_stale=True
            )
        running = dataclasses.replace(delivery, until=state.time + EXECUTION_TICKS)
        engine = dataclasses.replace(
            engine,
            highest_fence=max(engine.highest_fence, order.fence),
            running=(*engine.running, running),
        )
        return state.change(engine=engine)

    def _execute(
        self, state: OrdersState, engine: Engine, delivery: Delivery
    ) -> OrdersState:
        order = delivery.order
        if self._checks and order.fence < engine.highest_fence:
            return state.change(engine=engine)
        if order.fence < engine.fence:
            state = state.change(
                violation="an order of a former holder was executed after a newer one"
            )
        engine = dataclasses.replace(engine, state=order.desired, fence=order.fence)
        return state.change(engine=engine)

    def _answer_sender(
        self, state: OrdersState, delivery: Delivery, *, is_stale: bool
    ) -> OrdersState:
        number = delivery.sender
        contender = state.contenders[number]
        if not contender.alive or contender.awaited != delivery.order:
            return state
        now = self._read_clock(state, number).monotonic
        record = contender.record.record_answer(now)
        contender = dataclasses.replace(contender, awaited=None, record=record)
        if is_stale:
            lease_state = contender.lease_state.leave()
            contender = dataclasses.replace(
                contender, lease_state=lease_state, call=None
            )
        return replace_contender(state, number, contender)
