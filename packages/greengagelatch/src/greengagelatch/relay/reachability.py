"""Targets that this instance can't connect to itself, and peers that can."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from ..peers import MemberState
from .regions import is_allowed

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from ..peers import Member
    from .incarnations import Incarnation

__all__ = ("Approach", "Reachability")

#: peers that are asked for a tunnel, one after the other, for one connection
MAX_PEERS = 3
#: seconds for which a peer that reached a target of a service is preferred for it
REACHED_SECONDS = 10.0
#: seconds for which a peer that reaches no target of a service is not asked for it, and
#: for which one that gave no answer is asked last
FAILING_SECONDS = 2.0
#: the same for a peer that denied a tunnel
DENIED_SECONDS = 0.5
#: targets of a service that a peer failed to reach in a row, from which on the peer is
#: at fault and not the targets
FAILED_TARGETS = 2
#: seconds for which no tunnel is tried to a target that peers can't reach either
DOWN_SECONDS = 1.0
#: seconds for which a direct connection shows that the path to a service is intact
DIRECT_SECONDS = 0.5
#: seconds for which peers that were slow to answer get more time
UNANSWERED_SECONDS = 2.0
#: seconds between two probes of a service, and the share by which they vary
PROBE_SECONDS = 0.5
PROBE_JITTER = 0.2
#: most targets, and most pairs of a peer and a service, that are remembered
MAX_TARGETS = 4096
MAX_PEER_RECORDS = 4096
#: most targets in the state dump
MAX_DESCRIBED = 64


class Approach(Enum):
    """How to connect to a target."""

    #: directly only: peers can't reach the target either
    DIRECT = "direct"
    #: directly, and by a tunnel once that has failed
    DIRECT_FIRST = "direct-first"
    #: directly, and by a tunnel beside it after a short head start
    RACE = "race"
    #: by a tunnel only
    TUNNEL = "tunnel"
    #: not at all: it is bypassed, and peers can't reach it now
    NONE = "none"


@dataclass(slots=True)
class _BypassedTarget:
    service: str
    since: float
    probed_at: float


@dataclass(slots=True)
class _PeerRecord:
    """What a peer has said of one service; times in monotonic seconds."""

    reached_at: float = float("-inf")
    excluded_until: float = float("-inf")
    #: targets that it has failed to reach since it last reached one
    failed: set[Incarnation] = field(default_factory=set)


class Reachability:
    """Decides how to connect to each target, by the outcomes of earlier attempts.

    A target is bypassed from when a peer reached it although this instance could not,
    until a probe reaches it directly. A target that peers can't reach either is down:
    for :data:`DOWN_SECONDS` no tunnel is tried to it.

    :param instance_id: id of this instance
    :param data_centre: data centre of this instance
    """

    def __init__(
        self, *, instance_id: str, data_centre: str, random_source: random.Random
    ) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._random = random_source
        self._bypassed: dict[Incarnation, _BypassedTarget] = {}
        #: time until which no tunnel is tried, by target
        self._down: dict[Incarnation, float] = {}
        self._records: dict[tuple[str, str], _PeerRecord] = {}
        #: time until which a peer is asked last
        self._lost: dict[str, float] = {}
        #: time of the last direct connection, by service
        self._direct_at: dict[str, float] = {}
        #: time at which a peer had not answered in time, by service
        self._unanswered_at: dict[str, float] = {}
        #: time of the next probe, by service with bypassed targets
        self._next_probe: dict[str, float] = {}

    @property
    def is_bypassing(self) -> bool:
        """Whether any target is bypassed."""
        return bool(self._bypassed)

    def may_be_partitioned(self, service: str, now: float) -> bool:
        """Return whether tunnels to a service are worth more time than at first."""
        if self._bypassed:
            return True
        unanswered_at = self._unanswered_at.get(service, float("-inf"))
        return now - unanswered_at < UNANSWERED_SECONDS

    def is_reachable(self, incarnation: Incarnation) -> bool:
        """Return whether a direct connection to a target may succeed."""
        return incarnation not in self._bypassed

    def find_approach(
        self, incarnation: Incarnation, service: str, now: float
    ) -> Approach:
        """Return how to connect to a target of a service."""
        is_down = now < self._down.get(incarnation, float("-inf"))
        if incarnation in self._bypassed:
            return Approach.NONE if is_down else Approach.TUNNEL
        if is_down:
            return Approach.DIRECT
        if self.may_be_partitioned(service, now):
            return Approach.RACE
        return Approach.DIRECT_FIRST

    def choose_peers(
        self,
        service: str,
        members: Iterable[Member],
        now: float,
        *,
        data_centre: str = "",
        data_centres: frozenset[str] | None = None,
    ) -> tuple[str, ...]:
        """Return the peers to ask for a tunnel to a target, in order.

        :param data_centre: that of the target
        :param data_centres: those that the connection may pass; ``None``: all
        """
        ranked = []
        for member in members:
            peer_id = member.instance_id
            if member.state is not MemberState.ALIVE or peer_id == self._instance_id:
                continue
            if not is_allowed(member.data_centre, data_centres):
                continue
            if self._is_excluded(peer_id, service, now):
                continue
            is_near = member.data_centre in (self._data_centre, data_centre)
            rank = self._rank(peer_id, service, is_near, now)
            ranked.append((rank, self._random.random(), peer_id))
        ranked.sort()
        return tuple(peer_id for _, _, peer_id in ranked[:MAX_PEERS])

    def record_direct(self, incarnation: Incarnation, service: str, now: float) -> bool:
        """Record a direct connection; return whether the target was bypassed."""
        self._direct_at.pop(service, None)
        self._direct_at[service] = now
        _trim(self._direct_at, MAX_TARGETS)
        self._unanswered_at.pop(service, None)
        self._down.pop(incarnation, None)
        return self._bypassed.pop(incarnation, None) is not None

    def record_tunnel(
        self, peer_id: str, incarnation: Incarnation, service: str, now: float
    ) -> bool:
        """Record that a peer has reached a target which this instance could not.

        :return: whether the target was not bypassed before
        """
        record = self._find_record(peer_id, service)
        record.reached_at = now
        record.excluded_until = float("-inf")
        record.failed.clear()
        self._lost.pop(peer_id, None)
        self._down.pop(incarnation, None)
        if incarnation in self._bypassed:
            return False
        self._bypassed[incarnation] = _BypassedTarget(service, now, now)
        _trim(self._bypassed, MAX_TARGETS)
        if service not in self._next_probe:
            self._schedule_probe(service, now)
        return True

    def record_unreachable(
        self, peer_id: str, incarnation: Incarnation, service: str, now: float
    ) -> bool:
        """Record that a peer can't reach a target.

        Either the target is down, or the peer is partitioned from it as well. The
        former is assumed if the peer, or this instance, reaches others of the service.

        :return: whether the target counts as down, so that no further peer is asked
        """
        record = self._find_record(peer_id, service)
        record.failed.add(incarnation)
        reaches_others = (
            now - record.reached_at < REACHED_SECONDS
            and len(record.failed) < FAILED_TARGETS
        )
        if reaches_others or self._is_path_intact(service, now):
            self._mark_down(incarnation, now)
            return True
        record.reached_at = float("-inf")
        record.excluded_until = now + FAILING_SECONDS
        record.failed.clear()
        return False

    def record_denied(self, peer_id: str, service: str, now: float) -> None:
        """Record that a peer opens no tunnel for now, whatever the target."""
        record = self._find_record(peer_id, service)
        record.excluded_until = now + DENIED_SECONDS

    def record_lost_peer(self, peer_id: str, now: float) -> None:
        """Record that a peer gave no answer.

        It may only be slow for a moment, as a process under load is, so that it is
        still asked if no other peer helps.
        """
        self._lost.pop(peer_id, None)
        self._lost[peer_id] = now + FAILING_SECONDS
        _trim(self._lost, MAX_PEER_RECORDS)

    def record_unanswered(self, service: str, began: float, now: float) -> None:
        """Record that a tunnel was given up before the peer had answered.

        :param began: time at which the peer was asked
        """
        if self._direct_at.get(service, float("-inf")) >= began:
            return
        self._unanswered_at.pop(service, None)
        self._unanswered_at[service] = now
        _trim(self._unanswered_at, MAX_TARGETS)

    def record_all_failed(
        self,
        peer_ids: Iterable[str],
        incarnation: Incarnation,
        service: str,
        now: float,
    ) -> bool:
        """Record that all peers asked failed to reach a target.

        :return: whether it counts as down; else this instance is partitioned, and
            peers that were not asked may reach the target
        """
        if self._bypassed:
            return False
        for peer_id in peer_ids:
            record = self._find_record(peer_id, service)
            record.excluded_until = float("-inf")
        self._mark_down(incarnation, now)
        return True

    def forget(self, incarnation: Incarnation) -> None:
        """Forget a target that has left."""
        self._bypassed.pop(incarnation, None)
        self._down.pop(incarnation, None)

    def choose_probes(self, now: float) -> tuple[Incarnation, ...]:
        """Return the bypassed targets to connect to directly now, one a service."""
        services = {one.service for one in self._bypassed.values()}
        for service in self._next_probe.keys() - services:
            del self._next_probe[service]
        chosen = []
        for service in sorted(services):
            if now < self._next_probe.setdefault(service, now):
                continue
            candidates = self.list_bypassed(service)
            incarnation = min(
                candidates, key=lambda one: (self._bypassed[one].probed_at, one)
            )
            self._bypassed[incarnation].probed_at = now
            self._schedule_probe(service, now)
            chosen.append(incarnation)
        return tuple(chosen)

    def list_bypassed(self, service: str) -> tuple[Incarnation, ...]:
        """Return the bypassed targets of a service."""
        return tuple(
            incarnation
            for incarnation, target in self._bypassed.items()
            if target.service == service
        )

    def describe(self, now: float) -> dict[str, Any]:
        """Return the state as JSON-compatible values, bounded in size."""
        bypassed = tuple(self._bypassed.items())
        down = [one for one, until in self._down.items() if now < until]
        reaching = {
            f"{peer_id} {service}": round(now - record.reached_at, 3)
            for (peer_id, service), record in tuple(self._records.items())
            if now - record.reached_at < REACHED_SECONDS
        }
        return {
            "bypassed": {
                str(incarnation): round(now - target.since, 3)
                for incarnation, target in bypassed[:MAX_DESCRIBED]
            },
            "bypassed_targets": len(bypassed),
            "down": [str(one) for one in down[:MAX_DESCRIBED]],
            "reached_by": dict(tuple(reaching.items())[:MAX_DESCRIBED]),
        }

    def _is_path_intact(self, service: str, now: float) -> bool:
        if now - self._direct_at.get(service, float("-inf")) > DIRECT_SECONDS:
            return False
        return not any(one.service == service for one in self._bypassed.values())

    def _mark_down(self, incarnation: Incarnation, now: float) -> None:
        self._down.pop(incarnation, None)
        self._down[incarnation] = now + DOWN_SECONDS
        _trim(self._down, MAX_TARGETS)

    def _is_excluded(self, peer_id: str, service: str, now: float) -> bool:
        record = self._records.get((peer_id, service))
        return record is not None and now < record.excluded_until

    def _rank(
        self, peer_id: str, service: str, is_near: bool, now: float
    ) -> tuple[bool, bool, bool]:
        """Return the order of a peer: the lower, the earlier it is asked."""
        record = self._records.get((peer_id, service))
        has_reached = record is not None and now - record.reached_at < REACHED_SECONDS
        is_lost = now < self._lost.get(peer_id, float("-inf"))
        return is_lost, not has_reached, not (has_reached or is_near)

    def _schedule_probe(self, service: str, now: float) -> None:
        jitter = self._random.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
        self._next_probe[service] = now + PROBE_SECONDS * jitter

    def _find_record(self, peer_id: str, service: str) -> _PeerRecord:
        # reinserted at the end, so that the least recent one is dropped first
        record = self._records.pop((peer_id, service), None) or _PeerRecord()
        self._records[peer_id, service] = record
        _trim(self._records, MAX_PEER_RECORDS)
        return record


def _trim(items: dict[Any, Any], limit: int) -> None:
    """Drop the oldest item if there are more than ``limit``."""
    if len(items) > limit:
        del items[next(iter(items))]
