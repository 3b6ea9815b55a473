"""Typed, bounded and versioned messages between entry instances, as CBOR."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any, ClassVar, TypeVar

import cbor2
from result import Err, Ok, Result

__all__ = (
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
    "DecodeError",
    "Envelope",
    "Message",
    "check_type",
    "decode",
    "encode",
    "register",
)

#: version of the envelope; a message type's fields may grow without raising it
PROTOCOL_VERSION = 1

#: a larger frame closes the link: a peer's memory is bounded by what it accepts
MAX_MESSAGE_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of all messages; subclasses are frozen data classes.

    Fields hold what CBOR holds: numbers, texts, bytes, booleans, ``None``, and
    tuples or maps of these. Each field of a registered message has a default, so
    that a message from an earlier release, which lacks it, can still be read.
    """

    #: name on the wire, set by :func:`register`
    wire_name: ClassVar[str] = ""


M = TypeVar("M", bound=type[Message])

_types: dict[str, type[Message]] = {}


def register(wire_name: str):
    """Register a message type under its name on the wire."""

    def decorate(message_type: M) -> M:
        if wire_name in _types:
            msg = f"message {wire_name!r} is registered twice"
            raise ValueError(msg)
        message_type.wire_name = wire_name
        _types[wire_name] = message_type
        return message_type

    return decorate


def check_type(value: Any, kind: type | tuple[type, ...]) -> None:
    """Check a field of a message when it is made.

    The codec checks names, not types; a wrong type would end whatever task uses it
    later on.

    :raises ValueError: which the codec takes for a bad frame.
    """
    if not isinstance(value, kind):
        raise ValueError(f"unexpected {type(value).__name__}")


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with what is needed to answer it.

    ``question`` is a number for a message that wants an answer, ``answer`` the
    number of the question that this message answers; zero means neither.
    """

    message: Message
    question: int = 0
    answer: int = 0


@dataclass(frozen=True, slots=True)
class DecodeError:
    """A frame that can't be read; ``unknown`` if only its type is unknown."""

    reason: str
    unknown: bool = False
    #: question number to answer "not understood" to
    question: int = 0


def encode(envelope: Envelope) -> bytes:
    """Return the frame of an envelope."""
    message = envelope.message
    body = {
        item.name: getattr(message, item.name) for item in dataclasses.fields(message)
    }
    frame: dict[str, Any] = {
        "v": PROTOCOL_VERSION,
        "t": message.wire_name,
        "b": body,
    }
    if envelope.question:
        frame["q"] = envelope.question
    if envelope.answer:
        frame["a"] = envelope.answer
    return cbor2.dumps(frame)


def decode(data: bytes) -> Result[Envelope, DecodeError]:
    """Read a frame.

    Fields that this release does not know are ignored, so that the next release
    may add some; a message type it does not know is reported as ``unknown``.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return Err(DecodeError(f"frame of {len(data)} bytes is too large"))
    try:
        frame = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Err(DecodeError(f"not CBOR: {error}"))
    if not isinstance(frame, dict) or frame.get("v") != PROTOCOL_VERSION:
        return Err(DecodeError("not an envelope of this protocol version"))
    question = frame.get("q", 0)
    answer = frame.get("a", 0)
    body = frame.get("b")
    if not (isinstance(question, int) and isinstance(answer, int)):
        return Err(DecodeError("question and answer must be numbers"))
    message_type = _types.get(str(frame.get("t")))
    if message_type is None:
        reason = f"unknown message type {frame.get('t')!r}"
        return Err(DecodeError(reason, unknown=True, question=question))
    if not isinstance(body, dict):
        return Err(DecodeError("body is not a map"))
    return _build(message_type, body).map(
        lambda message: Envelope(message, question, answer)
    )


def _build(
    message_type: type[Message], body: dict[str, Any]
) -> Result[Message, DecodeError]:
    values = {}
    for item in dataclasses.fields(message_type):
        if item.name not in body:
            continue
        values[item.name] = _freeze(body[item.name])
    try:
        return Ok(message_type(**values))
    except (TypeError, ValueError) as error:
        return Err(DecodeError(f"{message_type.wire_name}: {error}"))


def _freeze(value: Any) -> Any:
    if isinstance(value, list):
        return tuple(_freeze(item) for item in value)
    return value
