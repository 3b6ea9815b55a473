"""Quota ledger: local usage of quotas, and shares by the demand of all instances."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from ..config.effects import Quota
from ..peers import Member
from . import Admission, QuotaKey, digest_text
from .demand import DemandMeter
from .demand_table import ROWS_PER_ROUND, DemandSample, DemandTable
from .membership import MembershipTracker, MembershipView
from .messages import DemandReport
from .shares import ShareInputs, compute_fraction, compute_share
from .token_bucket import TokenBucket

__all__ = ("QuotaLedger", "QuotaUsage")

#: seconds in which reports of few keys reach nearly all instances
SETTLING = 8.0
#: times that a row has to be sent to reach nearly all instances
TIMES_TOLD = 2
#: seconds without a request after which a key expires
IDLE = 60.0
#: maximum number of tracked keys; requests of further ones are admitted uncounted
MAX_KEYS = 8192
#: longest retry-after time in seconds, as shares change meanwhile
LONGEST_RETRY = 5.0


class QuotaUsage:
    """Usage of one quota by one workspace at this instance."""

    def __init__(self, quota: Quota, now: float) -> None:
        self.quota = quota
        self.meter = DemandMeter(now)
        self.share = 0.0
        self.created = now
        self.last_request = now
        #: shares reserved for unreachable instances, by their digests
        self.reserved_shares: dict[int, float] = {}
        self._requests: TokenBucket | None = None
        self._tokens: TokenBucket | None = None

    def set_share(self, share: float, now: float) -> None:
        """Change the share; a new bucket starts full."""
        self.share = share
        self._requests = self._adjust(
            self._requests, self.quota.requests_per_second, now
        )
        self._tokens = self._adjust(self._tokens, self.quota.tokens_per_second, now)

    def admit(self, now: float) -> Admission:
        """Charge a request, or refuse it with a retry-after time."""
        wait = 0.0
        if self._requests is not None:
            wait = self._requests.measure_wait(1.0, now)
        if self._tokens is not None:
            # the tokens of a request are not known in advance
            wait = max(wait, self._tokens.measure_wait(1.0, now))
        if wait > 0:
            return Admission(admitted=False, retry_after=min(wait, LONGEST_RETRY))
        self.charge_request(1.0)
        return Admission(admitted=True)

    def charge_request(self, amount: float) -> None:
        """Charge requests, or refund them if ``amount`` is negative."""
        if self._requests is not None:
            self._requests.spend(amount)

    def charge_tokens(self, count: int) -> None:
        """Charge generated tokens; the bucket may be overdrawn."""
        if self._tokens is not None:
            self._tokens.spend(count)

    def _adjust(
        self, bucket: TokenBucket | None, rate: float | None, now: float
    ) -> TokenBucket | None:
        if rate is None:
            return None
        if bucket is None:
            return TokenBucket(rate * self.share, self.quota.burst_seconds, now)
        bucket.set_rate(rate * self.share, self.quota.burst_seconds, now)
        return bucket


class QuotaLedger:
    """Admits requests by quota, and exchanges demand with other instances.

    :param hold: seconds for which the shares of an unreachable data centre stay
        reserved.
    """

    def __init__(self, *, instance_id: str, hold: float, random_source: Random) -> None:
        self._own = digest_text(instance_id)
        self._random = random_source
        self._roster = MembershipView(frozenset((self._own,)))
        self._keeper = MembershipTracker(instance_id, hold)
        self._sightings = DemandTable(self._own)
        #: instances that became reachable again in this round
        self._returned: frozenset[int] = frozenset()
        self._uses: dict[QuotaKey, QuotaUsage] = {}
        self._digests: dict[QuotaKey, int] = {}

    def __len__(self) -> int:
        return len(self._uses)

    @property
    def rows(self) -> int:
        """Number of known demand samples."""
        return len(self._sightings)

    @property
    def members_view(self) -> MembershipView:
        """Instances that count for the shares."""
        return self._roster

    @property
    def propagation_time(self) -> float:
        """Seconds in which a change of demand propagates to all instances.

        Every instance's row of every key has to be sent in turn, also rows that are
        not known here yet, and some are sent to instances that already have them.
        """
        rows = self._sightings.count_keys() * len(self._roster.alive)
        return SETTLING + TIMES_TOLD * rows / ROWS_PER_ROUND

    def list_uses(self) -> list[tuple[QuotaKey, QuotaUsage]]:
        """Return all keys with usage here."""
        return list(self._uses.items())

    def find(self, key: QuotaKey) -> QuotaUsage | None:
        """Return the usage of a key, ``None`` if there is none."""
        return self._uses.get(key)

    def admit(self, quota: Quota, workspace: str, now: float) -> Admission:
        """Admit a request of a workspace, or refuse it with a retry-after time."""
        key = QuotaKey(quota.policy, workspace)
        use = self._uses.get(key)
        if use is None:
            if len(self._uses) >= MAX_KEYS:
                return Admission(admitted=True)
            use = self._begin(key, quota, now)
        elif use.quota != quota:
            use.quota = quota
            use.set_share(use.share, now)
        use.last_request = now
        use.meter.record_request()
        return use.admit(now)

    def begin_round(self, members: Iterable[Member], now: float) -> None:
        """Update the member states; each key is to be refreshed afterwards."""
        before = self._roster
        self._roster = self._keeper.update(members, now)
        self._returned = before.reserved & self._roster.alive

    def refresh(self, key: QuotaKey, now: float) -> None:
        """Update the local demand on a key and recompute its share."""
        use = self._uses.get(key)
        if use is None:
            return
        digest = self._digests[key]
        if now - use.last_request >= IDLE:
            del self._uses[key]
            del self._digests[key]
            self._sightings.remove(digest, self._own)
            return
        use.meter.update(self.propagation_time, self._is_young(use, now), now)
        self._sightings.record(digest, self._own, DemandSample(use.meter.rate, now))
        use.set_share(self._compute_share(use, digest, now), now)

    def create_report(self, now: float) -> DemandReport:
        """Return the next demand report for a peer."""
        return self._sightings.create_report(now, self._random)

    def apply_report(self, report: DemandReport, now: float) -> None:
        """Apply a peer's demand report."""
        self._sightings.apply_report(report, now)

    def expire(self, digest: int, now: float) -> None:
        """Remove samples of a key that are outdated or of unknown instances.

        Samples of an instance that has just become reachable again are old, but
        without them this instance would take over its share until its next report.
        """
        roster = self._roster
        lifetime = 2 * self.propagation_time
        for origin, sighting in tuple(self._sightings.find(digest).items()):
            if origin == self._own or origin in roster.reserved:
                continue
            if origin in self._returned:
                self._sightings.record(digest, origin, DemandSample(sighting.rate, now))
                continue
            # an instance that leaves sends no final report
            longest = lifetime if origin in roster.leaving else IDLE + lifetime
            known = origin in roster.alive or origin in roster.leaving
            if not known or now - sighting.measured_at > longest:
                self._sightings.remove(digest, origin)

    def list_digests(self) -> list[int]:
        """Return the digests of all keys with samples."""
        return self._sightings.list_keys()

    def _begin(self, key: QuotaKey, quota: Quota, now: float) -> QuotaUsage:
        use = self._uses[key] = QuotaUsage(quota, now)
        digest = self._digests[key] = key.digest()
        use.set_share(self._compute_share(use, digest, now), now)
        return use

    def _is_young(self, use: QuotaUsage, now: float) -> bool:
        return now - use.created < self.propagation_time

    def _compute_share(self, use: QuotaUsage, digest: int, now: float) -> float:
        roster = self._roster
        rows = self._sightings.find(digest)
        young = self._is_young(use, now)
        own = use.meter.rate if young else use.meter.propagated_rate
        others = sum(
            sighting.rate
            for origin, sighting in rows.items()
            if origin != self._own
            and (origin in roster.alive or origin in roster.leaving)
        )
        self._keep_shares(use, rows, own + others)
        facts = ShareInputs(
            rate=use.quota.requests_per_second or 0.0,
            own=own,
            others=others,
            alive=len(roster.alive),
            reserved_count=len(use.reserved_shares),
            reserved_share=sum(use.reserved_shares.values()),
            settling=young,
        )
        return compute_share(facts)

    def _keep_shares(
        self, use: QuotaUsage, rows: dict[int, DemandSample], reached: float
    ) -> None:
        """Reserve the shares of instances just lost, as last known."""
        roster = self._roster
        use.reserved_shares = {
            origin: share
            for origin, share in use.reserved_shares.items()
            if origin in roster.reserved
        }
        lost = roster.reserved - use.reserved_shares.keys()
        if not lost:
            return
        rates = {origin: rows[origin].rate for origin in lost if origin in rows}
        total = reached + sum(rates.values())
        count = len(roster.alive) + len(lost)
        free = max(0.0, 1.0 - sum(use.reserved_shares.values()))
        rate = free * (use.quota.requests_per_second or 0.0)
        for origin in lost:
            part = compute_fraction(rates.get(origin, 0.0), total, count, rate)
            use.reserved_shares[origin] = free * part
