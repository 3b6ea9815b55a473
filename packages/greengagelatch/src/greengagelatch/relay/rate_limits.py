"""Rates that targets name as the most that they take from all instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .incarnations import Incarnation

__all__ = ("NO_RATE", "NamedRate", "RateLimits")


@dataclass(frozen=True, slots=True)
class NamedRate:
    """What one answer says of the rate that its target takes."""

    #: requests per second; ``None``: the target takes any rate
    rate: float | None = None
    #: whether the answer names a rate that can't be read: it tells nothing
    is_unreadable: bool = False


#: what an answer says that names no rate
NO_RATE = NamedRate()


class RateLimits:
    """Rates that targets have named in their answers.

    :param on_changed: called with each target that names another rate than before, and
        the rate; ``None``: it no longer names one
    """

    def __init__(
        self,
        *,
        on_changed: Callable[[Incarnation, float | None], None] = lambda *_: None,
    ) -> None:
        self._on_changed = on_changed
        self._rates: dict[Incarnation, float] = {}

    def record_answer(self, incarnation: Incarnation, named: NamedRate) -> None:
        """Record what an answer of a target says."""
        known = self._rates.get(incarnation)
        if named.is_unreadable or named.rate == known:
            return
        if named.rate is None:
            del self._rates[incarnation]
        else:
            self._rates[incarnation] = named.rate
        self._on_changed(incarnation, named.rate)

    def forget(self, incarnation: Incarnation) -> None:
        """Discard what is known of a target that is gone."""
        self._rates.pop(incarnation, None)

    def describe(self) -> dict[str, float]:
        """Return the rates for the state dump."""
        return {str(incarnation): rate for incarnation, rate in self._rates.items()}
