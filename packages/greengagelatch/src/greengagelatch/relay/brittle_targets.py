"""Limits on what brittle targets have to reject for want of room.

A brittle target falls over if it rejects more than a number of requests in a second,
which it says in all its responses. All instances together must stay below it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..targets.subset import compute_weight
from .brittle_services import LAPSE_SECONDS, BrittleServices
from .cold_targets import compute_share
from .slot_lending import LOAN_SECONDS, SlotLending

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from .incarnations import Incarnation
    from .load_reports import LoadReport
    from .targets import ListedTarget

__all__ = (
    "LAPSE_SECONDS",
    "TURN_SECONDS",
    "WINDOW_SECONDS",
    "BrittleTargets",
)

#: seconds for which a rejection counts: the second of the limit, and the time that a
#: request may spend on its connection
WINDOW_SECONDS = 1.4
#: share of the limit for requests at risk. Those that are accepted take slots from
#: instances that count on them, which the rest is for
LIMIT_SHARE = 0.5
#: seconds for which the same instances may send requests at risk. At the end of a turn
#: they don't, so that no window holds the requests of two turns
TURN_SECONDS = 4.0
#: seconds for which an instance keeps as many slots as it had requests in
PEAK_SECONDS = 4.0
#: slots of a service that an instance without requests keeps for its next one
KEPT_SLOTS = 1
#: seconds for which a load report is used
REPORT_SECONDS = 1.0
_NOT_SAID = (None, float("-inf"))


@dataclass(slots=True)
class _Target:
    #: the limit in its last response; ``None``: none
    limit: int | None
    answered_at: float
    #: seconds by which its turns are shifted: turns that begin at all targets at once
    #: would send them the requests that wait in the same moment
    turn_offset: float
    #: the load in its last response; ``None``: not said
    load: LoadReport | None = None
    #: monotonic times of its rejections
    rejections: deque[float] = field(default_factory=deque)
    rejected_at: float = float("-inf")
    #: requests of this instance that it held when it last rejected one
    held: int = 0
    #: most requests of this instance that it has held since then, or since it has been
    #: brittle
    kept: int = 0
    #: most requests of this instance that it has held lately, and when it did
    peak: int = 0
    peak_at: float = float("-inf")
    #: monotonic times at which the latest of its requests in flight were sent
    started: deque[float] = field(default_factory=deque)


class BrittleTargets:
    """Brittle targets, and whether this instance may send to each now.

    The slots of a target are divided among all instances that may exist. A request
    within this instance's share of the slots finds one free; any other one is at risk
    of being rejected. The requests at risk, and the rejections of the last second,
    stay within this instance's share of the limit.

    Requests sent before the target was known to be brittle, or accepted at risk, may
    hold slots of other instances' shares for as long as they run. Until they have
    ended, only requests that follow one of this instance are within its share.

    An instance lends the slots that it doesn't need to others that lack some.

    :param own: address of this instance
    :param find_instances: returns the addresses of all instances that may exist
    :param find_wall_seconds: returns seconds since the Unix epoch
    :param services: services that are brittle, also by what other instances tell
    :param lending: slots that instances lend each other; ``None``: none
    :param started_at: monotonic time at which this instance started. Slots that it
        lent before a restart may be in use for a while
    :param on_changed: called when a target says that it is brittle, with its limit, and
        when it no longer does, with ``None``
    """

    def __init__(
        self,
        *,
        own: str = "",
        find_instances: Callable[[], Collection[str]] = lambda: ("",),
        find_wall_seconds: Callable[[], float] = lambda: 0.0,
        services: BrittleServices | None = None,
        lending: SlotLending | None = None,
        started_at: float = float("-inf"),
        on_changed: Callable[[Incarnation, int | None], None] = lambda *_: None,
    ) -> None:
        self._own = own
        self._find_instances = find_instances
        self._find_wall_seconds = find_wall_seconds
        self._services = BrittleServices() if services is None else services
        self._lending = lending or SlotLending(services=self._services)
        self._usable_at = started_at + LOAN_SECONDS
        self._on_changed = on_changed
        self._targets: dict[Incarnation, _Target] = {}
        #: cached shares by key and number, of the slots and of the limits in one turn
        self._slot_shares: dict[tuple[str, int], int] = {}
        self._limit_shares: dict[tuple[str, int], int] = {}
        #: what they were computed from
        self._shared_by: Collection[str] = ()
        self._turn = 0

    def has_any(self) -> bool:
        """Return whether a service may be brittle."""
        return bool(self._services)

    def find_limit(self, target: ListedTarget, now: float) -> int | None:
        """Return the rejections in a second that a target tolerates.

        All targets of a service become brittle at the same time, so that the limit of
        another one counts for a target that has not responded since.

        :return: ``None`` if it is not brittle
        """
        if not self._services:
            return None
        limit, said_at = self._services.find(target.service, now) or _NOT_SAID
        known = self._targets.get(target.incarnation)
        if known is None or now - known.answered_at >= LAPSE_SECONDS:
            return limit
        return limit if said_at > known.answered_at else known.limit

    def may_send(self, target: ListedTarget, in_flight: int, now: float) -> bool:
        """Return whether this instance may send a request to a target now.

        :param in_flight: requests that this instance has at the target
        """
        limit = self.find_limit(target, now)
        if limit is None:
            return True
        known = self._find(target.incarnation, now)
        self._measure_run(target, known, in_flight, now)
        room = self._find_room(target, known, now)
        borrowed = self._count_borrowed(target, known, now)
        if borrowed and in_flight >= room - borrowed:
            self._lending.record_need(target.service, now)
        beyond = in_flight + 1 - room
        if beyond <= 0 and not known.rejections:
            return True
        if _is_full(known, now):
            return False
        at_risk = max(1, beyond)
        allowed = self._find_allowed(target, known, limit)
        return len(known.rejections) + at_risk <= allowed

    def record_start(
        self, incarnation: Incarnation, in_flight: int, now: float
    ) -> None:
        """Record that a request is sent to a target.

        :param in_flight: requests that this instance has at it beside this one
        """
        known = self._find(incarnation, now)
        known.started.append(now)
        _drop_ended(known, in_flight + 1)
        if in_flight + 1 >= _find_peak(known, 0, now):
            known.peak, known.peak_at = in_flight + 1, now

    def lacks_room(
        self, service: str, targets: Collection[tuple[ListedTarget, int]], now: float
    ) -> bool:
        """Return whether only their limits prevent a send to any of some targets.

        :param targets: targets of a service, and how many requests this instance has
            at each
        """
        if all(self.find_limit(target, now) is None for target, _ in targets):
            return False
        if any(self.may_send(target, held, now) for target, held in targets):
            return False
        self._lending.record_need(service, now)
        return True

    def lend(
        self,
        service: str,
        borrower: str,
        targets: Iterable[tuple[ListedTarget, int]],
        now: float,
    ) -> dict[Incarnation, int]:
        """Lend the slots that this instance doesn't need to one that asks for them.

        :param targets: the targets of the service, and how many requests this instance
            has at each
        :return: the slots lent, by target
        """
        spare: dict[Incarnation, int] = {}
        if not self._lending.may_lend(service, now):
            return spare
        for target, in_flight in targets:
            if self.find_limit(target, now) is None:
                continue
            known = self._find(target.incarnation, now)
            slots = self._find_own_room(target, known, now)
            slots -= _find_peak(known, in_flight, now)
            if slots > 0:
                spare[target.incarnation] = slots
        if spare:
            kept = min(spare, key=lambda one: compute_weight(self._own, one.target_id))
            spare[kept] -= KEPT_SLOTS
        return self._lending.lend(service, borrower, spare, now)

    def record_response(
        self,
        target: ListedTarget,
        *,
        limit: int | None,
        rejected: bool,
        load: LoadReport | None,
        in_flight: int,
        now: float,
    ) -> None:
        """Record the response of a target to a request.

        :param limit: rejections in a second that it tolerates; ``None``: not said
        :param rejected: whether it had no room for the request
        :param load: the load that it reported; ``None``: not said
        :param in_flight: requests that this instance has at it beside this one
        """
        known = self._targets.get(target.incarnation)
        was_brittle = known is not None and known.limit is not None
        # also without a limit, or older news of another instance would overrule it
        known = self._find(target.incarnation, now)
        if limit is None or now - known.answered_at >= LAPSE_SECONDS:
            known.kept = 0
        known.limit, known.answered_at = limit, now
        known.load = load
        if limit is not None:
            self._services.record_response(target.service, limit, now)
            if rejected:
                known.rejections.append(now)
                known.rejected_at = now
                known.held = known.kept = max(0, in_flight)
            else:
                known.kept = max(known.kept, in_flight + 1)
        if (limit is not None) != was_brittle:
            self._on_changed(target.incarnation, limit)

    def forget(self, incarnation: Incarnation) -> None:
        """Discard the state of a target that is gone."""
        self._targets.pop(incarnation, None)
        self._lending.forget(incarnation)

    def describe(self, now: float) -> dict[str, dict[str, int]]:
        """Return the brittle targets for the state dump."""
        return {
            str(incarnation): {
                "limit": known.limit,
                "rejections": len(known.rejections),
            }
            for incarnation, known in self._targets.items()
            if known.limit is not None and now - known.answered_at < LAPSE_SECONDS
        }

    def _find(self, incarnation: Incarnation, now: float) -> _Target:
        known = self._targets.get(incarnation)
        if known is None:
            offset = compute_weight("", incarnation.target_id) % 1000 / 1000
            known = _Target(
                limit=None,
                answered_at=now - LAPSE_SECONDS,
                turn_offset=offset * TURN_SECONDS,
            )
            self._targets[incarnation] = known
        return known

    def _find_room(self, target: ListedTarget, known: _Target, now: float) -> int:
        """Return how many requests of this instance a target certainly has room for."""
        own = self._find_own_room(target, known, now)
        if known.rejections or _has_queue(known, now):
            return own
        own -= self._lending.count_lent(target.service, target.incarnation, now)
        return max(0, own + self._count_borrowed(target, known, now))

    def _count_borrowed(self, target: ListedTarget, known: _Target, now: float) -> int:
        """Return how many slots of other instances this one may use.

        After a rejection others are in them, for as long as requests run.
        """
        if not self._lending.is_borrowing:
            return 0
        run_seconds = self._services.find_run(target.service)
        if now - known.rejected_at < max(WINDOW_SECONDS, run_seconds):
            return 0
        instances = self._shared_by
        return self._lending.count_borrowed(target.incarnation, instances, now)

    def _find_own_room(self, target: ListedTarget, known: _Target, now: float) -> int:
        """Return how many slots this instance has, whether or not it lends them."""
        while known.rejections and known.rejections[0] <= now - WINDOW_SECONDS:
            known.rejections.popleft()
        if known.rejections:
            return known.held
        if _has_queue(known, now):
            return 0
        self._drop_shares(self._turn)
        share = self._compute_share(self._slot_shares, target.target_id, target.slots)
        since = max(known.rejected_at, self._usable_at)
        if self._services.is_settling(target.service, since, now):
            return min(share, max(known.kept, _count_accepted(known, now)))
        return share

    def _measure_run(
        self, target: ListedTarget, known: _Target, in_flight: int, now: float
    ) -> None:
        _drop_ended(known, in_flight)
        if known.started:
            self._services.record_run(target.service, now - known.started[0])

    def _find_allowed(self, target: ListedTarget, known: _Target, limit: int) -> int:
        """Return the share of the limit that this instance may use now."""
        usable = max(1, int(limit * LIMIT_SHARE)) if limit > 0 else 0
        seconds = self._find_wall_seconds()
        self._drop_shares(int(seconds // TURN_SECONDS))
        turn, elapsed = divmod(seconds + known.turn_offset, TURN_SECONDS)
        if elapsed > TURN_SECONDS - WINDOW_SECONDS:
            # what each instance may use in all turns
            return usable // len(self._shared_by)
        key = f"{target.target_id}/{turn:.0f}"
        return self._compute_share(self._limit_shares, key, usable)

    def _drop_shares(self, turn: int) -> None:
        """Discard the shares that were computed from other instances or turns."""
        instances = self._find_instances()
        if instances is not self._shared_by:
            self._shared_by = instances
            self._slot_shares.clear()
            self._limit_shares.clear()
        if turn != self._turn:
            self._turn = turn
            self._limit_shares.clear()

    def _compute_share(
        self, shares: dict[tuple[str, int], int], key: str, number: int
    ) -> int:
        share = shares.get((key, number))
        if share is None:
            share = compute_share(key, self._own, self._shared_by, number)
            shares[key, number] = share
        return share


def _drop_ended(known: _Target, in_flight: int) -> None:
    """Discard the oldest starts, as if requests ended in their order.

    The age of the oldest one that is left doesn't exceed the longest run then.
    """
    while len(known.started) > max(0, in_flight):
        known.started.popleft()


def _find_peak(known: _Target, in_flight: int, now: float) -> int:
    """Return the most requests of this instance that a target has held lately."""
    if now - known.peak_at >= PEAK_SECONDS:
        return in_flight
    return max(in_flight, known.peak)


def _count_accepted(known: _Target, now: float) -> int:
    """Return how many requests in flight would have been rejected by now if at all."""
    return sum(sent_at <= now - WINDOW_SECONDS for sent_at in known.started)


def _find_load(known: _Target, now: float) -> LoadReport | None:
    """Return the load that a target reported recently."""
    return known.load if now - known.answered_at < REPORT_SECONDS else None


def _is_full(known: _Target, now: float) -> bool:
    """Return whether a target reported recently that all its slots are taken."""
    load = _find_load(known, now)
    return load is not None and load.running + load.waiting >= load.slots


def _has_queue(known: _Target, now: float) -> bool:
    """Return whether a target reported recently that requests wait for its slots."""
    load = _find_load(known, now)
    return load is not None and load.waiting > 0
