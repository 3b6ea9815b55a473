"""Loans of slots of brittle targets, to other instances and from them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.relay.slot_lending import LOAN_SECONDS
from greengagelatch.relay.slot_messages import (
    BrittleSlotsLoan,
    BrittleSlotsRequest,
    decode_slots,
    encode_slots,
)

from ..controllers import Controller

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.brittle_targets import BrittleTargets
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.slot_lending import SlotLending
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("SlotLoansController",)

#: seconds between two requests for slots: one that is lost ends no loan
REQUEST_SECONDS = 0.4
#: seconds between two requests as further services need slots
MIN_PAUSE_SECONDS = 0.05


class SlotLoansController(Controller):
    """Asks the neighbours for slots while some are lacking, and lends them unused ones.

    :param own: address of this instance
    """

    name = "slot_loans"

    def __init__(
        self,
        *,
        own: str,
        peers: PeerNetwork,
        lending: SlotLending,
        brittle_targets: BrittleTargets,
        load_balancer: LoadBalancer,
        target_table: TargetTable,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._own = own
        self._peers = peers
        self._lending = lending
        self._brittle_targets = brittle_targets
        self._load_balancer = load_balancer
        self._target_table = target_table
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._wanted = asyncio.Event()
        #: monotonic times of the last loans, by borrower
        self._lent_at: dict[str, float] = {}
        peers.handle(BrittleSlotsRequest, self._receive_request)
        peers.handle(BrittleSlotsLoan, self._receive_loan)

    def handle_need(self, service: str) -> None:
        """Ask soon, as there are too few slots of a service from now on."""
        self._decisions.log_decision("brittle-slots-wanted", service=service)
        self._wanted.set()

    def dump(self) -> dict[str, Any]:
        return self._lending.describe(self._clock.now())

    @Service.task
    async def _ask_forever(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REQUEST_SECONDS):
                    await self._wanted.wait()
            self._wanted.clear()
            self._ask()
            await asyncio.sleep(MIN_PAUSE_SECONDS)

    def _ask(self) -> None:
        request = self._lending.create_request(self._clock.now())
        if request is None:
            return
        message = BrittleSlotsRequest(request.number, request.services)
        for peer in self._peers.neighbours():
            if self._peers.send(peer, message):
                self._metrics.count("brittle_targets.slots_requests_sent")

    def _receive_request(self, sender: str, request: BrittleSlotsRequest) -> None:
        now = self._clock.now()
        lent: dict[Incarnation, int] = {}
        for service in request.services:
            targets = [
                (one, self._load_balancer.count_in_flight(one.incarnation))
                for one in self._target_table.list_service(service)
            ]
            lent.update(self._brittle_targets.lend(service, sender, targets, now))
        if not lent:
            return
        loan = BrittleSlotsLoan(request.number, self._own, encode_slots(lent))
        self._peers.send(sender, loan)
        self._metrics.count("brittle_targets.loans_made")
        self._log_loan(sender, sum(lent.values()), now)

    def _log_loan(self, borrower: str, slots: int, now: float) -> None:
        """Log a loan, unless it goes on from the one before."""
        for name, lent_at in tuple(self._lent_at.items()):
            if lent_at + LOAN_SECONDS <= now:
                del self._lent_at[name]
        if borrower not in self._lent_at:
            self._decisions.log_decision(
                "brittle-slots-lent", borrower=borrower, slots=slots
            )
        self._lent_at[borrower] = now

    def _receive_loan(self, sender: str, loan: BrittleSlotsLoan) -> None:
        self._metrics.count("brittle_targets.loans_received")
        self._lending.record_loan(
            loan.lender, loan.number, decode_slots(loan.rows), self._clock.now()
        )
