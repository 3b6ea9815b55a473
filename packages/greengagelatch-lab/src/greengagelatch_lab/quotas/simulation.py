"""Simulates quota ledgers with demand, lost gossip and network partitions."""

from __future__ import annotations

import random
from collections.abc import Sequence

from greengagelatch.config.effects import Quota
from greengagelatch.peers import Member, MemberState
from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.quotas import QuotaKey
from greengagelatch.quotas.ledger import QuotaLedger

__all__ = ("QuotaSimulation",)

#: gossip fan-out: peers to which an instance reports in each round
GOSSIP_FANOUT = 2


class QuotaSimulation:
    """A simulation in rounds of one second; fields may be changed between rounds.

    :param centres: data centre of each instance.
    :param loss: share of the reports that are lost.
    """

    def __init__(
        self,
        centres: Sequence[str],
        quota: Quota,
        *,
        loss: float = 0.0,
        seed: int = 1,
        hold: float = 3600.0,
        keys: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.centres = list(centres)
        self.quota = quota
        self.loss = loss
        self.now = 0.0
        self.workspaces = [f"workspace-{number}" for number in range(keys)]
        #: requests per second of each workspace at each instance
        self.demand = [0.0] * len(self.centres)
        #: data centres partitioned from all others
        self.partitioned: set[str] = set()
        #: instances that have crashed
        self.crashed: set[int] = set()
        #: bytes of reports that each instance has sent
        self.sent_bytes = [0] * len(self.centres)
        self.ledgers = [
            QuotaLedger(
                instance_id=self._name(index),
                hold=hold,
                random_source=random.Random(f"{seed} {index}"),
            )
            for index in range(len(self.centres))
        ]

    def run(self, rounds: int) -> list[int]:
        """Return the number of requests admitted in each round."""
        return [self._run_round() for _ in range(rounds)]

    def sum_shares(self, number: int = 0) -> float:
        """Return the sum of all shares of one workspace's quota."""
        key = QuotaKey(self.quota.policy, self.workspaces[number])
        uses = [
            ledger.find(key)
            for index, ledger in enumerate(self.ledgers)
            if index not in self.crashed
        ]
        return sum(use.share for use in uses if use is not None)

    def _run_round(self) -> int:
        admitted = 0
        arrivals = [
            (self.now + self.random.random(), index, workspace)
            for index in range(len(self.centres))
            if index not in self.crashed
            for workspace in self.workspaces
            for _ in range(self._draw_poisson(self.demand[index]))
        ]
        for at, index, workspace in sorted(arrivals):
            admission = self.ledgers[index].admit(self.quota, workspace, at)
            admitted += admission.admitted
        self.now += 1.0
        for index in range(len(self.centres)):
            if index not in self.crashed:
                self._refresh(index)
        return admitted

    def _refresh(self, index: int) -> None:
        ledger = self.ledgers[index]
        ledger.begin_round(self._list_members(index), self.now)
        for digest in ledger.list_digests():
            ledger.expire(digest, self.now)
        for key, _ in ledger.list_uses():
            ledger.refresh(key, self.now)
        others = [
            other
            for other in range(len(self.centres))
            if other != index and self._can_reach(index, other)
        ]
        for other in self.random.sample(others, min(GOSSIP_FANOUT, len(others))):
            frame = encode(Envelope(ledger.create_report(self.now)))
            self.sent_bytes[index] += len(frame)
            if self.random.random() >= self.loss:
                report = decode(frame).ok_value.message
                self.ledgers[other].apply_report(report, self.now)

    def _list_members(self, index: int) -> list[Member]:
        return [
            Member(
                instance_id=self._name(other),
                data_centre=self.centres[other],
                address="",
                state=(
                    MemberState.ALIVE
                    if self._can_reach(index, other)
                    else MemberState.DEAD
                ),
            )
            for other in range(len(self.centres))
        ]

    def _can_reach(self, index: int, other: int) -> bool:
        if other in self.crashed:
            return False
        ends = {self.centres[index], self.centres[other]}
        return len(ends) == 1 or not ends & self.partitioned

    def _draw_poisson(self, rate: float) -> int:
        """Return a Poisson-distributed random number with mean ``rate``."""
        count = 0
        elapsed = self.random.expovariate(rate) if rate > 0 else 2.0
        while elapsed < 1.0:
            count += 1
            elapsed += self.random.expovariate(rate)
        return count

    @staticmethod
    def _name(index: int) -> str:
        return f"entry-{index:02d}"
