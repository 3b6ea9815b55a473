"""Orders to engines: what they should hold, and what they answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from result import Result

if TYPE_CHECKING:
    from ..targets import Target

__all__ = (
    "EngineReport",
    "EngineState",
    "Order",
    "OrderAnswer",
    "OrderClient",
    "OrderGuard",
    "OrderOutcome",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine holds, and its role; a version is part of a model's name."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""

    def equals(self, other: EngineState) -> bool:
        """Whether both mean the same; the order of names does not matter."""
        return (
            set(self.models) == set(other.models)
            and set(self.adapters) == set(other.adapters)
            and self.role == other.role
        )


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own word on its state, and the number of the last order."""

    state: EngineState
    #: fencing number of the order that led to ``state``; 0: none
    fence: int


@dataclass(frozen=True, slots=True)
class Order:
    """The state an engine is to bring about; giving it twice is harmless."""

    fence: int
    wanted: EngineState


class OrderOutcome(Enum):
    """What is known of an order."""

    #: the engine says that it was carried out
    DONE = "done"
    #: the engine has had an order with a higher number
    OLD_FENCE = "old-fence"
    #: the engine can't carry it out, and did nothing
    REFUSED = "refused"
    #: certainly not sent: the guard forbade it, or there was no connection
    NOT_SENT = "not-sent"
    #: the answer is lost or can't be read; only reading back can settle it
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderAnswer:
    """Outcome of an order."""

    outcome: OrderOutcome
    message: str = ""


#: asked right before the first byte of an order is handed to a socket; ``False``
#: forbids it
OrderGuard = Callable[[], bool]


class OrderClient(ABC):
    """Gives orders to engines; an implementation never repeats one by itself."""

    @abstractmethod
    async def give(
        self, target: Target, order: Order, guard: OrderGuard
    ) -> OrderAnswer:
        """Give one order, unless ``guard`` forbids it at the moment of sending."""

    @abstractmethod
    async def read(self, target: Target) -> Result[EngineReport, str]:
        """Return an engine's state; the error is a reason in words."""
