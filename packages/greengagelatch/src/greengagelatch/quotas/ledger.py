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
BASE_PROPAGATION_TIME = 8.0
#: times that a row has to be sent to reach nearly all instances
SENDS_PER_ROW = 2
#: seconds without a request after which a key expires
IDLE_EXPIRY = 60.0
#: maximum number of tracked keys; requests of further ones are admitted uncounted
MAX_KEYS = 8192
#: longest retry-after time in seconds, as shares change meanwhile
MAX_RETRY_AFTER = 5.0


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
            return Admission(admitted=False, retry_after=min(wait, MAX_RETRY_AFTER))
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
        self._members = MembershipView(frozenset((self._own,)))
        self._tracker = MembershipTracker(instance_id, hold)
        self._table = DemandTable(self._own)
        #: instances that became reachable again in this round
        self._returned: frozenset[int] = frozenset()
        self._usages: dict[QuotaKey, QuotaUsage] = {}
        self._digests: dict[QuotaKey, int] = {}

    def __len__(self) -> int:
        return len(self._usages)

    @property
    def rows(self) -> int:
        """Number of known demand samples."""
        return len(self._table)

    @property
    def members_view(self) -> MembershipView:
        """Instances that count for the shares."""
        return self._members

    @property
    def propagation_time(self) -> float:
        """Seconds in which a change of demand propagates to all instances.

        Every instance's row of every key has to be sent in turn, also rows that are
        not known here yet, and some are sent to instances that already have them.
        """
        rows = self._table.count_keys() * len(self._members.alive)
        return BASE_PROPAGATION_TIME + SENDS_PER_ROW * rows / ROWS_PER_ROUND

    def list_uses(self) -> list[tuple[QuotaKey, QuotaUsage]]:
        """Return all keys with usage here."""
        return list(self._usages.items())

    def find(self, key: QuotaKey) -> QuotaUsage | None:
        """Return the usage of a key, ``None`` if there is none."""
        return self._usages.get(key)

    def admit(self, quota: Quota, workspace: str, now: float) -> Admission:
        """Admit a request of a workspace, or refuse it with a retry-after time."""
        key = QuotaKey(quota.policy, workspace)
        usage = self._usages.get(key)
        if usage is None:
            if len(self._usages) >= MAX_KEYS:
                return Admission(admitted=True)
            usage = self._begin(key, quota, now)
        elif usage.quota != quota:
            usage.quota = quota
            usage.set_share(usage.share, now)
        usage.last_request = now
        usage.meter.record_request()
        return usage.admit(now)

    def begin_round(self, members: Iterable[Member], now: float) -> None:
        """Update the member states; each key is to be refreshed afterwards."""
        before = self._members
        self._members = self._tracker.update(members, now)
        self._returned = before.reserved & self._members.alive

    def refresh(self, key: QuotaKey, now: float) -> None:
        """Update the local demand on a key and recompute its share."""
        usage = self._usages.get(key)
        if usage is None:
            return
        digest = self._digests[key]
        if now - usage.last_request >= IDLE_EXPIRY:
            del self._usages[key]
            del self._digests[key]
            self._table.remove(digest, self._own)
            return
        usage.meter.update(self.propagation_time, self._is_settling(usage, now), now)
        self._table.record(digest, self._own, DemandSample(usage.meter.rate, now))
        usage.set_share(self._compute_share(usage, digest, now), now)

    def create_report(self, now: float) -> DemandReport:
        """Return the next demand report for a peer."""
        return self._table.create_report(now, self._random)

    def apply_report(self, report: DemandReport, now: float) -> None:
        """Apply a peer's demand report."""
        self._table.apply_report(report, now)

    def expire(self, digest: int, now: float) -> None:
        """Remove samples of a key that are outdated or of unknown instances.

        Samples of an instance that has just become reachable again are old, but
        without them this instance would take over its share until its next report.
        """
        members_view = self._members
        lifetime = 2 * self.propagation_time
        for origin, sample in tuple(self._table.find(digest).items()):
            if origin == self._own or origin in members_view.reserved:
                continue
            if origin in self._returned:
                self._table.record(digest, origin, DemandSample(sample.rate, now))
                continue
            # an instance that leaves sends no final report
            longest = (
                lifetime if origin in members_view.leaving else IDLE_EXPIRY + lifetime
            )
            known = origin in members_view.alive or origin in members_view.leaving
            if not known or now - sample.measured_at > longest:
                self._table.remove(digest, origin)

    def list_digests(self) -> list[int]:
        """Return the digests of all keys with samples."""
        return self._table.list_keys()

    def _begin(self, key: QuotaKey, quota: Quota, now: float) -> QuotaUsage:
        usage = self._usages[key] = QuotaUsage(quota, now)
        digest = self._digests[key] = key.digest()
        usage.set_share(self._compute_share(usage, digest, now), now)
        return usage

    def _is_settling(self, usage: QuotaUsage, now: float) -> bool:
        return now - usage.created < self.propagation_time

    def _compute_share(self, usage: QuotaUsage, digest: int, now: float) -> float:
        members_view = self._members
        rows = self._table.find(digest)
        settling = self._is_settling(usage, now)
        own = usage.meter.rate if settling else usage.meter.propagated_rate
        others = sum(
            sample.rate
            for origin, sample in rows.items()
            if origin != self._own
            and (origin in members_view.alive or origin in members_view.leaving)
        )
        self._reserve_shares(usage, rows, own + others)
        inputs = ShareInputs(
            rate=usage.quota.requests_per_second or 0.0,
            own=own,
            others=others,
            alive=len(members_view.alive),
            reserved_count=len(usage.reserved_shares),
            reserved_share=sum(usage.reserved_shares.values()),
            settling=settling,
        )
        return compute_share(inputs)

    def _reserve_shares(
        self, usage: QuotaUsage, rows: dict[int, DemandSample], reached: float
    ) -> None:
        """Reserve the shares of instances just lost, as last known."""
        members_view = self._members
        usage.reserved_shares = {
            origin: share
            for origin, share in usage.reserved_shares.items()
            if origin in members_view.reserved
        }
        lost = members_view.reserved - usage.reserved_shares.keys()
        if not lost:
            return
        rates = {origin: rows[origin].rate for origin in lost if origin in rows}
        total = reached + sum(rates.values())
        count = len(members_view.alive) + len(lost)
        free = max(0.0, 1.0 - sum(usage.reserved_shares.values()))
        rate = free * (usage.quota.requests_per_second or 0.0)
        for origin in lost:
            part = compute_fraction(rates.get(origin, 0.0), total, count, rate)
            usage.reserved_shares[origin] = free * part
