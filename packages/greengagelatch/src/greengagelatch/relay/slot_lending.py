"""Loans of slots of brittle targets between instances.

Each instance has a share of the slots of a target. One that does not need its share
lends it to others for a moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .cold_targets import compute_share

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from .brittle_services import BrittleServices
    from .incarnations import Incarnation

__all__ = (
    "LOAN_SECONDS",
    "MAX_LENT_RUN_SECONDS",
    "PAUSE_SECONDS",
    "WANT_SECONDS",
    "SlotLending",
    "SlotsRequest",
)

#: seconds from the request for a loan until the borrower may not use it any more
LOAN_SECONDS = 1.0
#: seconds for which an instance asks for slots after it lacked some
WANT_SECONDS = 1.0
#: seconds for which it lends none then
PAUSE_SECONDS = 4.0
#: longest run of a service whose slots are lent, in seconds: a lender gets its slots
#: back only when the requests of the borrower have ended
MAX_LENT_RUN_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class SlotsRequest:
    """Asks other instances for the slots that they don't need."""

    #: told again with the loan, so that its time counts from the request
    number: int
    services: tuple[str, ...]


@dataclass(slots=True)
class _Borrowed:
    number: int
    slots: int
    until: float


@dataclass(slots=True)
class _Lent:
    slots: int
    #: monotonic time until which the borrower may send
    until: float


