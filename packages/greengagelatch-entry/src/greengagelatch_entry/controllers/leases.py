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
KEY_PREFIX = "leases"

#: seconds between two checks for due calls
TICK = 0.1

#: groups shown in the state dump
MAX_DUMPED_GROUPS = 200


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
        self._desired: frozenset[str] = frozenset()
        self._busy: frozenset[str] = frozenset()
        self._states: dict[str, LeaseState] = {}
        self._calls: dict[str, asyncio.Task[None]] = {}
        #: members for which the intents by group are cached; computing an intent
        #: hashes every member, which is too expensive for each tick
        self._ranked_members: tuple[Member, ...] = ()
        self._intents: dict[str, LeaseIntent] = {}
        #: last reported number of held leases
        self._reported_held = 0
        #: error of the last call by group, for the state dump
        self._errors: dict[str, str] = {}

    def set_desired_groups(self, groups: Set[str], *, busy: Set[str]) -> None:
        """Set the groups whose leases this instance tries to hold.

        :param busy: groups whose lease, if held, is not released now, because an
            action under it may still be running
        """
        self._desired = frozenset(groups)
        self._busy = frozenset(busy)

    def find(self, group: str) -> LeaseState | None:
        """Return the current state of a group's lease.

        The lease may expire at any time, so callers query it again immediately
        before each action under it.
        """
        return self._states.get(group)

    def abandon(self, group: str) -> None:
        """Stop acting under the lease of a group at once and acquire it anew later."""
        lease_state = self._states.get(group)
        if lease_state is None:
            return
        self._metrics.count("leases.given_up")
        self._states[group] = lease_state.leave()

    async def on_stop(self) -> None:
        """Release held leases, so that others need not wait for their expiry."""
        self.set_desired_groups(frozenset(), busy=self._busy)
        await self._wait_calls()
        self._plan()
        await self._wait_calls()

    def dump(self) -> dict[str, Any]:
        now = read_instant(self._clock)
        groups = {}
        for group, lease_state in sorted(self._states.items())[:MAX_DUMPED_GROUPS]:
            groups[group] = {
                "wish": self._choose_intent(group).value,
                "step": lease_state.step.value,
                "fence": lease_state.fence,
                "seconds_left": lease_state.compute_remaining(now),
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
        for group in sorted(self._desired | self._states.keys()):
            if group in self._calls:
                continue
            lease_state = self._states.get(group)
            if lease_state is None:
                lease_state = LeaseState(
                    instance_id=self._peers.instance_id, rules=self._rules
                )
            intent = self._choose_intent(group)
            lease_state = lease_state.plan(now, intent)
            if intent is LeaseIntent.RELEASE and not lease_state.lease_id:
                self._states.pop(group, None)
                self._errors.pop(group, None)
                continue
            self._states[group] = lease_state
            if lease_state.step is LeaseStep.IDLE:
                continue
            call = asyncio.create_task(self._call(group))
            self._calls[group] = call
            call.add_done_callback(lambda _, group=group: self._calls.pop(group))
        self._report_held(now)

    def _report_held(self, now: Instant) -> None:
        held = sum(
            lease_state.compute_remaining(now) > 0
            for lease_state in self._states.values()
        )
        if held != self._reported_held:
            self._reported_held = held
            self._metrics.gauge("leases.held", held)

    def _choose_intent(self, group: str) -> LeaseIntent:
        if group in self._busy:
            return LeaseIntent.HOLD
        if group not in self._desired:
            return LeaseIntent.RELEASE
        members = self._peers.members()
        if members is not self._ranked_members:
            self._ranked_members = members
            self._intents.clear()
        intent = self._intents.get(group)
        if intent is None:
            intent = self._intents[group] = choose_intent(
                group,
                members,
                data_centre=self._data_centre,
                instance_id=self._peers.instance_id,
            )
        return intent

    async def _call(self, group: str) -> None:
        """Make the store calls of a group until none is due."""
        while True:
            lease_state = self._states[group].begin(read_instant(self._clock))
            if lease_state.step is LeaseStep.IDLE:
                return
            self._states[group] = lease_state
            after = await self._make_call(group, lease_state)
            if self._states[group].step is not lease_state.step:
                # abandoned meanwhile; the answer must not restore the lease
                after = self._states[group]
            self._record_transition(group, lease_state, after)
            self._states[group] = after

    async def _make_call(self, group: str, lease_state: LeaseState) -> LeaseState:
        key = f"{KEY_PREFIX}/{group}"
        match lease_state.step:
            case LeaseStep.CHECK:
                found = await self._store.get(key)
                self._record_error(group, found)
                intent = self._choose_intent(group)
                return lease_state.handle_check(
                    found, read_instant(self._clock), intent
                )
            case LeaseStep.GRANT:
                granted = await self._store.grant_lease(self._rules.ttl)
                self._record_error(group, granted)
                return lease_state.handle_grant(granted, read_instant(self._clock))
            case LeaseStep.ACQUIRE:
                written = await self._store.swap(
                    key, lease_state.value, ABSENT, lease_id=lease_state.lease_id
                )
                return lease_state.handle_acquire(written, read_instant(self._clock))
            case LeaseStep.VERIFY:
                found = await self._store.get(key)
                self._record_error(group, found)
                return lease_state.handle_verify(found, read_instant(self._clock))
            case LeaseStep.RENEW:
                renewed = await self._store.renew_lease(lease_state.lease_id)
                self._record_error(group, renewed)
                return lease_state.handle_renew(renewed, read_instant(self._clock))
        await self._store.revoke_lease(lease_state.lease_id)
        return lease_state.handle_revoke(read_instant(self._clock))

    def _record_error(self, group: str, answer: Any) -> None:
        if answer.is_ok():
            self._errors.pop(group, None)
            return
        error = answer.err_value
        self._errors[group] = f"{error.kind.value}: {error.message}"
        self._metrics.count(f"leases.errors.{error.kind.value}")

    def _record_transition(
        self, group: str, before: LeaseState, after: LeaseState
    ) -> None:
        if after.held and not before.held:
            self._metrics.count("leases.acquired")
            logger.info("acquired lease of %s, fencing token %d", group, after.fence)
        if before.held and not after.held:
            self._metrics.count("leases.ended")
            logger.info("lease of %s ended, fencing token %d", group, before.fence)
