"""Interfaces for conversion between wire formats and internal types."""

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
    from greengagelatch.relay.target_notices import TargetNotice
    from greengagelatch.relay.targets import ListedTarget

    from .messages import AttemptContext, OutboundRequest, ResponseHead
    from .target_responses import TargetResponse

__all__ = (
    "CallerCodec",
    "DeploymentCodec",
    "EvacuationCodec",
    "ListingCodec",
    "TargetCodec",
)


class CallerCodec(ABC):
    """Decodes requests from callers."""

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

        :raises RefusedError: if a header value is malformed
        """


class TargetCodec(ABC):
    """Encodes requests to targets and decodes their responses."""

    @abstractmethod
    def encode_request(
        self, request: OpaqueRequest, call: AttemptContext
    ) -> OutboundRequest:
        """Return a caller's request in the form sent to a target."""

    @abstractmethod
    def encode_pieces(
        self,
        pieces: tuple[Piece, ...],
        remaining: tuple[float, ...],
        incarnation: Incarnation,
    ) -> OutboundRequest:
        """Return the call that asks a maker to compute ``pieces``.

        :param remaining: seconds until the deadline of each piece
        """

    @abstractmethod
    def encode_release(
        self, handles: tuple[str, ...], incarnation: Incarnation
    ) -> OutboundRequest:
        """Return the call that releases results held by their maker."""

    @abstractmethod
    def read_head(self, reply: TargetResponse) -> ResponseHead:
        """Decode the head of a response."""

    @abstractmethod
    def read_notice(self, reply: TargetResponse) -> TargetNotice:
        """Decode what a response says of the requests that its target wants.

        One of a target that was not meant says nothing.
        """

    @abstractmethod
    def read_pieces(
        self, body: bytes, count: int, maker: ListedTarget
    ) -> tuple[PieceResult, ...] | None:
        """Return the results in a maker's response; ``None`` if it is malformed."""

    @abstractmethod
    def find_maker_address(self, handle: str) -> str:
        """Return the address of the maker that holds a result."""

    @abstractmethod
    def read_event_id(self, event: bytes) -> int | None:
        """Return the id of a stream event; ``None`` if it has none."""


class DeploymentCodec(ABC):
    """Decodes deployment configurations."""

    #: key of the configuration in the store
    key: str

    @abstractmethod
    def decode(
        self, value: bytes, revision: int
    ) -> Result[tuple[Deployment, tuple[Problem, ...]], Problem]:
        """Return the deployment and the problems of the parts that were rejected."""


class ListingCodec(ABC):
    """Decodes the store entries of targets."""

    #: prefix of the entries' keys in the store
    prefix: str

    @abstractmethod
    def decode(
        self, key: str, value: bytes, revision: int
    ) -> Result[ListedTarget, Problem]:
        """Return the target that an entry describes."""


class EvacuationCodec(ABC):
    """Decodes the store entries that evacuate data centres."""

    #: prefix of the entries' keys in the store; an entry exists while its data centre
    #: is evacuated
    prefix: str

    @abstractmethod
    def read_data_centre(self, key: str) -> str:
        """Return the data centre that the entry of a key evacuates."""
