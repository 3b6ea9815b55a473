"""Interface to the other entry instances."""

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

#: gets the sender's instance id and the message; returns the answer, if any
MessageHandler = Callable[[str, M], Awaitable[Message | None] | Message | None]


class MemberState(Enum):
    """What this instance believes of another one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """An entry instance as this instance sees it."""

    instance_id: str
    data_centre: str
    address: str
    state: MemberState
    #: stage work that it can gather, as :attr:`Capacity.bundles` says; 0: not told
    capacity: int = 0


class PeerErrorKind(Enum):
    """Why a peer gave no answer."""

    #: nothing was handed to a socket, or the peer ended the link with its word that it
    #: took nothing more up
    NOT_SENT = "not-sent"
    #: the peer may have acted on the message
    NO_ANSWER = "no-answer"
    #: the peer's word that it did not act on the message
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class PeerError:
    """A question to a peer that has no answer."""

    kind: PeerErrorKind
    message: str
    #: the link broke before the answer came, and not for its silence: the peer may
    #: well be reached over another one
    disconnected: bool = False


class PeerNetwork(ABC):
    """Messages between entry instances."""

    @property
    @abstractmethod
    def instance_id(self) -> str:
        """Id of this instance."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return all known entry instances, this one included, by id."""

    def neighbours(self) -> tuple[str, ...]:
        """Return the instances to which a link is kept open, if any are.

        A message to one of them costs no handshake, and what each passes on to its
        neighbours reaches every instance.
        """
        return ()

    @abstractmethod
    def send(self, instance_id: str, message: Message) -> bool:
        """Queue a message without waiting; ``False`` if there is no way to it.

        Where no link is open, one is opened and the message waits for it; ``False``
        is returned for unknown instances and those lately out of reach. ``True``
        does not mean that the message arrives.
        """

    @abstractmethod
    async def ask(
        self, instance_id: str, message: Message, timeout: float
    ) -> Result[Message, PeerError]:
        """Send a message and wait ``timeout`` seconds for its answer."""

    @abstractmethod
    def handle(self, message_type: type[M], handler: MessageHandler[M]) -> None:
        """Call ``handler`` for each message of that type from any peer."""
