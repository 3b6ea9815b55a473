"""Orders to engines: the models and the role that each is to have."""

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
    """Loaded models and adapters, and the role; model names include the version."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""

    def equals(self, other: EngineState) -> bool:
        """Compare two states, ignoring the order of names."""
        return (
            set(self.models) == set(other.models)
            and set(self.adapters) == set(other.adapters)
            and self.role == other.role
        )


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports, and the fencing token of its last order."""

    state: EngineState
    #: fencing token of the order that led to ``state``; 0 if there was none
    fence: int


@dataclass(frozen=True, slots=True)
class Order:
    """Desired state of an engine; applying an order is idempotent."""

    fence: int
    desired: EngineState


class OrderOutcome(Enum):
    """Outcome of an order, as far as it is known."""

    #: the engine confirms that it was carried out
    DONE = "done"
    #: the engine has received an order with a higher fencing token
    OLD_FENCE = "old-fence"
    #: the engine can't carry it out and changed nothing
    REFUSED = "refused"
    #: not sent: the guard rejected it, or there was no connection
    NOT_SENT = "not-sent"
    #: the answer is lost or invalid; only reading the engine's state can resolve it
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderAnswer:
    """Outcome of an order, with the engine's message or the error."""

    outcome: OrderOutcome
    message: str = ""


#: called immediately before the first byte of an order is written to a socket;
#: ``False`` prevents that
OrderGuard = Callable[[], bool]


class OrderClient(ABC):
    """Sends orders to engines; implementations must never retry one."""

    @abstractmethod
    async def send(
        self, target: Target, order: Order, guard: OrderGuard
    ) -> OrderAnswer:
        """Send one order, unless ``guard`` rejects it at the moment of sending."""

    @abstractmethod
    async def read(self, target: Target) -> Result[EngineReport, str]:
        """Return an engine's state; the error is a reason for people to read."""
