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

#: seconds after its last request from which a service counts as unused
USED_LATELY = 60.0

#: factor by which the poll interval of an unused service's targets is longer
UNUSED_FACTOR = 10

#: gossip fan-out for leaving targets that this instance detected; a small fleet is
#: covered completely
FANOUT_FOUND = 16

#: gossip fan-out for leaving targets that a peer reported
FANOUT_HEARD = 3

#: maximum number of target ids in one gossip message
MAX_TOLD = 500

#: mean seconds between two gossip repeats of recently leaving targets
REMIND_INTERVAL = 1.0

#: gossip repeats that each instance sends for one leaving target, to one peer each
REMINDERS = 6

#: maximum number of target ids in the answer to a new instance
MAX_ANSWERED = 5000

#: maximum length of a target id from a peer; longer ones are ignored
MAX_ID = 255

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
        self._probe_longest = settings["targets.probe_longest"]
        self._timeout = aiohttp.ClientTimeout(total=settings["targets.load_timeout"])
        self._ledger = TargetRegistry(
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
        self._untold: dict[bool, list[str]] = {False: [], True: []}
        #: remaining gossip repeats by leaving target
        self._reminders: dict[str, int] = {}
        self._next_expiry = 0.0
        events.declare(TARGET_LEAVING)
        events.declare(TARGETS_CHANGED)
        events.declare(LISTING_RECEIVED)
        events.connect(LISTING_RECEIVED, self.apply_listing)
        peers.handle(TargetsLeaving, self._hear_leaving)
        peers.handle(LeavingQuery, self._answer_query)

    # target directory

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        return self._ledger.list_candidates(self._clock.now(), service)

    def accepts(self, target_id: str) -> bool:
        return self._ledger.accepts(target_id)

    def mark_leaving(self, target_id: str) -> None:
        self._take(self._ledger.mark_leaving((target_id,)))

    def record_call(self, target_id: str, *, answered: bool) -> None:
        if answered:
            self._take(self._ledger.record_success(target_id))
            return
        self._metrics.count("targets.unreached_calls")
        self._take(self._ledger.record_failure(target_id))

    def estimate_users(self, service: str) -> float:
        """Estimate how many entry instances share one target of ``service``."""
        return self._ledger.estimate_users(service)

    def list_targets(self) -> tuple[tuple[Target, bool], ...]:
        """Return all targets that are not leaving, each with whether it is ejected."""
        return self._ledger.list_targets()

    def list_leaving_targets(self) -> tuple[Target, ...]:
        """Return the leaving targets that are still in the platform's list."""
        return self._ledger.list_leaving_targets()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the platform."""
        change = self._ledger.apply_listing(listing)
        if change.stale:
            self._metrics.count("targets.stale_listings")
        self._take(change)

    def dump(self) -> dict[str, Any]:
        return {**self._ledger.dump(), "polls": len(self._polls)}

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
            self._tell_peers()
            # Service.sleep would create a task on each tick, which costs more than
            # the work itself; a stop cancels this sleep
            await asyncio.sleep(TICK)

    @Service.task
    async def _remind_forever(self) -> None:
        while not self.should_stop:
            await self.sleep(REMIND_INTERVAL * (0.5 + self._random.random()))
            self._remind_peer()

    @Service.task
    async def _query_once(self) -> None:
        while not self.should_stop:
            for peer in self._pick_peers(1):
                answer = await self._peers.ask(peer, LeavingQuery(), QUERY_TIMEOUT)
                match answer:
                    case Ok(TargetsLeaving() as message):
                        self._hear_leaving(peer, message)
                        return
            await self.sleep(1.0)

    # load reports

    def _start_polls(self) -> None:
        now = self._clock.now()
        if now >= self._next_expiry:
            self._next_expiry = now + 1.0
            self._count_instances()
            self._ledger.expire_reports(now)
            self._watch(now)
        room = MAX_POLLS - len(self._polls)
        for target_id in self._schedule.take_due(now, room):
            target = self._ledger.find_target(target_id)
            if target is None:
                continue
            task = asyncio.create_task(self._poll(target))
            self._polls.add(task)
            task.add_done_callback(self._polls.discard)

    def _watch(self, now: float) -> None:
        watched = self._ledger.list_watched(now - USED_LATELY)
        unused = self._interval * UNUSED_FACTOR
        intervals = {
            target_id: self._interval if used else unused
            for target_id, used in watched.items()
        }
        self._intervals = intervals
        self._schedule.watch(now, intervals)

    async def _poll(self, target: Target) -> None:
        asked = self._clock.now()
        self._metrics.count("targets.polls")
        try:
            body = await self._fetch_report(target)
        except (TimeoutError, aiohttp.ClientError, OSError):
            self._metrics.count("targets.poll_failures")
            self._take(self._ledger.record_failure(target.target_id))
        else:
            self._take_report(target, body, asked)
        finally:
            self._plan_poll(target.target_id)

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

    def _take_report(self, target: Target, body: bytes, asked: float) -> None:
        try:
            data = json.loads(body)
        except (ValueError, RecursionError):
            data = None
        report = parse_report(data, asked)
        if report.leaving:
            self.mark_leaving(target.target_id)
        self._take(self._ledger.apply_report(target.target_id, report.load))

    def _plan_poll(self, target_id: str) -> None:
        failures = self._ledger.count_failures(target_id)
        delay = self._intervals.get(target_id, self._interval)
        if failures:
            delay = compute_backoff(
                failures,
                base=PROBE_BASE,
                longest=self._probe_longest,
                random_source=self._random,
            )
        self._schedule.reschedule(self._clock.now(), target_id, delay)

    # gossip

    def _take(self, change: TargetRegistryChange, *, heard: bool = False) -> None:
        for target_id in change.leaving:
            self._metrics.count("targets.leaving")
            self._untold[heard].append(target_id)
            self._reminders[target_id] = REMINDERS
            self._events.emit(TARGET_LEAVING, target_id)
        for service in change.services:
            self._events.emit(TARGETS_CHANGED, service)

    def _hear_leaving(self, sender: str, message: TargetsLeaving) -> None:
        # reported ids are retained for long, so their number and length are bounded
        ids = [
            item
            for item in message.target_ids[:MAX_ANSWERED]
            if isinstance(item, str) and len(item) <= MAX_ID
        ]
        self._take(self._ledger.mark_leaving(ids), heard=True)

    def _answer_query(self, sender: str, message: LeavingQuery) -> TargetsLeaving:
        return TargetsLeaving(self._ledger.list_leaving(MAX_ANSWERED))

    def _tell_peers(self) -> None:
        for heard, untold in self._untold.items():
            if not untold:
                continue
            message = TargetsLeaving(tuple(untold[:MAX_TOLD]))
            del untold[:MAX_TOLD]
            for peer in self._pick_peers(FANOUT_HEARD if heard else FANOUT_FOUND):
                self._peers.send(peer, message)

    def _remind_peer(self) -> None:
        peers = self._pick_peers(1)
        if not peers or not self._reminders:
            return
        chosen = list(self._reminders)[:MAX_TOLD]
        self._peers.send(peers[0], TargetsLeaving(tuple(chosen)))
        for target_id in chosen:
            self._reminders[target_id] -= 1
            if self._reminders[target_id] <= 0:
                del self._reminders[target_id]

    def _count_instances(self) -> None:
        working = (MemberState.ALIVE, MemberState.SUSPECT)
        states = [member.state for member in self._peers.members()]
        number = sum(state in working for state in states)
        self._take(self._ledger.set_instance_count(number))

    def _pick_peers(self, number: int) -> list[str]:
        reachable = [
            member.instance_id
            for member in self._peers.members()
            if member.state is not MemberState.DEAD
            and member.instance_id != self._peers.instance_id
        ]
        return self._random.sample(reachable, min(number, len(reachable)))


def _read_rules(settings: Settings) -> TargetRegistryRules:
    return TargetRegistryRules(
        min_subset=settings["targets.subset"],
        instances_per_target=settings["targets.spread"],
        missing_listings=settings["targets.missing_listings"],
        ejection_threshold=settings["targets.failures"],
        min_candidates=settings["targets.minimum"],
        report_ttl=settings["targets.report_life"],
    )
