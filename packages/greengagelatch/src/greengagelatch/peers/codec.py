"""CBOR encoding of the versioned messages between entry instances."""

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
    "check_rows",
    "check_type",
    "decode",
    "encode",
    "register",
)

#: version of the envelope; new fields of a message type do not change it
PROTOCOL_VERSION = 1

#: maximum size of a frame, which bounds the memory per link; a larger frame closes the
#: link
MAX_MESSAGE_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of all messages; subclasses are frozen data classes.

    Field values are CBOR types: numbers, strings, bytes, booleans, ``None``, and
    tuples or maps of these. Each field of a registered message has a default, so
    that a message from an earlier release without the field can be decoded.
    """

    #: type name on the wire, set by :func:`register`
    wire_name: ClassVar[str] = ""


M = TypeVar("M", bound=type[Message])

_types: dict[str, type[Message]] = {}


def register(wire_name: str):
    """Return a decorator that registers a message type as ``wire_name``."""

    def decorate(message_type: M) -> M:
        if wire_name in _types:
            msg = f"message type {wire_name!r} is already registered"
            raise ValueError(msg)
        message_type.wire_name = wire_name
        _types[wire_name] = message_type
        return message_type

    return decorate


def check_type(value: Any, kind: type | tuple[type, ...]) -> None:
    """Check the type of a field when a message is created.

    The codec checks the names of fields but not their types. A wrong type would only
    fail later, in the task that uses the field.

    :raises ValueError: if the type is wrong; :func:`decode` reports it as an error.
    """
    if not isinstance(value, kind):
        raise ValueError(f"unexpected type {type(value).__name__}")


def check_rows(rows: Any, kinds: tuple[type | tuple[type, ...], ...]) -> None:
    """Check that a field holds rows whose values are of the given types.

    :raises ValueError: if a row has another length or type
    """
    check_type(rows, (tuple, list))
    for row in rows:
        check_type(row, (tuple, list))
        for value, kind in zip(row, kinds, strict=True):
            check_type(value, kind)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with the ids that correlate calls and replies.

    ``call_id`` is set for a message that expects a reply, and ``reply_to`` is the
    ``call_id`` of the message that this one answers. Zero means that it is not set.
    """

    message: Message
    call_id: int = 0
    reply_to: int = 0


@dataclass(frozen=True, slots=True)
class DecodeError:
    """A frame that cannot be decoded.

    ``unknown`` says that the frame is valid, but its message type is unknown.
    """

    reason: str
    unknown: bool = False
    #: call to answer with :class:`~.messages.NotUnderstood`
    call_id: int = 0


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as a frame."""
    message = envelope.message
    body = {
        item.name: getattr(message, item.name) for item in dataclasses.fields(message)
    }
    frame: dict[str, Any] = {
        "v": PROTOCOL_VERSION,
        "t": message.wire_name,
        "b": body,
    }
    if envelope.call_id:
        frame["q"] = envelope.call_id
    if envelope.reply_to:
        frame["a"] = envelope.reply_to
    return cbor2.dumps(frame)


def decode(data: bytes) -> Result[Envelope, DecodeError]:
    """Decode a frame.

    Unknown fields are ignored, so that a later release may add fields. An unknown
    message type is reported as ``unknown``.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return Err(DecodeError(f"frame of {len(data)} bytes is too large"))
    try:
        frame = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Err(DecodeError(f"not CBOR: {error}"))
    if not isinstance(frame, dict) or frame.get("v") != PROTOCOL_VERSION:
        return Err(DecodeError("not an envelope of this protocol version"))
    call_id = frame.get("q", 0)
    reply_to = frame.get("a", 0)
    body = frame.get("b")
    if not (isinstance(call_id, int) and isinstance(reply_to, int)):
        return Err(DecodeError("call id and reply id must be integers"))
    message_type = _types.get(str(frame.get("t")))
    if message_type is None:
        reason = f"unknown message type {frame.get('t')!r}"
        return Err(DecodeError(reason, unknown=True, call_id=call_id))
    if not isinstance(body, dict):
        return Err(DecodeError("body is not a map"))
    return _build(message_type, body).map(
        lambda message: Envelope(message, call_id, reply_to)
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
