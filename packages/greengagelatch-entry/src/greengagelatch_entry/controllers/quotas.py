"""Distributed quotas of workspaces, shared out by the demand on each instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.peers import MemberState
from greengagelatch.peers.choice import choose_peers
from greengagelatch.quotas import Admission, QuotaKey
from greengagelatch.quotas.ledger import QuotaLedger
from greengagelatch.quotas.messages import DemandReport

from . import Controller

if TYPE_CHECKING:
    from random import Random

    from greengagelatch.clock import Clock
    from greengagelatch.config.effects import Quota
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.settings import Settings

    from ..metrics import Metrics

__all__ = ("QuotasController",)

#: seconds between two rounds
ROUND_INTERVAL = 1.0
#: peers that receive a demand report in a round
REPORT_FANOUT = 2
#: keys that are refreshed before control returns to the event loop
REFRESH_BATCH = 64
#: maximum number of keys in the state dump
MAX_DUMPED_KEYS = 100


class QuotasController(Controller):
    """Admits requests within the quotas of their workspaces.

    Each instance admits a share of a quota that follows its part of the total
    demand, so that no request waits for another instance or the store.
    """

    name = "quotas"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: Clock,
        random_source: Random,
        settings: Settings,
        metrics: Metrics,
        instance_id: str,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._ledger = QuotaLedger(
            instance_id=instance_id,
            hold=settings["quotas.hold"],
            random_source=random_source,
        )
        peers.handle(DemandReport, self._receive)

    def admit(self, quota: Quota, workspace: str) -> Admission:
        """Charge a request to its quota, or return when to retry."""
        admission = self._ledger.admit(quota, workspace, self._clock.now())
        verdict = "admitted" if admission.admitted else "refused"
        self._metrics.count(f"quotas.{verdict}")
        return admission

    def refund(self, quota: Quota, workspace: str) -> None:
        """Refund the charge of a request that was not executed."""
        usage = self._ledger.find(QuotaKey(quota.policy, workspace))
        if usage is not None:
            usage.charge_request(-1.0)
            self._metrics.count("quotas.given_back")

    def charge_tokens(self, quota: Quota, workspace: str, count: int) -> None:
        """Charge the tokens generated for a request."""
        usage = self._ledger.find(QuotaKey(quota.policy, workspace))
        if usage is not None:
            usage.charge_tokens(count)
            self._metrics.count("quotas.tokens", count)

    async def run_round(self) -> None:
        """Recompute all shares and send demand reports to a few peers."""
        ledger = self._ledger
        ledger.begin_round(self._peers.members(), self._clock.now())
        steps = [(ledger.expire, digest) for digest in ledger.list_digests()]
        steps += [(ledger.refresh, key) for key, _ in ledger.list_uses()]
        for index, (step, key) in enumerate(steps):
            if index % REFRESH_BATCH == REFRESH_BATCH - 1:
                await asyncio.sleep(0)
            step(key, self._clock.now())
        self._send_reports()
        self._metrics.gauge("quotas.keys", len(ledger))
        self._metrics.gauge("quotas.rows", ledger.rows)

    def dump(self) -> dict[str, Any]:
        ledger = self._ledger
        return {
            "alive": len(ledger.members_view.alive),
            "kept": len(ledger.members_view.reserved),
            "rows": ledger.rows,
            "settling_seconds": round(ledger.propagation_time, 1),
            "keys": len(ledger),
            "uses": {
                f"{key.policy}/{key.workspace}": {
                    "share": round(usage.share, 4),
                    "demand": round(usage.meter.rate, 2),
                    "kept_share": round(sum(usage.reserved_shares.values()), 4),
                }
                for key, usage in ledger.list_uses()[:MAX_DUMPED_KEYS]
            },
        }

    @Service.task
    async def _run_rounds(self) -> None:
        while not self.should_stop:
            await self.run_round()
            await self.sleep(ROUND_INTERVAL)

    def _send_reports(self) -> None:
        if not self._ledger.rows:
            return
        own_id = self._peers.instance_id
        others = [
            member.instance_id
            for member in self._peers.members()
            if member.state is MemberState.ALIVE and member.instance_id != own_id
        ]
        neighbours = self._peers.neighbours()
        for instance_id in choose_peers(
            others, neighbours, REPORT_FANOUT, self._random
        ):
            report = self._ledger.create_report(self._clock.now())
            self._peers.send(instance_id, report)

    def _receive(self, sender: str, report: DemandReport) -> None:
        self._ledger.apply_report(report, self._clock.now())
