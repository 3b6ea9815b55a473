"""Interface for messages between entry instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from result import Result

from .codec import Message

__all__ = (
    "Member",
    "MemberState",
    "MessageHandler",
    "PeerError",
    "PeerErrorKind",
    "PeerNetwork",
)

M = TypeVar("M", bound=Message)

#: receives the sender's instance id and the message; returns the answer, if any
MessageHandler = Callable[[str, M], Awaitable[Message | None] | Message | None]


class MemberState(Enum):
    """State of another instance, as seen by this one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """An entry instance, as seen by this instance."""

    instance_id: str
    data_centre: str
    address: str
    state: MemberState
    #: bundles of stage calls that it can collect per second, as in
    #: :attr:`Capacity.bundles`; 0: unknown
    capacity: int = 0


class PeerErrorKind(Enum):
    """Why a request to a peer has no answer."""

    #: nothing was written to a socket, or the peer closed the link with the assurance
    #: that it had not processed the message
    NOT_SENT = "not-sent"
    #: no answer was received; the peer may have processed the message
    NO_ANSWER = "no-answer"
    #: the peer answered that it did not process the message
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class PeerError:
    """A failed request to a peer."""

    kind: PeerErrorKind
    message: str
    #: whether the link was lost before the answer arrived, other than by a heartbeat
    #: time-out: the peer may be reachable over a new link
    disconnected: bool = False


class PeerNetwork(ABC):
    """Messages between entry instances."""

    @property
    @abstractmethod
    def instance_id(self) -> str:
        """Id of this instance."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return all known entry instances, this one included, sorted by id."""

    def neighbours(self) -> tuple[str, ...]:
        """Return the instances to which a link is kept open.

        A message to a neighbour needs no handshake, and a message that every instance
        forwards to its neighbours reaches the whole fleet.
        """
        return ()

    @abstractmethod
    def send(self, instance_id: str, message: Message) -> bool:
        """Queue a message without waiting; return whether it was queued.

        If no link is open, the message is queued until one has been opened. ``False``
        is returned for instances that are unknown or were recently unreachable.
        ``True`` does not guarantee delivery.
        """

    @abstractmethod
    async def ask(
        self, instance_id: str, message: Message, timeout: float
    ) -> Result[Message, PeerError]:
        """Send a request and wait up to ``timeout`` seconds for its answer."""

    @abstractmethod
    def handle(self, message_type: type[M], handler: MessageHandler[M]) -> None:
        """Register ``handler`` for messages of ``message_type`` from any peer."""
