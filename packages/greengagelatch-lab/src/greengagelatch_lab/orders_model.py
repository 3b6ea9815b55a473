"""Model of orders to one engine: every interleaving of two contenders and faults.

The decisions are those of the real code in :mod:`greengagelatch.leases` and
:mod:`greengagelatch.orders`; the model adds clocks, the network, the store, the engine
and what may go wrong. Time passes in whole ticks between any two steps. A process that
is paused is one that takes no step while ticks pass, so pauses need no step of their
own.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from greengagelatch.leases.contention import Wish
from greengagelatch.leases.instants import Instant
from greengagelatch.leases.rules import LeaseRules
from greengagelatch.leases.tenure import Tenure, TenureStep
from greengagelatch.orders import EngineReport, EngineState, Order, permission
from greengagelatch.orders.engine import EngineAction, EngineRecord
from greengagelatch.orders.rules import Fencing, OrderRules
from greengagelatch.store import (
    ABSENT,
    Entry,
    Lease,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

from .explore import Model

__all__ = ("Budget", "OrdersModel", "OrdersWorld")

KEY = "leases/group"
#: ticks for which the store keeps a lease
TTL = 4
#: ticks within which the engine has carried out an order that has reached it
DURATION = 1
#: ticks between two readings; those of an unsettled order are five times as frequent
READ_INTERVAL = 5.0

#: enough for a clock that runs at three quarters of the right speed
LEASE_RULES = LeaseRules(ttl=TTL, margin=1.0)

UNREAD = EngineRecord()
EMPTY = EngineState()

#: calls whose number in one run is bounded, by the name of the bound
BUDGETED = {TenureStep.GRANT: "grants", TenureStep.KEEP: "keeps"}

LOST = Err(StoreError(StoreErrorKind.TIMEOUT, ""))
GONE = Err(StoreError(StoreErrorKind.LEASE_GONE, ""))
UNKNOWN = WriteResult(WriteOutcome.UNKNOWN)
NOT_APPLIED = WriteResult(WriteOutcome.NOT_APPLIED)


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """How often each fault may happen in one run, and how long a run may be."""

    ticks: int
    #: leases asked of the store
    grants: int = 1
    #: renewals
    keeps: int = 0
    #: calls to the store whose answer is lost; one that has not reached the store
    #: may do so at any later time, or never
    lost_calls: int = 0
    #: orders that are lost on their way, or whose answer is
    lost_orders: int = 0
    #: leases that are given up to another instance
    let_go: int = 0
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """A call to the store, and its answer once it was handled."""

    step: TenureStep
    lease_id: str
    value: bytes
    answer: Any = None


@dataclass(frozen=True, slots=True)
class Contender:
    """One entry instance."""

    tenure: Tenure
    alive: bool = True
    call: Call | None = None
    record: EngineRecord = UNREAD
    #: an order for which the connection is being made
    planned: Order | None = None
    #: an order whose answer is awaited
    awaited: Order | None = None


@dataclass(frozen=True, slots=True)
class Delivery:
    """An order on its way, or being carried out, at the latest until ``until``."""

    order: Order
    sender: int
    until: int


@dataclass(frozen=True, slots=True)
class Engine:
    """The engine, with the orders on their way to it."""

    state: EngineState = EMPTY
    fence: int = ABSENT
    highest: int = ABSENT
    on_wire: tuple[Delivery, ...] = ()
    running: tuple[Delivery, ...] = ()


@dataclass(frozen=True, slots=True)
class KeyValue:
    """The store: one key, and leases with the tick at which each lapses."""

    value: bytes = b""
    revision: int = ABSENT
    lease_id: str = ""
    writes: int = 0
    granted: int = 0
    leases: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class OrdersWorld:
    """State of everything."""

    budget: Budget
    contenders: tuple[Contender, ...]
    store: KeyValue = KeyValue()
    engine: Engine = Engine()
    time: int = 0
    #: calls whose sender has given up on the answer
    late: tuple[Call, ...] = ()
    #: highest fencing number that a holder has had
    fence: int = ABSENT
    fault: str = ""
    _hash: int = field(default=0, compare=False, repr=False)

    def __hash__(self) -> int:
        # a state is looked up many times, and its parts are deep
        if not self._hash:
            parts = tuple(
                getattr(self, name) for name in OrdersWorld.__slots__ if name != "_hash"
            )
            object.__setattr__(self, "_hash", hash(parts) or 1)
        return self._hash

    def change(self, **changes: Any) -> OrdersWorld:
        """Return a copy with changes."""
        return dataclasses.replace(self, _hash=0, **changes)


class OrdersModel(Model[OrdersWorld]):
    """Two contenders for one lease, and the engine that both want to order about.

    :param speeds: speed of each contender's clock; 1 is right
    :param fencing: what the instances take the engine to do about old numbers
    :param checks: whether it does refuse them; by default as it is taken to do
    :param delivery: ticks within which an order has reached the engine, or never does
    :param holding: whether the first contender holds the lease at the beginning;
        else both are about to ask for it
    :param slow_calls: whether time may pass during a call to the store
    :param orders: whether orders are given; leases alone can be explored farther
    """

    def __init__(
        self,
        *,
        speeds: tuple[float, float],
        fencing: Fencing,
        budget: Budget,
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
            longest=DURATION,
            interval=READ_INTERVAL,
            margin=LEASE_RULES.margin,
        )
        self._holding = holding
        self._slow_calls = slow_calls
        self._orders = orders

    def start(self) -> Iterable[OrdersWorld]:
        contenders = []
        for number in range(len(self._speeds)):
            contenders.append(
                Contender(Tenure(instance_id=str(number), rules=LEASE_RULES))
            )
        world = OrdersWorld(self._budget, tuple(contenders))
        if self._holding:
            for _ in range(3):
                world = self._begin(world, 0, Wish.HOLD)
                world = self._handle(world, 0)
                world = self._answer(world, 0, world.contenders[0].call.answer)
            # the former holder's time is not what this run is about
            holder = world.contenders[0]
            tenure = dataclasses.replace(holder.tenure, acquired=-100.0)
            world = _put(world, 0, dataclasses.replace(holder, tenure=tenure))
        yield world

    def steps(self, state: OrdersWorld) -> Iterator[tuple[str, OrdersWorld]]:
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
                spent = _spend(state, "crashes")
                yield f"{number} dies", _put(spent, number, dead)
        yield from self._step_engine(state)
        for call in state.late:
            rest = tuple(one for one in state.late if one is not call)
            store, _ = _apply(state.store, call, state.time)
            yield f"late {call.step.value}", state.change(store=store, late=rest)
        if self._may_tick(state):
            yield "tick", self._tick(state)

    def find_fault(self, state: OrdersWorld) -> str:
        if state.fault:
            return state.fault
        believers = 0
        for number, contender in enumerate(state.contenders):
            now = self._read_clock(state, number)
            believers += contender.alive and contender.tenure.compute_left(now) > 0
        if believers > 1:
            return "two contenders believe that they hold the lease"
        return ""

    # time

    def _read_clock(self, state: OrdersWorld, number: int) -> Instant:
        own = state.time * self._speeds[number]
        return Instant(own, own)

    def _may_tick(self, state: OrdersWorld) -> bool:
        """Whether time may pass: not beyond the end of what must happen by now."""
        if state.time >= state.budget.ticks:
            return False
        engine = state.engine
        under_way = (*engine.on_wire, *engine.running)
        return all(state.time < delivery.until for delivery in under_way)

    def _tick(self, state: OrdersWorld) -> OrdersWorld:
        time = state.time + 1
        store = state.store
        leases = tuple(item for item in store.leases if item[1] > time)
        store = dataclasses.replace(store, leases=leases)
        return state.change(time=time, store=_drop_unbound(store))

    # the lease

    def _step_lease(
        self, state: OrdersWorld, number: int
    ) -> Iterator[tuple[str, OrdersWorld]]:
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
            lost = _spend(state, "lost_calls")
            if call.answer is None:
                lost = lost.change(late=(*lost.late, call))
            answer = UNKNOWN if call.step is TenureStep.ACQUIRE else LOST
            yield f"{name} gets no answer", self._answer(lost, number, answer)

    def _begin_call(
        self, state: OrdersWorld, number: int
    ) -> Iterator[tuple[str, OrdersWorld]]:
        contender = state.contenders[number]
        begun = self._begin(state, number, Wish.HOLD)
        step = begun.contenders[number].tenure.step
        if step is TenureStep.LOOK and state.store.revision != ABSENT:
            # it would find a holder and look again later, as if it had not looked
            return
        name = BUDGETED.get(step)
        if name is not None:
            if getattr(state.budget, name):
                yield f"{number} begins {step.value}", _spend(begun, name)
        elif step is not TenureStep.REST:
            yield f"{number} begins {step.value}", begun
        busy = contender.awaited or contender.planned or contender.record.unsettled
        if state.budget.let_go and contender.tenure.held and not busy:
            spent = _spend(state, "let_go")
            yield f"{number} lets go", self._begin(spent, number, Wish.LET_GO)

    def _begin(self, state: OrdersWorld, number: int, wish: Wish) -> OrdersWorld:
        contender = state.contenders[number]
        now = self._read_clock(state, number)
        tenure = contender.tenure.plan(now, wish)
        call = None
        if tenure.step is not TenureStep.REST:
            tenure = tenure.begin(now)
            call = Call(tenure.step, tenure.lease_id, tenure.value)
        return self._change_tenure(state, number, tenure, call)

    def _handle(self, state: OrdersWorld, number: int) -> OrdersWorld:
        contender = state.contenders[number]
        store, answer = _apply(state.store, contender.call, state.time)
        call = dataclasses.replace(contender.call, answer=answer)
        contender = dataclasses.replace(contender, call=call)
        return _put(state.change(store=store), number, contender)

    def _answer(self, state: OrdersWorld, number: int, answer: Any) -> OrdersWorld:
        tenure = state.contenders[number].tenure
        now = self._read_clock(state, number)
        match tenure.step:
            case TenureStep.LOOK:
                after = tenure.take_looked(answer, now, Wish.HOLD)
            case TenureStep.GRANT:
                after = tenure.take_granted(answer, now)
            case TenureStep.ACQUIRE:
                after = tenure.take_acquired(answer, now)
            case TenureStep.SETTLE:
                after = tenure.take_settled(answer, now)
            case TenureStep.KEEP:
                after = tenure.take_kept(answer, now)
            case _:
                after = tenure.take_revoked(now)
        if after.held and not tenure.held:
            if after.fence <= state.fence:
                state = state.change(fault="a fencing number is not a higher one")
            state = state.change(fence=max(state.fence, after.fence))
        return self._change_tenure(state, number, after, None)

    def _change_tenure(
        self, state: OrdersWorld, number: int, tenure: Tenure, call: Call | None
    ) -> OrdersWorld:
        contender = state.contenders[number]
        record = contender.record
        if not tenure.held:
            record = EngineRecord()
        contender = dataclasses.replace(
            contender, tenure=tenure, call=call, record=record
        )
        return _put(state, number, contender)

    # orders

    def _step_orders(
        self, state: OrdersWorld, number: int
    ) -> Iterator[tuple[str, OrdersWorld]]:
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
        may_order = permission.has_turn(
            tenure, now, rules=self._rules, fencing=self._fencing
        )
        action = contender.record.plan(now.monotonic, wanted, may_order=may_order)
        if action is EngineAction.READ:
            report = EngineReport(state.engine.state, state.engine.fence)
            record = contender.record.note_read(now.monotonic, report, self._rules)
            read = dataclasses.replace(contender, record=record)
            yield f"{number} reads", _put(state, number, read)
        if action is EngineAction.ORDER:
            planned = dataclasses.replace(
                contender, planned=Order(tenure.fence, wanted)
            )
            yield f"{number} plans an order", _put(state, number, planned)

    def _send(
        self, state: OrdersWorld, number: int
    ) -> Iterator[tuple[str, OrdersWorld]]:
        contender = state.contenders[number]
        order = contender.planned
        now = self._read_clock(state, number)
        allowed = permission.may_send(
            contender.tenure, order, now, rules=self._rules, fencing=self._fencing
        )
        if not allowed:
            idle = dataclasses.replace(contender, planned=None)
            yield f"{number} withholds its order", _put(state, number, idle)
            return
        engine = state.engine
        under_way = (*engine.on_wire, *engine.running)
        if any(delivery.order == order for delivery in under_way):
            state = state.change(fault="an order was repeated while it was under way")
        delivery = Delivery(order, number, state.time + self._delivery)
        engine = dataclasses.replace(engine, on_wire=(*engine.on_wire, delivery))
        sent = dataclasses.replace(
            contender,
            planned=None,
            awaited=order,
            record=contender.record.note_sending(now.monotonic, order),
        )
        state = _put(state.change(engine=engine), number, sent)
        yield f"{number} sends its order", state

    def _stop_waiting(
        self, state: OrdersWorld, number: int
    ) -> Iterator[tuple[str, OrdersWorld]]:
        contender = state.contenders[number]
        now = self._read_clock(state, number).monotonic
        if now - contender.record.sent < self._rules.timeout:
            return
        record = contender.record.note_unanswered(now)
        given_up = dataclasses.replace(contender, awaited=None, record=record)
        yield f"{number} stops waiting", _put(state, number, given_up)

    # the engine

    def _step_engine(self, state: OrdersWorld) -> Iterator[tuple[str, OrdersWorld]]:
        engine = state.engine
        for delivery in engine.on_wire:
            rest = tuple(one for one in engine.on_wire if one is not delivery)
            moved = dataclasses.replace(engine, on_wire=rest)
            name = f"{delivery.sender}'s order"
            yield f"{name} arrives", self._arrive(state, moved, delivery)
            if state.budget.lost_orders:
                lost = _spend(state, "lost_orders")
                yield f"{name} is lost", lost.change(engine=moved)
        for delivery in engine.running:
            rest = tuple(one for one in engine.running if one is not delivery)
            moved = dataclasses.replace(engine, running=rest)
            name = f"{delivery.sender}'s order"
            done = self._carry_out(state, moved, delivery)
            yield f"{name} is carried out", self._tell(done, delivery, old=False)
            if state.budget.lost_orders:
                lost = _spend(done, "lost_orders")
                yield f"{name} is carried out, the answer is lost", lost

    def _arrive(
        self, state: OrdersWorld, engine: Engine, delivery: Delivery
    ) -> OrdersWorld:
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
        self, state: OrdersWorld, engine: Engine, delivery: Delivery
    ) -> OrdersWorld:
        order = delivery.order
        if self._checks and order.fence < engine.highest:
            return state.change(engine=engine)
        if order.fence < engine.fence:
            state = state.change(fault="a former holder's order was carried out last")
        engine = dataclasses.replace(engine, state=order.wanted, fence=order.fence)
        return state.change(engine=engine)

    def _tell(
        self, state: OrdersWorld, delivery: Delivery, *, old: bool
    ) -> OrdersWorld:
        number = delivery.sender
        contender = state.contenders[number]
        if not contender.alive or contender.awaited != delivery.order:
            return state
        now = self._read_clock(state, number).monotonic
        record = contender.record.note_ended(now)
        contender = dataclasses.replace(contender, awaited=None, record=record)
        if old:
            tenure = contender.tenure.leave()
            contender = dataclasses.replace(contender, tenure=tenure, call=None)
        return _put(state, number, contender)


def _put(state: OrdersWorld, number: int, contender: Contender) -> OrdersWorld:
    contenders = list(state.contenders)
    contenders[number] = contender
    return state.change(contenders=tuple(contenders))


def _spend(state: OrdersWorld, name: str) -> OrdersWorld:
    left = getattr(state.budget, name) - 1
    return state.change(budget=dataclasses.replace(state.budget, **{name: left}))


def _drop_unbound(store: KeyValue) -> KeyValue:
    """Let the key vanish with its lease; that is a write like any other."""
    if not store.lease_id or store.lease_id in dict(store.leases):
        return store
    return dataclasses.replace(
        store, value=b"", revision=ABSENT, lease_id="", writes=store.writes + 1
    )


def _apply(store: KeyValue, call: Call, time: int) -> tuple[KeyValue, Any]:
    """Handle a call at the store; return the store after it and its answer."""
    match call.step:
        case TenureStep.LOOK | TenureStep.SETTLE:
            entry = None
            if store.revision != ABSENT:
                entry = Entry(KEY, store.value, store.revision)
            return store, Ok(entry)
        case TenureStep.GRANT:
            number = store.granted + 1
            lease = Lease(f"lease-{number}", TTL, number)
            leases = (*store.leases, (lease.lease_id, time + TTL))
            return dataclasses.replace(store, granted=number, leases=leases), Ok(lease)
        case TenureStep.ACQUIRE:
            return _apply_write(store, call)
        case TenureStep.KEEP:
            return _apply_keep(store, call, time)
    leases = tuple(item for item in store.leases if item[0] != call.lease_id)
    return _drop_unbound(dataclasses.replace(store, leases=leases)), Ok(None)


def _apply_write(store: KeyValue, call: Call) -> tuple[KeyValue, WriteResult]:
    if call.lease_id not in dict(store.leases):
        return store, NOT_APPLIED
    if store.revision != ABSENT:
        return store, WriteResult(WriteOutcome.CONFLICT, store.revision)
    revision = store.writes + 1
    store = dataclasses.replace(
        store,
        value=call.value,
        revision=revision,
        lease_id=call.lease_id,
        writes=revision,
    )
    return store, WriteResult(WriteOutcome.APPLIED, revision)


def _apply_keep(store: KeyValue, call: Call, time: int) -> tuple[KeyValue, Any]:
    if call.lease_id not in dict(store.leases):
        return store, GONE
    leases = dict(store.leases) | {call.lease_id: time + TTL}
    number = int(call.lease_id.rpartition("-")[2])
    store = dataclasses.replace(store, leases=tuple(leases.items()))
    return store, Ok(Lease(call.lease_id, TTL, number))
