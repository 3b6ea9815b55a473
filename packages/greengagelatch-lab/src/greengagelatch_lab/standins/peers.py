"""In-process network of entry instances with fault injection."""

from __future__ import annotations

import asyncio
import inspect
from collections import Counter
from typing import TypeVar

from result import Err, Ok, Result

from greengagelatch.peers import (
    Member,
    MemberState,
    MessageHandler,
    PeerError,
    PeerErrorKind,
    PeerNetwork,
)
from greengagelatch.peers.codec import Envelope, Message, decode, encode

__all__ = ("MemoryPeers", "MemoryNetwork")

M = TypeVar("M", bound=Message)


class MemoryNetwork:
    """Connects in-process instances; tests may change its fields while it is in use."""

    def __init__(self) -> None:
        #: pairs of sender and receiver between which no message is delivered
        self.blocked: set[tuple[str, str]] = set()
        #: pairs of caller and callee between which only the answers are lost
        self.lost_answers: set[tuple[str, str]] = set()
        #: state of each member, as seen by every instance
        self.states: dict[str, MemberState] = {}
        #: data centres by instance id
        self.data_centres: dict[str, str] = {}
        #: member states that override ``states``, by the instance that sees them
        self.state_overrides: dict[str, dict[str, MemberState]] = {}
        #: number of calls by the message's wire name
        self.call_counts: Counter[str] = Counter()
        self._peers: dict[str, MemoryPeers] = {}

    def join(self, instance_id: str, data_centre: str = "") -> MemoryPeers:
        """Add an instance in state ``ALIVE``."""
        peers = MemoryPeers(self, instance_id)
        self.data_centres[instance_id] = data_centre
        self._peers[instance_id] = peers
        self.states[instance_id] = MemberState.ALIVE
        return peers

    def leave(self, instance_id: str) -> None:
        """Remove an instance and mark it as dead."""
        self._peers.pop(instance_id, None)
        self.states[instance_id] = MemberState.DEAD

    def find(self, sender: str, receiver: str) -> MemoryPeers | None:
        """Return the receiver if it is reachable from the sender."""
        if (sender, receiver) in self.blocked:
            return None
        return self._peers.get(receiver)


class MemoryPeers(PeerNetwork):
    """One instance's connection to a :class:`MemoryNetwork`.

    Messages pass through the codec, as between processes.
    """

    def __init__(self, network: MemoryNetwork, instance_id: str) -> None:
        self._network = network
        self._instance_id = instance_id
        self._handlers: dict[type[Message], MessageHandler] = {}

    @property
    def instance_id(self) -> str:
        return self._instance_id

    def members(self) -> tuple[Member, ...]:
        states = self._network.states
        states = states | self._network.state_overrides.get(self._instance_id, {})
        data_centres = self._network.data_centres
        return tuple(
            Member(
                instance_id=one,
                data_centre=data_centres.get(one, ""),
                address="",
                state=state,
            )
            for one, state in sorted(states.items())
        )

    def send(self, instance_id: str, message: Message) -> bool:
        receiver = self._network.find(self._instance_id, instance_id)
        if receiver is None:
            return False
        asyncio.get_running_loop().create_task(
            receiver.receive(self._instance_id, message)
        )
        return True

    async def ask(
        self, instance_id: str, message: Message, timeout: float
    ) -> Result[Message, PeerError]:
        network = self._network
        receiver = network.find(self._instance_id, instance_id)
        if receiver is None:
            return Err(PeerError(PeerErrorKind.NOT_SENT, "no link"))
        network.call_counts[message.wire_name] += 1
        try:
            async with asyncio.timeout(timeout):
                answer = await receiver.receive(self._instance_id, message)
                if (self._instance_id, instance_id) in network.lost_answers:
                    await asyncio.Event().wait()
        except TimeoutError:
            return Err(PeerError(PeerErrorKind.NO_ANSWER, "timeout"))
        if answer is None:
            return Err(PeerError(PeerErrorKind.NO_ANSWER, "no answer"))
        return Ok(answer)

    def handle(self, message_type: type[M], handler: MessageHandler[M]) -> None:
        self._handlers[message_type] = handler

    async def receive(self, sender: str, message: Message) -> Message | None:
        """Handle a message; a caller's cancellation does not cancel its handler."""
        copy = decode(encode(Envelope(message))).unwrap().message
        handler = self._handlers[type(copy)]
        answer = handler(sender, copy)
        if inspect.isawaitable(answer):
            answer = await asyncio.shield(asyncio.ensure_future(answer))
        if answer is None:
            return None
        return decode(encode(Envelope(answer))).unwrap().message
