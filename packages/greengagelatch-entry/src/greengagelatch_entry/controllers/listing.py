"""Polling of the platform's list of instances on behalf of all controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err, Ok

from greengagelatch.peers import MemberState

from ..listing_exchange import ListingExchange
from . import Controller

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.events import EventBus
    from greengagelatch.instances import InstanceList, Listing
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.setting_values import Settings

    from ..metrics import Metrics

__all__ = ("LISTING_RECEIVED", "ListingController")

#: emitted with a :class:`~greengagelatch.instances.Listing` after each poll, even if
#: the list is unchanged
LISTING_RECEIVED = "listing-received"

#: jitter as a fraction of the interval, so that instances do not poll in lockstep
JITTER = 0.25


class ListingController(Controller):
    """Polls the list of instances at an interval that grows with the fleet.

    The platform meters each call, and its capacity grows more slowly than the fleet.
    All entry instances together therefore make at most ``platform.instances_rate``
    calls per second; each of them gossips the leaving instances that it discovers.

    An instance that cannot read the list requests it from a peer. A data centre
    partitioned from the platform thus still discovers new targets, and so does an
    instance that is started during an outage of the platform.
    """

    name = "listing"

    def __init__(
        self,
        *,
        instance_list: InstanceList,
        peers: PeerNetwork,
        clock: Clock,
        random_source: random.Random,
        events: EventBus,
        settings: Settings,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._instance_list = instance_list
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._events = events
        self._metrics = metrics
        self._interval = settings["platform.instances_interval"]
        self._rate = settings["platform.instances_rate"]
        self._newest: Listing | None = None
        self._received_at = clock.now()
        self._error = ""
        self._exchange = ListingExchange(
            peers=peers,
            clock=clock,
            random_source=random_source,
            metrics=metrics,
            get_newest=lambda: self._newest,
        )
        events.declare(LISTING_RECEIVED)

    @property
    def listing(self) -> Listing | None:
        """The newest listing, from the platform or from a peer."""
        return self._newest

    async def refresh(self) -> None:
        """Read the list once, falling back to a peer."""
        match await self._instance_list.fetch():
            case Ok(listing):
                self._error = ""
                self._received_at = self._clock.now()
                self._apply(listing)
            case Err(error):
                self._error = f"{error.kind.value}: {error.message}"
                self._metrics.count(f"instances.errors.{error.kind.value}")
                await self._fetch_from_peer()

    def compute_interval(self) -> float:
        """Return the seconds until the next poll, without jitter."""
        fleet_size = sum(
            member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            for member in self._peers.members()
        )
        return max(self._interval, fleet_size / self._rate)

    def dump(self) -> dict[str, Any]:
        newest = self._newest
        return {
            "as_of": None if newest is None else newest.as_of,
            "instances": 0 if newest is None else len(newest.instances),
            "seconds_since_reading": self._clock.now() - self._received_at,
            "interval": self.compute_interval(),
            "last_error": self._error,
            "learnt_from": self._exchange.learnt_from,
        }

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            await self.refresh()
            factor = 1 - JITTER + 2 * JITTER * self._random.random()
            await self.sleep(self.compute_interval() * factor)

    async def _fetch_from_peer(self) -> None:
        listing = await self._exchange.fetch()
        if listing is not None:
            self._metrics.count("instances.learnt_from_peers")
            self._apply(listing)

    def _apply(self, listing: Listing) -> None:
        if self._newest is not None and listing.as_of < self._newest.as_of:
            # the replicas that serve the list may lag behind each other
            self._metrics.count("instances.older_listings")
            return
        self._newest = listing
        self._events.emit(LISTING_RECEIVED, listing)
