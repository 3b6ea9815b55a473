"""Messages between entry instances about claims."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message, register
from . import Token
from .operations import Acquire, GiveBack, Operation, OperationResult, ResultKind
from .registry import AttemptRecord, AttemptState

__all__ = (
    "ClaimAnswer",
    "ClaimQuery",
    "HandoverAnswer",
    "HandoverRequest",
    "LayoutAnswer",
    "LayoutQuery",
    "OutcomeAnswer",
    "OutcomeQuery",
)

#: encoded token: instance, incarnation, serial; empty if there is none
WireToken = tuple[str, int, int] | tuple[()]

UNKNOWN = "unknown"


@register("claim")
@dataclass(frozen=True, slots=True)
class ClaimQuery(Message):
    """Asks the preferred writer of a shard to commit one operation."""

    #: whether the claim is to be given back instead of acquired
    give_back: bool = False
    key: bytes = b""
    digest: bytes = b""
    token: WireToken = ()
    replaces: WireToken = ()
    #: time budget of the sender, in milliseconds
    budget_ms: int = 0

    @classmethod
    def wrap(cls, operation: Operation, budget_ms: int) -> ClaimQuery:
        """Create the message for an operation."""
        if isinstance(operation, GiveBack):
            return cls(
                give_back=True,
                key=operation.key,
                token=_pack(operation.token),
                budget_ms=budget_ms,
            )
        return cls(
            key=operation.key,
            digest=operation.digest,
            token=_pack(operation.token),
            replaces=_pack(operation.replaces),
            budget_ms=budget_ms,
        )

    def unwrap(self) -> Operation:
        """Return the operation; :exc:`ValueError` if the message is malformed."""
        token = _unpack(self.token)
        if token is None:
            raise ValueError("claim message without a token")
        if self.give_back:
            return GiveBack(self.key, token)
        return Acquire(self.key, self.digest, token, _unpack(self.replaces))


@register("claim-answer")
@dataclass(frozen=True, slots=True)
class ClaimAnswer(Message):
    """Reports the result of an operation."""

    kind: str = ResultKind.UNSETTLED.value
    holder: WireToken = ()

    @classmethod
    def wrap(cls, result: OperationResult) -> ClaimAnswer:
        """Create the message for a result."""
        return cls(result.kind.value, _pack(result.holder))

    def unwrap(self) -> OperationResult:
        """Return the result; an unknown kind, as of a later release, is unsettled."""
        try:
            return OperationResult(ResultKind(self.kind), _unpack(self.holder))
        except (TypeError, ValueError):
            return OperationResult(ResultKind.UNSETTLED)


@register("outcome")
@dataclass(frozen=True, slots=True)
class OutcomeQuery(Message):
    """Asks for the state of an attempt; the receiver waits while it is running."""

    token: WireToken = ()
    wait_ms: int = 0

    @classmethod
    def wrap(cls, token: Token, wait_ms: int) -> OutcomeQuery:
        """Create the message for an attempt."""
        return cls(_pack(token), wait_ms)

    def unwrap(self) -> Token | None:
        """Return the token of the attempt."""
        return _unpack(self.token)


@register("outcome-answer")
@dataclass(frozen=True, slots=True)
class OutcomeAnswer(Message):
    """Reports the state and outcome of an attempt."""

    state: str = UNKNOWN
    outcome: bytes = b""

    @classmethod
    def wrap(cls, record: AttemptRecord | None) -> OutcomeAnswer:
        """Create the message for a record."""
        if record is None:
            return cls()
        return cls(record.state.value, record.outcome)

    def unwrap(self) -> AttemptRecord | None:
        """Return the record; ``None`` if the attempt is unknown."""
        try:
            return AttemptRecord(AttemptState(self.state), self.outcome)
        except ValueError:
            return None


@register("outcome-handover")
@dataclass(frozen=True, slots=True)
class HandoverRequest(Message):
    """Transfers an outcome to another instance before the sender stops."""

    token: WireToken = ()
    outcome: bytes = b""

    @classmethod
    def wrap(cls, token: Token, outcome: bytes) -> HandoverRequest:
        """Create the message for an outcome."""
        return cls(_pack(token), outcome)

    def unwrap(self) -> Token | None:
        """Return the token of the attempt."""
        return _unpack(self.token)


@register("outcome-handover-answer")
@dataclass(frozen=True, slots=True)
class HandoverAnswer(Message):
    """Reports whether an outcome was stored."""

    taken: bool = False


@register("claim-layout")
@dataclass(frozen=True, slots=True)
class LayoutQuery(Message):
    """Asks for the number of shards."""


@register("claim-layout-answer")
@dataclass(frozen=True, slots=True)
class LayoutAnswer(Message):
    """Reports the number of shards; 0 if it is unknown."""

    shards: int = 0


def _pack(token: Token | None) -> WireToken:
    if token is None:
        return ()
    return (token.instance, token.incarnation, token.serial)


def _unpack(fields: WireToken) -> Token | None:
    if not fields:
        return None
    instance, incarnation, serial = fields
    return Token(str(instance), int(incarnation), int(serial))
