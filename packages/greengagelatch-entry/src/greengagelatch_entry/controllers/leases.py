"""Leases of this instance: acquires, renews and releases them."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.leases.contention import LeaseIntent, choose_intent
from greengagelatch.leases.instants import read_instant
from greengagelatch.leases.rules import LeaseRules
from greengagelatch.leases.state import LeaseState, LeaseStep
from greengagelatch.store import ABSENT

from . import Controller

if TYPE_CHECKING:
    from collections.abc import Set

    from greengagelatch.clock import Clock
    from greengagelatch.leases.instants import Instant
    from greengagelatch.peers import Member, PeerNetwork
    from greengagelatch.settings import Settings
    from greengagelatch.store import Store

    from ..metrics import Metrics

__all__ = ("LeasesController",)

logger = logging.getLogger(__name__)

#: key prefix of the leases in the store
PREFIX = "leases"

#: seconds between two checks for due calls
TICK = 0.1

#: groups shown in the state dump
MAX_SHOWN = 200


class LeasesController(Controller):
    """Holds the leases of the groups that other controllers request.

    Without a requested group, the store is not called. Each group has at most one
    call to the store in flight.

    :param longest_action: maximum duration in seconds of an action under a lease
    """

    name = "leases"

    def __init__(
        self,
        *,
        store: Store,
        peers: PeerNetwork,
        clock: Clock,
        settings: Settings,
        metrics: Metrics,
        longest_action: float,
    ) -> None:
        super().__init__()
        self._store = store
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._data_centre: str = settings["instance.data_centre"]
        self._rules = LeaseRules.create(
            ttl=settings["leases.ttl"],
            margin=settings["leases.margin"],
            longest_action=longest_action,
        )
        self._timeout: float = settings["platform.timeout"]
        self._wanted: frozenset[str] = frozenset()
        self._busy: frozenset[str] = frozenset()
        self._tenures: dict[str, LeaseState] = {}
        self._calls: dict[str, asyncio.Task[None]] = {}
        #: members for which the intents by group are cached; computing an intent
        #: hashes every member, which is too expensive for each tick
        self._ranked: tuple[Member, ...] = ()
        self._wishes: dict[str, LeaseIntent] = {}
        #: last reported number of held leases
        self._held = 0
        #: error of the last call by group, for the state dump
        self._errors: dict[str, str] = {}

    def set_desired_groups(self, groups: Set[str], *, busy: Set[str]) -> None:
        """Set the groups whose leases this instance tries to hold.

        :param busy: groups whose lease, if held, is not released now, because an
            action under it may still be running
        """
        self._wanted = frozenset(groups)
        self._busy = frozenset(busy)

    def find(self, group: str) -> LeaseState | None:
        """Return the current state of a group's lease.

        The lease may expire at any time, so callers query it again immediately
        before each action under it.
        """
        return self._tenures.get(group)

    def abandon(self, group: str) -> None:
        """Abandon the lease of a group at once; it is requested again later."""
        tenure = self._tenures.get(group)
        if tenure is None:
            return
        self._metrics.count("leases.given_up")
        self._tenures[group] = tenure.leave()

    async def on_stop(self) -> None:
        """Release held leases, so that others need not wait for their expiry."""
        self.set_desired_groups(frozenset(), busy=self._busy)
        await self._wait_calls()
        self._plan()
        await self._wait_calls()

    def dump(self) -> dict[str, Any]:
        now = read_instant(self._clock)
        groups = {}
        for group, tenure in sorted(self._tenures.items())[:MAX_SHOWN]:
            groups[group] = {
                "wish": self._choose_wish(group).value,
                "step": tenure.step.value,
                "fence": tenure.fence,
                "seconds_left": tenure.compute_remaining(now),
                "last_error": self._errors.get(group, ""),
            }
        return {"ttl": self._rules.ttl, "margin": self._rules.margin, "groups": groups}

    @Service.task
    async def _run_forever(self) -> None:
        while not self.should_stop:
            self._plan()
            # Service.sleep would create a task on each tick
            await asyncio.sleep(TICK)

    async def _wait_calls(self) -> None:
        if self._calls:
            # the leases of calls without an answer expire by their TTL
            await asyncio.wait(self._calls.values(), timeout=self._timeout)

    def _plan(self) -> None:
        now = read_instant(self._clock)
        for group in sorted(self._wanted | self._tenures.keys()):
            if group in self._calls:
                continue
            tenure = self._tenures.get(group)
            if tenure is None:
                tenure = LeaseState(
                    instance_id=self._peers.instance_id, rules=self._rules
                )
            wish = self._choose_wish(group)
            tenure = tenure.plan(now, wish)
            if wish is LeaseIntent.RELEASE and not tenure.lease_id:
                self._tenures.pop(group, None)
                self._errors.pop(group, None)
                continue
            self._tenures[group] = tenure
            if tenure.step is LeaseStep.IDLE:
                continue
            call = asyncio.create_task(self._call(group))
            self._calls[group] = call
            call.add_done_callback(lambda _, group=group: self._calls.pop(group))
        self._report_held(now)

    def _report_held(self, now: Instant) -> None:
        held = sum(
            tenure.compute_remaining(now) > 0 for tenure in self._tenures.values()
        )
        if held != self._held:
            self._held = held
            self._metrics.gauge("leases.held", held)

    def _choose_wish(self, group: str) -> LeaseIntent:
        if group in self._busy:
            return LeaseIntent.HOLD
        if group not in self._wanted:
            return LeaseIntent.RELEASE
        members = self._peers.members()
        if members is not self._ranked:
            self._ranked = members
            self._wishes.clear()
        wish = self._wishes.get(group)
        if wish is None:
            wish = self._wishes[group] = choose_intent(
                group,
                members,
                data_centre=self._data_centre,
                instance_id=self._peers.instance_id,
            )
        return wish

    async def _call(self, group: str) -> None:
        """Make the store calls of a group until none is due."""
        while True:
            tenure = self._tenures[group].begin(read_instant(self._clock))
            if tenure.step is LeaseStep.IDLE:
                return
            self._tenures[group] = tenure
            after = await self._make_call(group, tenure)
            if self._tenures[group].step is not tenure.step:
                # abandoned meanwhile; the answer must not restore the lease
                after = self._tenures[group]
            self._note_change(group, tenure, after)
            self._tenures[group] = after

    async def _make_call(self, group: str, tenure: LeaseState) -> LeaseState:
        key = f"{PREFIX}/{group}"
        match tenure.step:
            case LeaseStep.CHECK:
                found = await self._store.get(key)
                self._note_error(group, found)
                wish = self._choose_wish(group)
                return tenure.handle_check(found, read_instant(self._clock), wish)
            case LeaseStep.GRANT:
                granted = await self._store.grant_lease(self._rules.ttl)
                self._note_error(group, granted)
                return tenure.handle_grant(granted, read_instant(self._clock))
            case LeaseStep.ACQUIRE:
                written = await self._store.swap(
                    key, tenure.value, ABSENT, lease_id=tenure.lease_id
                )
                return tenure.handle_acquire(written, read_instant(self._clock))
            case LeaseStep.VERIFY:
                found = await self._store.get(key)
                self._note_error(group, found)
                return tenure.handle_verify(found, read_instant(self._clock))
            case LeaseStep.RENEW:
                kept = await self._store.renew_lease(tenure.lease_id)
                self._note_error(group, kept)
                return tenure.handle_renew(kept, read_instant(self._clock))
        await self._store.revoke_lease(tenure.lease_id)
        return tenure.handle_revoke(read_instant(self._clock))

    def _note_error(self, group: str, answer: Any) -> None:
        if answer.is_ok():
            self._errors.pop(group, None)
            return
        error = answer.err_value
        self._errors[group] = f"{error.kind.value}: {error.message}"
        self._metrics.count(f"leases.errors.{error.kind.value}")

    def _note_change(self, group: str, before: LeaseState, after: LeaseState) -> None:
        if after.held and not before.held:
            self._metrics.count("leases.acquired")
            logger.info("acquired lease of %s, fencing token %d", group, after.fence)
        if before.held and not after.held:
            self._metrics.count("leases.ended")
            logger.info("lease of %s ended, fencing token %d", group, before.fence)