class SlotLending:
    """Slots that this instance lends and borrows.

    The time of a loan counts from the request for it at the borrower, and from the
    answer at the lender. So the lender uses its slots again only when the borrower
    has ceased to, however long a message took and whether or not it arrived, and
    when the requests of the borrower have had their time to end.

    :param services: services that are brittle, and their longest runs
    :param on_wanted: called with each service of which this instance lacks slots from
        now on
    """

    def __init__(
        self,
        *,
        services: BrittleServices,
        on_wanted: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._services = services
        self._on_wanted = on_wanted
        #: monotonic times until which slots are wanted, by service
        self._wanted_until: dict[str, float] = {}
        #: monotonic times from which slots are lent again, by service
        self._may_lend_at: dict[str, float] = {}
        self._number = 0
        #: monotonic times of the requests that may still be answered in time
        self._asked_at: dict[int, float] = {}
        #: loans by target and lender
        self._borrowed: dict[Incarnation, dict[str, _Borrowed]] = {}
        #: loans by target and borrower, all that may be in use
        self._lent: dict[Incarnation, dict[str, list[_Lent]]] = {}
        #: monotonic times of the last requests, by service and borrower
        self._borrowers: dict[str, dict[str, float]] = {}

    @property
    def is_borrowing(self) -> bool:
        """Whether other instances have lent slots to this one lately."""
        return bool(self._borrowed)

    def record_need(self, service: str, now: float) -> None:
        """Record that this instance lacks slots of a service, or uses others'."""
        was_wanted = self.wants(service, now)
        self._wanted_until[service] = now + WANT_SECONDS
        self._may_lend_at[service] = now + PAUSE_SECONDS
        if not was_wanted:
            self._on_wanted(service)

    def wants(self, service: str, now: float) -> bool:
        """Return whether this instance needs more slots of a service than its share."""
        return self._wanted_until.get(service, now) > now

    def create_request(self, now: float) -> SlotsRequest | None:
        """Return what to ask other instances for; ``None``: nothing."""
        for service in tuple(self._wanted_until):
            if not self.wants(service, now):
                del self._wanted_until[service]
        for number, asked_at in tuple(self._asked_at.items()):
            if asked_at + LOAN_SECONDS <= now:
                del self._asked_at[number]
        if not self._wanted_until:
            return None
        self._number += 1
        self._asked_at[self._number] = now
        return SlotsRequest(self._number, tuple(self._wanted_until))

    def may_lend(self, service: str, now: float) -> bool:
        """Return whether this instance lends slots of a service."""
        if now < self._may_lend_at.get(service, now):
            return False
        return self._services.find_run(service) <= MAX_LENT_RUN_SECONDS

    def lend(
        self,
        service: str,
        borrower: str,
        spare: Mapping[Incarnation, int],
        now: float,
    ) -> dict[Incarnation, int]:
        """Lend slots to an instance that asks for them.

        Those that ask at the same time get the same share.

        :param spare: slots that this instance doesn't need, lent or not, by target
        :return: the slots lent, which replace those lent to it before
        """
        borrowers = self._borrowers.setdefault(service, {})
        borrowers[borrower] = now
        for name, asked_at in tuple(borrowers.items()):
            if asked_at + LOAN_SECONDS <= now:
                del borrowers[name]
        lent: dict[Incarnation, int] = {}
        for incarnation, slots in spare.items():
            share = compute_share(incarnation.target_id, borrower, borrowers, slots)
            others = self.count_lent(service, incarnation, now, besides=borrower)
            number = min(share, slots - others)
            if number <= 0:
                continue
            lent[incarnation] = number
            loans = self._lent.setdefault(incarnation, {}).setdefault(borrower, [])
            loans.append(_Lent(number, now + LOAN_SECONDS))
        return lent

    def record_loan(
        self,
        lender: str,
        number: int,
        lent: Mapping[Incarnation, int],
        now: float,
    ) -> None:
        """Record what another instance lends, in place of what it lent before.

        :param number: that of the request
        """
        asked_at = self._asked_at.get(number)
        if asked_at is None or asked_at + LOAN_SECONDS <= now:
            return
        for incarnation, loans in tuple(self._borrowed.items()):
            known = loans.get(lender)
            if known is not None and known.number <= number:
                del loans[lender]
            if not loans:
                del self._borrowed[incarnation]
        until = asked_at + LOAN_SECONDS
        for incarnation, slots in lent.items():
            loans = self._borrowed.setdefault(incarnation, {})
            if lender not in loans:
                loans[lender] = _Borrowed(number, max(0, slots), until)

    def count_borrowed(
        self, incarnation: Incarnation, instances: Collection[str], now: float
    ) -> int:
        """Return how many slots of others this instance may use.

        :param instances: instances that the slots are divided among: those of one that
            is gone are in the shares of the others
        """
        loans = self._borrowed.get(incarnation)
        if not loans:
            return 0
        return sum(
            one.slots
            for lender, one in loans.items()
            if one.until > now and lender in instances
        )

    def count_lent(
        self, service: str, incarnation: Incarnation, now: float, *, besides: str = ""
    ) -> int:
        """Return how many slots others may have requests in.

        :param besides: instance that is left out
        """
        loans = self._lent.get(incarnation)
        if not loans:
            return 0
        run_seconds = self._services.find_run(service)
        total = 0
        for borrower, lent in tuple(loans.items()):
            lent[:] = [one for one in lent if one.until + run_seconds > now]
            if not lent:
                del loans[borrower]
                continue
            if borrower != besides:
                total += max(one.slots for one in lent)
        return total

    def forget(self, incarnation: Incarnation) -> None:
        """Discard the loans at a target that is gone."""
        self._borrowed.pop(incarnation, None)
        self._lent.pop(incarnation, None)

    def describe(self, now: float) -> dict[str, dict[str, int]]:
        """Return the slots lent and borrowed by other instance, for the state dump."""
        described: dict[str, dict[str, int]] = {"borrowed": {}, "lent": {}}
        borrowed, lent = described["borrowed"], described["lent"]
        for loans in self._borrowed.values():
            for lender, one in loans.items():
                if one.until > now:
                    borrowed[lender] = borrowed.get(lender, 0) + one.slots
        for by_borrower in self._lent.values():
            for borrower, made in by_borrower.items():
                slots = max((one.slots for one in made if one.until > now), default=0)
                if slots:
                    lent[borrower] = lent.get(borrower, 0) + slots
        return described
