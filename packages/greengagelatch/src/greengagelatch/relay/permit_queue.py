"""Issue of permits for one target, at the rate that it has named."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field

__all__ = (
    "MAX_PERMITS",
    "MINORITY_SHARE",
    "PermitQueue",
    "PermitTicket",
    "compute_issued_share",
)

#: most permits that are kept for later requests, and the same in seconds of the rate
MAX_KEPT = 2.0
KEPT_SECONDS = 0.1
#: shortest time between two times that a queue is served, in seconds
MIN_PAUSE = 0.002
#: most permits issued at once
MAX_PERMITS = 64
#: share of its part of the rate that an issuer uses which reaches half of the instances
#: or fewer: others may issue the whole rate to the rest
MINORITY_SHARE = 0.5


def compute_issued_share(reachable: int, known: int) -> float:
    """Return the share of a target's rate that its issuer may issue.

    Only one side of a network partition has a majority, so that all sides together
    issue at most one and a quarter of the rate.

    :param reachable: instances that this one reaches, itself included
    :param known: instances that may exist
    """
    if 2 * reachable > known:
        return 1.0
    return MINORITY_SHARE * reachable / known


@dataclass(slots=True, order=True)
class PermitTicket:
    """One instance's request for permits, in the order in which they are issued."""

    rank: float
    number: int
    count: int = field(compare=False)
    #: monotonic time until which it waits
    expires_at: float = field(compare=False)
    #: permits issued; ``None`` while it waits
    issued: int | None = field(default=None, compare=False)
    #: seconds after which a permit may be issued, if none was
    wait: float = field(default=0.0, compare=False)


class PermitQueue:
    """Issues the permits of one target by a token bucket, most urgent first.

    A new one is empty: the one who issued them before may have used the rate until now.

    :param now: monotonic time in seconds
    """

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._refilled_at = now
        self._numbers = 0
        self._waiting: list[PermitTicket] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def request(
        self, *, rank: float, count: int, patience: float, rate: float, now: float
    ) -> PermitTicket:
        """Issue permits, or let the request wait for one.

        It does not wait if none can be expected in time.

        :param count: permits that can be used
        :param patience: seconds for which it may wait
        :param rate: permits per second
        """
        self._refill(rate, now)
        self._numbers += 1
        count = max(1, min(count, MAX_PERMITS))
        ticket = PermitTicket(rank, self._numbers, count, now + patience)
        ahead = sum(one < ticket for one in self._waiting)
        ticket.wait = max(0.0, (ahead + 1 - self._tokens) / rate)
        if ticket.wait > patience:
            ticket.issued = 0
        elif not self._waiting and self._tokens >= 1:
            self._issue(ticket)
        else:
            insort(self._waiting, ticket)
        return ticket

    def serve(self, rate: float, now: float) -> list[PermitTicket]:
        """Return the requests that have got permits, or have waited in vain."""
        self._refill(rate, now)
        ended = [one for one in self._waiting if one.expires_at <= now]
        for ticket in ended:
            self._waiting.remove(ticket)
            ticket.issued = 0
            ticket.wait = max(0.0, (len(self._waiting) + 1 - self._tokens) / rate)
        while self._waiting and self._tokens >= 1:
            ticket = self._waiting.pop(0)
            self._issue(ticket)
            ended.append(ticket)
        return ended

    def close(self) -> list[PermitTicket]:
        """Return the requests that wait, none of which gets permits."""
        ended, self._waiting = self._waiting, []
        for ticket in ended:
            ticket.issued = 0
        return ended

    def withdraw(self, ticket: PermitTicket) -> None:
        """Remove a request that nobody waits for any more."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def find_pause(self, rate: float) -> float:
        """Return the seconds until :meth:`serve` is due, as of its last call."""
        next_end = min((one.expires_at for one in self._waiting), default=float("inf"))
        until_token = (1.0 - self._tokens) / rate
        return max(MIN_PAUSE, min(next_end - self._refilled_at, until_token))

    def _issue(self, ticket: PermitTicket) -> None:
        """Issue at least one permit, and leave one to each request that waits."""
        spare = int(self._tokens) - len(self._waiting)
        ticket.issued = max(1, min(ticket.count, spare))
        self._tokens -= ticket.issued

    def _refill(self, rate: float, now: float) -> None:
        added = max(0.0, now - self._refilled_at) * rate
        most = max(MAX_KEPT, rate * KEPT_SECONDS)
        self._tokens = min(most, self._tokens + added)
        self._refilled_at = now
