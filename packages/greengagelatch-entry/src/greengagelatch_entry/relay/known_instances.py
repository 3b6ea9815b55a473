"""Addresses of all instances that may exist, including those out of reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.instances import Listing
    from greengagelatch.peers import Member

__all__ = ("KnownInstances",)

#: seconds after the first listing, and after the registration, from which an up-to-date
#: view contains all instances: those that started at the same time are listed by then,
#: and have this one in their listing or their membership
SETTLING_SECONDS = 5.0


class KnownInstances:
    """Union of the instances in the registry and in the membership view.

    Stopped instances stay included for as long as the membership keeps them: during a
    network partition they can't be told from those on the other side.

    :param own: address of this instance
    :param find_registration: returns the monotonic time since which this instance is
        registered; infinite if its registration may have expired
    :param find_confirmation: returns the monotonic time at which this instance was
        last known to be up to date with the store
    :param list_members: returns the membership, the same object until it changes
    """

    def __init__(
        self,
        *,
        own: str,
        list_members: Callable[[], tuple[Member, ...]],
        find_registration: Callable[[], float],
        find_confirmation: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._own = own
        self._list_members = list_members
        self._find_registration = find_registration
        self._find_confirmation = find_confirmation
        self._clock = clock
        self._listed_at: float | None = None
        self._listed: frozenset[str] = frozenset()
        self._members: tuple[Member, ...] = ()
        self._addresses: frozenset[str] = frozenset({own})

    def apply_listing(self, listing: Listing) -> None:
        """Apply the instances that are registered."""
        if self._listed_at is None:
            self._listed_at = self._clock.now()
        self._listed = frozenset(one.address for one in listing.instances)
        self._collect()

    def find_addresses(self) -> frozenset[str] | None:
        """Return all addresses; ``None`` while they are not known well enough.

        An instance that has started without the store knows only those beside it, and
        one whose registration has expired is unknown to those that have started since.
        """
        if self._listed_at is None:
            return None
        settled_at = max(self._listed_at, self._find_registration()) + SETTLING_SECONDS
        if self._find_confirmation() < settled_at:
            return None
        if self._list_members() is not self._members:
            self._collect()
        return self._addresses

    @property
    def addresses(self) -> frozenset[str]:
        """The addresses known so far, which may lack some instances."""
        return self._addresses

    def _collect(self) -> None:
        self._members = self._list_members()
        addresses = {self._own, *self._listed}
        addresses.update(member.address for member in self._members)
        if addresses != self._addresses:
            self._addresses = frozenset(addresses)
