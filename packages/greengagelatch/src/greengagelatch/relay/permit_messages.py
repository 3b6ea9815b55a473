"""Messages between entry instances about targets that have named a rate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..peers.codec import Message, check_rows, check_type, register
from .incarnations import Incarnation
from .rate_limits import RateLimitNews

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "RATE_LIMIT_KINDS",
    "PermitAnswer",
    "PermitRequest",
    "RateLimitsUpdate",
    "decode_rate_limits",
    "encode_rate_limits",
)

#: types of the values in a row of :func:`encode_rate_limits`
RATE_LIMIT_KINDS = (str, int, (int, float), (int, float), bool)


@register("target-limits")
@dataclass(frozen=True, slots=True)
class RateLimitsUpdate(Message):
    """Targets that have named a rate, as the sender knows."""

    #: see :func:`encode_rate_limits`
    rows: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_rows(self.rows, RATE_LIMIT_KINDS)


@register("permits-wanted")
@dataclass(frozen=True, slots=True)
class PermitRequest(Message):
    """Asks the issuer of a target's permits for some."""

    target_id: str = ""
    started_ms: int = 0
    #: permits that can be used
    count: int = 1
    #: priority rank of the most urgent request that would use them; 0 is the first
    rank: float = 0.0
    #: seconds for which the sender waits
    patience: float = 0.0
    #: what the sender knows of the target's rate; see :func:`encode_rate_limits`
    rows: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.target_id, str)
        check_type(self.started_ms, int)
        check_type(self.count, int)
        check_type(self.rank, (int, float))
        check_type(self.patience, (int, float))
        check_rows(self.rows, RATE_LIMIT_KINDS)


@register("permits")
@dataclass(frozen=True, slots=True)
class PermitAnswer(Message):
    """Answers with the permits issued."""

    count: int = 0
    #: seconds after which a permit may be issued, if none was
    wait: float = 0.0

    def __post_init__(self) -> None:
        check_type(self.count, int)
        check_type(self.wait, (int, float))


def encode_rate_limits(news: Iterable[RateLimitNews]) -> tuple[Any, ...]:
    """Return limits as rows of a message.

    A row holds the target's id and start, its rate, the seconds since it was said, and
    whether it has ended.
    """
    return tuple(
        (
            one.incarnation.target_id,
            one.incarnation.started_ms,
            one.rate,
            round(one.age, 3),
            one.has_ended,
        )
        for one in news
    )


def decode_rate_limits(rows: Iterable[Any]) -> list[RateLimitNews]:
    """Return the limits in rows of a message."""
    return [
        RateLimitNews(
            incarnation=Incarnation(target_id, started_ms),
            rate=rate,
            age=age,
            has_ended=has_ended,
        )
        for target_id, started_ms, rate, age, has_ended in rows
    ]
