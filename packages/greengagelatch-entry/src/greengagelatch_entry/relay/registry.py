"""Registration and discovery of instances through the store."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.store import ABSENT, StoreErrorKind, WriteOutcome

from ..controllers import Controller
from ..controllers.listing import LISTING_RECEIVED
from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.store import Entry
    from greengagelatch.store.ranges import Changes, RangeStore, Scan

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("RegistryController",)

#: key prefix of the entries of instances
PREFIX = "greengagelatch/instances/"
#: lease duration in seconds, after which the entry of a failed instance expires; it
#: spans several renewals
LEASE_TTL_SECONDS = 12.0
RENEW_INTERVAL_SECONDS = 4.0
#: seconds after a renewal for which the lease has certainly not expired, whatever the
#: drift of the clocks
CERTAIN_TTL_SECONDS = LEASE_TTL_SECONDS * 0.95
#: seconds between two attempts after a failed call
RETRY_SECONDS = 0.7


class RegistryController(Controller, StoreSubscriber):
    """Renews the entry of this instance and publishes the entries of the others.

    Seeds name only a few instances, and these may no longer exist. Instances with
    different seeds could form separate clusters. The symptom would be two owners of
    one service that both send calls to the same makers.
    """

    name = "registry"
    prefix = PREFIX

    def __init__(
        self,
        *,
        store: RangeStore,
        instance_id: str,
        data_centre: str,
        address: str,
        capacity: int,
        events: EventBus,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._store = store
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._address = address
        self._capacity = capacity
        self._events = events
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._lease_id = ""
        #: monotonic time in seconds until which the registration can't have expired
        self._registered_until = float("-inf")
        self._registered_at = float("inf")
        #: instances by key, each with the revision of its entry
        self._instances: dict[str, tuple[int, Instance]] = {}
        self._revision = 0
        events.declare(LISTING_RECEIVED)

    @property
    def registered_at(self) -> float:
        """Monotonic time in seconds since which this instance is registered.

        Infinite unless the registration has certainly not expired.
        """
        if self._clock.now() >= self._registered_until:
            return float("inf")
        return self._registered_at

    def list_addresses(self) -> frozenset[str]:
        """Return the addresses of the instances that are registered."""
        return frozenset(one.address for _, one in self._instances.values())

    def apply_scan(self, scan: Scan) -> None:
        self._instances = {}
        for entry in scan.entries:
            self._put(entry)
        self._publish(scan.revision)

    def apply_changes(self, changes: Changes) -> None:
        for entry in changes.written:
            self._put(entry)
        for key, _ in changes.removed:
            self._instances.pop(key, None)
        self._publish(changes.revision)

    async def on_stop(self) -> None:
        """Revoke the lease, so that other instances stop dialling this one."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)

    def dump(self) -> dict[str, Any]:
        return {
            "registered": bool(self._lease_id),
            "instances": sorted(self._instances),
            "revision": self._revision,
        }

    @Service.task
    async def _register_forever(self) -> None:
        while not self.should_stop:
            renewed = await self._renew() if self._lease_id else await self._register()
            await asyncio.sleep(RENEW_INTERVAL_SECONDS if renewed else RETRY_SECONDS)

    async def _register(self) -> bool:
        started = self._clock.now()
        granted = await self._store.grant_lease(LEASE_TTL_SECONDS)
        if isinstance(granted, Err):
            self._metrics.count("registry.errors")
            return False
        lease_id = granted.ok_value.lease_id
        value = json.dumps(
            {
                "address": self._address,
                "data_centre": self._data_centre,
                "capacity": self._capacity,
            }
        ).encode()
        key = PREFIX + self._instance_id
        written = await self._store.swap(key, value, ABSENT, lease_id=lease_id)
        if written.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
            # a conflict means that an earlier write of this process had succeeded
            self._lease_id = lease_id
            self._registered_at = self._clock.now()
            self._registered_until = started + CERTAIN_TTL_SECONDS
            self._decisions.log_state_change("registered", lease=lease_id)
            return True
        self._metrics.count("registry.errors")
        return False

    async def _renew(self) -> bool:
        started = self._clock.now()
        renewed = await self._store.renew_lease(self._lease_id)
        if not isinstance(renewed, Err):
            self._registered_until = started + CERTAIN_TTL_SECONDS
            return True
        if renewed.err_value.kind is StoreErrorKind.LEASE_GONE:
            self._decisions.log_state_change(
                "registration-lapsed", lease=self._lease_id
            )
            self._lease_id = ""
            self._registered_until = float("-inf")
        self._metrics.count("registry.errors")
        return False

    def _put(self, entry: Entry) -> None:
        try:
            fields = json.loads(entry.value)
            address, data_centre = fields["address"], fields["data_centre"]
            # entries written by earlier releases lack the capacity
            capacity = int(fields.get("capacity", 0))
        except (ValueError, KeyError, TypeError) as error:
            self._decisions.log_state_change(
                "instance-unreadable", key=entry.key, reason=str(error)
            )
            return
        instance = Instance(
            instance_id=entry.key.removeprefix(PREFIX),
            kind=InstanceKind.ENTRY,
            data_centre=str(data_centre),
            address=str(address),
            capacity=max(0, capacity),
        )
        self._instances[entry.key] = (entry.revision, instance)

    def _publish(self, revision: int) -> None:
        self._revision = max(self._revision, revision)
        newest: dict[str, tuple[int, Instance]] = {}
        for row in self._instances.values():
            # the entry of an earlier process at the same address expires only later;
            # dialling it would reach this instance itself or the new process
            address = row[1].address
            if address not in newest or newest[address][0] < row[0]:
                newest[address] = row
        instances = tuple(instance for _, instance in newest.values())
        self._events.emit(LISTING_RECEIVED, Listing(self._revision, instances))
