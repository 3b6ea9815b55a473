"""Directory of targets, kept up to date by polling and gossip."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import aiohttp
from mode import Service
from result import Ok

from greengagelatch.membership.backoff import compute_backoff
from greengagelatch.peers import MemberState
from greengagelatch.targets.directory import Candidate, TargetDirectory
from greengagelatch.targets.messages import LeavingQuery, TargetsLeaving
from greengagelatch.targets.polling import PollSchedule
from greengagelatch.targets.registry import (
    TargetRegistry,
    TargetRegistryChange,
    TargetRegistryRules,
)
from greengagelatch.targets.reports import parse_report

from . import Controller
from .listing import LISTING_RECEIVED

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.instances import Listing
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.settings import Settings
    from greengagelatch.targets import Target

    from ..metrics import Metrics

__all__ = ("TARGETS_CHANGED", "TARGET_LEAVING", "TargetsController")

#: emitted with the id of a target when it is known to be leaving
TARGET_LEAVING = "target-leaving"

#: emitted with the name of a service when its candidates may have changed
TARGETS_CHANGED = "targets-changed"

#: seconds between two checks for due polls
TICK = 0.2

#: maximum number of concurrent polls
MAX_POLLS = 32

#: maximum size of a load report in bytes; larger ones are discarded
MAX_REPORT_BYTES = 65_536

#: seconds without a request after which a service counts as unused
UNUSED_AFTER = 60.0

#: factor by which the poll interval of an unused service's targets is longer
UNUSED_INTERVAL_FACTOR = 10

#: gossip fan-out for leaving targets that this instance detected; a small fleet is
#: covered completely
DETECTED_FANOUT = 16

#: gossip fan-out for leaving targets that a peer reported
REPORTED_FANOUT = 3

#: maximum number of target ids in one gossip message
MAX_MESSAGE_IDS = 500

#: mean seconds between two gossip repeats of recently leaving targets
GOSSIP_REPEAT_INTERVAL = 1.0

#: gossip repeats that each instance sends for one leaving target, to one peer each
GOSSIP_REPEATS = 6

#: maximum number of target ids in the answer to a new instance
MAX_ANSWER_IDS = 5000

#: maximum length of a target id from a peer; longer ones are ignored
MAX_ID_LENGTH = 255

#: seconds to wait for a peer's list of leaving targets
QUERY_TIMEOUT = 2.0

#: back-off base in seconds for polls of an unreachable target
PROBE_BASE = 0.5


class TargetsController(Controller, TargetDirectory):
    """Merges listings, load reports, call results and gossip into one directory.

    It answers queries before it is started, and has no targets until the first
    listing. A leaving target is gossiped to peers at once; repeated messages
    compensate for lost ones.
    """

    name = "targets"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: Clock,
        random_source: random.Random,
        events: EventBus,
        settings: Settings,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._events = events
        self._metrics = metrics
        self._interval = settings["targets.load_interval"]
        self._max_probe_delay = settings["targets.probe_longest"]
        self._timeout = aiohttp.ClientTimeout(total=settings["targets.load_timeout"])
        self._registry = TargetRegistry(
            instance_id=peers.instance_id, rules=_read_rules(settings)
        )
        self._schedule = PollSchedule(
            rate=settings["targets.load_rate"], random_source=random_source
        )
        #: poll interval in seconds by target
        self._intervals: Mapping[str, float] = {}
        self._polls: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None
        #: leaving targets not yet gossiped, by whether a peer reported them
        self._pending_gossip: dict[bool, list[str]] = {False: [], True: []}
        #: remaining gossip repeats by leaving target
        self._gossip_repeats: dict[str, int] = {}
        self._next_expiry = 0.0
        events.declare(TARGET_LEAVING)
        events.declare(TARGETS_CHANGED)
        events.declare(LISTING_RECEIVED)
        events.connect(LISTING_RECEIVED, self.apply_listing)
        peers.handle(TargetsLeaving, self._receive_leaving)
        peers.handle(LeavingQuery, self._answer_query)

    # target directory

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        return self._registry.list_candidates(self._clock.now(), service)

    def accepts(self, target_id: str) -> bool:
        return self._registry.accepts(target_id)

    def mark_leaving(self, target_id: str) -> None:
        self._apply_change(self._registry.mark_leaving((target_id,)))

    def record_call(self, target_id: str, *, answered: bool) -> None:
        if answered:
            self._apply_change(self._registry.record_success(target_id))
            return
        self._metrics.count("targets.unreached_calls")
        self._apply_change(self._registry.record_failure(target_id))

    def estimate_users(self, service: str) -> float:
        """Estimate how many entry instances share one target of ``service``."""
        return self._registry.estimate_users(service)

    def find_target(self, target_id: str) -> Target | None:
        """Return a target, or ``None`` if it is leaving, gone or unknown."""
        return self._registry.find_target(target_id)

    def list_targets(self) -> tuple[tuple[Target, bool], ...]:
        """Return all targets that are not leaving, each with whether it is ejected."""
        return self._registry.list_targets()

    def list_leaving_targets(self) -> tuple[Target, ...]:
        """Return the leaving targets that are still in the platform's list."""
        return self._registry.list_leaving_targets()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the platform."""
        change = self._registry.apply_listing(listing)
        if change.stale:
            self._metrics.count("targets.stale_listings")
        self._apply_change(change)

    def dump(self) -> dict[str, Any]:
        return {**self._registry.dump(), "polls": len(self._polls)}

    # service

    async def on_start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MAX_POLLS, keepalive_timeout=15),
            timeout=self._timeout,
            trust_env=False,
        )

    async def on_stop(self) -> None:
        for poll in self._polls:
            poll.cancel()
        await asyncio.gather(*self._polls, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            self._start_polls()
            self._gossip_leaving()
            # Service.sleep would create a task on each tick, which costs more than
            # the work itself; a stop cancels this sleep
            await asyncio.sleep(TICK)

    @Service.task
    async def _repeat_gossip_forever(self) -> None:
        while not self.should_stop:
            await self.sleep(GOSSIP_REPEAT_INTERVAL * (0.5 + self._random.random()))
            self._repeat_gossip()

    @Service.task
    async def _query_leaving(self) -> None:
        while not self.should_stop:
            for peer in self._pick_peers(1):
                answer = await self._peers.ask(peer, LeavingQuery(), QUERY_TIMEOUT)
                match answer:
                    case Ok(TargetsLeaving() as message):
                        self._receive_leaving(peer, message)
                        return
            await self.sleep(1.0)

    # load reports

    def _start_polls(self) -> None:
        now = self._clock.now()
        if now >= self._next_expiry:
            self._next_expiry = now + 1.0
            self._update_instance_count()
            self._registry.expire_reports(now)
            self._update_intervals(now)
        free_slots = MAX_POLLS - len(self._polls)
        for target_id in self._schedule.take_due(now, free_slots):
            target = self._registry.find_target(target_id)
            if target is None:
                continue
            task = asyncio.create_task(self._poll(target))
            self._polls.add(task)
            task.add_done_callback(self._polls.discard)

    def _update_intervals(self, now: float) -> None:
        watched = self._registry.list_watched(now - UNUSED_AFTER)
        unused = self._interval * UNUSED_INTERVAL_FACTOR
        intervals = {
            target_id: self._interval if used else unused
            for target_id, used in watched.items()
        }
        self._intervals = intervals
        self._schedule.watch(now, intervals)

    async def _poll(self, target: Target) -> None:
        requested_at = self._clock.now()
        self._metrics.count("targets.polls")
        try:
            body = await self._fetch_report(target)
        except (TimeoutError, aiohttp.ClientError, OSError):
            self._metrics.count("targets.poll_failures")
            self._apply_change(self._registry.record_failure(target.target_id))
        else:
            self._apply_report(target, body, requested_at)
        finally:
            self._reschedule_poll(target.target_id)

    async def _fetch_report(self, target: Target) -> bytes:
        # an implicit retry by the HTTP client is harmless, as a poll is idempotent
        assert self._session is not None
        url = f"http://{target.address}/load"
        async with self._session.get(url, allow_redirects=False) as response:
            if response.headers.get("X-Target-State") == "leaving":
                self.mark_leaving(target.target_id)
            body = bytearray()
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > MAX_REPORT_BYTES:
                    return b""
            return bytes(body) if response.status == 200 else b""

    def _apply_report(self, target: Target, body: bytes, requested_at: float) -> None:
        try:
            data = json.loads(body)
        except (ValueError, RecursionError):
            data = None
        report = parse_report(data, requested_at)
        if report.leaving:
            self.mark_leaving(target.target_id)
        self._apply_change(self._registry.apply_report(target.target_id, report.load))

    def _reschedule_poll(self, target_id: str) -> None:
        failures = self._registry.count_failures(target_id)
        delay = self._intervals.get(target_id, self._interval)
        if failures:
            delay = compute_backoff(
                failures,
                base=PROBE_BASE,
                longest=self._max_probe_delay,
                random_source=self._random,
            )
        self._schedule.reschedule(self._clock.now(), target_id, delay)

    # gossip

    def _apply_change(
        self, change: TargetRegistryChange, *, from_peer: bool = False
    ) -> None:
        for target_id in change.leaving:
            self._metrics.count("targets.leaving")
            self._pending_gossip[from_peer].append(target_id)
            self._gossip_repeats[target_id] = GOSSIP_REPEATS
            self._events.emit(TARGET_LEAVING, target_id)
        for service in change.services:
            self._events.emit(TARGETS_CHANGED, service)

    def _receive_leaving(self, sender: str, message: TargetsLeaving) -> None:
        # reported ids are retained for long, so their number and length are bounded
        ids = [
            item
            for item in message.target_ids[:MAX_ANSWER_IDS]
            if isinstance(item, str) and len(item) <= MAX_ID_LENGTH
        ]
        self._apply_change(self._registry.mark_leaving(ids), from_peer=True)

    def _answer_query(self, sender: str, message: LeavingQuery) -> TargetsLeaving:
        return TargetsLeaving(self._registry.list_leaving(MAX_ANSWER_IDS))

    def _gossip_leaving(self) -> None:
        for from_peer, pending in self._pending_gossip.items():
            if not pending:
                continue
            message = TargetsLeaving(tuple(pending[:MAX_MESSAGE_IDS]))
            del pending[:MAX_MESSAGE_IDS]
            for peer in self._pick_peers(
                REPORTED_FANOUT if from_peer else DETECTED_FANOUT
            ):
                self._peers.send(peer, message)

    def _repeat_gossip(self) -> None:
        peers = self._pick_peers(1)
        if not peers or not self._gossip_repeats:
            return
        chosen = list(self._gossip_repeats)[:MAX_MESSAGE_IDS]
        self._peers.send(peers[0], TargetsLeaving(tuple(chosen)))
        for target_id in chosen:
            self._gossip_repeats[target_id] -= 1
            if self._gossip_repeats[target_id] <= 0:
                del self._gossip_repeats[target_id]

    def _update_instance_count(self) -> None:
        counted_states = (MemberState.ALIVE, MemberState.SUSPECT)
        states = [member.state for member in self._peers.members()]
        count = sum(state in counted_states for state in states)
        self._apply_change(self._registry.set_instance_count(count))

    def _pick_peers(self, count: int) -> list[str]:
        reachable = [
            member.instance_id
            for member in self._peers.members()
            if member.state is not MemberState.DEAD
            and member.instance_id != self._peers.instance_id
        ]
        return self._random.sample(reachable, min(count, len(reachable)))


def _read_rules(settings: Settings) -> TargetRegistryRules:
    return TargetRegistryRules(
        min_subset=settings["targets.subset"],
        instances_per_target=settings["targets.spread"],
        missing_listings=settings["targets.missing_listings"],
        ejection_threshold=settings["targets.failures"],
        min_candidates=settings["targets.minimum"],
        report_ttl=settings["targets.report_life"],
    )
