"""Models of entry instances' hosts and of their peer network, in virtual time."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagelatch.peers import (
    Member,
    MemberState,
    MessageHandler,
    PeerError,
    PeerErrorKind,
    PeerNetwork,
)
from greengagelatch.peers.codec import Envelope, Message, encode
from greengagelatch.relay.capacity import Capacity

if TYPE_CHECKING:
    from .shapes import InstanceShape

__all__ = ("ModelHost", "ModelNetwork", "ModelPeers")

#: one-way network latency between two instances, in seconds
ONE_WAY_SECONDS = 0.0009
#: bytes of protocol headers per message
HEADER_BYTES = 80
#: CPU seconds of one core to send or to receive a message
MESSAGE_CPU_SECONDS = 0.0002
#: seconds of the window over which link utilisation is measured
UTILISATION_WINDOW = 1.0


class _FifoResource:
    """A first-come, first-served resource, such as a CPU or a link."""

    def __init__(self) -> None:
        self._free_at = 0.0

    async def use(self, seconds: float) -> None:
        """Wait in line, then occupy the resource for ``seconds``."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + seconds
        await asyncio.sleep(self._free_at - now)


class ModelHost:
    """The host of one instance: a CPU, and a link shared by all its peers."""

    def __init__(self, shape: InstanceShape) -> None:
        self.capacity = Capacity(cores=shape.cores, link_bytes=shape.link_bytes)
        self.busiest_link = 0.0
        self._processor = _FifoResource()
        self._link = _FifoResource()
        self._window_end = 0.0
        self._window_bytes = 0

    async def work(self, seconds: float) -> None:
        """Use the CPU for ``seconds`` of one core."""
        await self._processor.use(seconds / self.capacity.cores)

    async def send(self, size: int) -> None:
        """Occupy the link while ``size`` bytes are sent."""
        self._record_sent(size)
        await self._link.use(size / self.capacity.link_bytes)

    def _record_sent(self, size: int) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._window_end:
            self._window_end, self._window_bytes = now + UTILISATION_WINDOW, 0
        self._window_bytes += size
        share = self._window_bytes / (self.capacity.link_bytes * UTILISATION_WINDOW)
        self.busiest_link = max(self.busiest_link, share)


class ModelNetwork:
    """The peer network of all instances of a trial."""

    def __init__(self) -> None:
        self.peers: dict[str, ModelPeers] = {}
        self._members: tuple[Member, ...] = ()

    def join(self, instance_id: str, data_centre: str, host: ModelHost) -> ModelPeers:
        """Add an instance and return its connections to the others."""
        peers = ModelPeers(self, instance_id, host)
        self.peers[instance_id] = peers
        member = Member(
            instance_id=instance_id,
            data_centre=data_centre,
            address="",
            state=MemberState.ALIVE,
            capacity=host.capacity.bundles,
        )
        self._members = (*self._members, member)
        return peers

    def list_members(self) -> tuple[Member, ...]:
        """Return all instances as cluster members."""
        return self._members


class ModelPeers(PeerNetwork):
    """The peer network as seen by one instance."""

    def __init__(
        self, network: ModelNetwork, instance_id: str, host: ModelHost
    ) -> None:
        self._network = network
        self._instance_id = instance_id
        self._host = host
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def instance_id(self) -> str:
        return self._instance_id

    def members(self) -> tuple[Member, ...]:
        return self._network.list_members()

    def send(self, instance_id: str, message: Message) -> bool:
        receiver = self._network.peers[instance_id]
        task = asyncio.create_task(self._deliver(receiver, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def ask(
        self, instance_id: str, message: Message, timeout: float
    ) -> Result[Message, PeerError]:
        receiver = self._network.peers[instance_id]
        try:
            async with asyncio.timeout(timeout):
                answer = await self._deliver(receiver, message)
                await receiver._transmit(answer, self._host)
        except TimeoutError:
            return Err(PeerError(PeerErrorKind.NO_ANSWER, "no answer in time"))
        return Ok(answer)

    def handle(self, message_type, handler) -> None:
        self._handlers[message_type] = handler

    async def _deliver(self, receiver: ModelPeers, message: Message) -> Message | None:
        await self._transmit(message, receiver._host)
        answer = receiver._handlers[type(message)](self._instance_id, message)
        if inspect.isawaitable(answer):
            return await asyncio.shield(asyncio.ensure_future(answer))
        return answer

    async def _transmit(self, message: Message, host: ModelHost) -> None:
        size = len(encode(Envelope(message))) + HEADER_BYTES
        await self._host.work(MESSAGE_CPU_SECONDS)
        await self._host.send(size)
        await asyncio.sleep(ONE_WAY_SECONDS)
        await host.work(MESSAGE_CPU_SECONDS)
