"""Interfaces of what translates between the wire and the product's own types."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from greengagelatch.config.problems import Problem
    from greengagelatch.relay.deployment import Deployment
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Piece, PieceResult
    from greengagelatch.relay.requests import HeaderLine, OpaqueRequest
    from greengagelatch.relay.targets import ListedTarget

    from .messages import AttemptContext, OutboundRequest, ResponseHead
    from .target_connections import TargetResponse

__all__ = ("CallerCodec", "DeploymentCodec", "ListingCodec", "TargetCodec")


class CallerCodec(ABC):
    """Reads callers' requests."""

    @abstractmethod
    def decode(
        self,
        *,
        method: str,
        target: str,
        headers: tuple[HeaderLine, ...],
        body: bytes,
        received: float,
    ) -> OpaqueRequest:
        """Return the request.

        :raises RefusedError: if a header has no meaning
        """


class TargetCodec(ABC):
    """Writes requests to targets and reads their answers."""

    @abstractmethod
    def encode_request(
        self, request: OpaqueRequest, call: AttemptContext
    ) -> OutboundRequest:
        """Return a caller's request as a target gets it."""

    @abstractmethod
    def encode_pieces(
        self,
        pieces: tuple[Piece, ...],
        remaining: tuple[float, ...],
        incarnation: Incarnation,
    ) -> OutboundRequest:
        """Return the call that asks a maker for ``pieces``.

        :param remaining: seconds that are left for each piece
        """

    @abstractmethod
    def encode_release(
        self, handles: tuple[str, ...], incarnation: Incarnation
    ) -> OutboundRequest:
        """Return the call that gives up results at their maker."""

    @abstractmethod
    def read_head(self, reply: TargetResponse) -> ResponseHead:
        """Decode the head of an answer."""

    @abstractmethod
    def read_pieces(
        self, body: bytes, count: int, maker: ListedTarget
    ) -> tuple[PieceResult, ...] | None:
        """Return the results that a maker tells; ``None`` if it can't be read."""

    @abstractmethod
    def find_maker_address(self, handle: str) -> str:
        """Return the address of the maker that holds a result."""

    @abstractmethod
    def read_event_id(self, event: bytes) -> int | None:
        """Return the id of one event of a stream."""


class DeploymentCodec(ABC):
    """Reads configurations."""

    #: key of the configuration in the store
    key: str

    @abstractmethod
    def decode(
        self, value: bytes, revision: int
    ) -> Result[tuple[Deployment, tuple[Problem, ...]], Problem]:
        """Return the deployment, and what of it had to be set aside."""


class ListingCodec(ABC):
    """Reads targets' entries."""

    #: prefix of the entries' keys in the store
    prefix: str

    @abstractmethod
    def decode(
        self, key: str, value: bytes, revision: int
    ) -> Result[ListedTarget, Problem]:
        """Return the target of an entry."""
