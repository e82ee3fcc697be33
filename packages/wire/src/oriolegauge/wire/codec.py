"""Encode and decode envelopes; Cap'n Proto objects stay in this module."""

import dataclasses
import math
import types
import typing
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

import capnp

from oriolegauge.wire.envelope import Envelope, Sender
from oriolegauge.wire.errors import MalformedMessageError
from oriolegauge.wire.messages import MESSAGE_TYPES

# A packed message can expand by a factor of about 1,000. Eight times the
# largest message leaves room for sparse lists and bounds the memory.
UNPACKED_LIMIT_WORDS = 2 * 1024 * 1024

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name('messages.capnp')))

_ENCODE_ERRORS = (capnp.KjException, OverflowError, ValueError, TypeError)

_Encoder = Callable[[Any, str, Any], None]
_Decoder = Callable[[Any], Any]


def encode(envelope: Envelope) -> bytes:
    """Return the packed bytes; raise MalformedMessageError for bad values."""
    try:
        return _encode(envelope)
    except _ENCODE_ERRORS as error:
        raise MalformedMessageError(
            f'cannot encode {type(envelope.message).__name__}: {_brief(error)}'
        ) from error


def decode(data: bytes) -> Envelope:
    """Return the envelope; raise MalformedMessageError for unknown content."""
    try:
        return _decode(data)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MalformedMessageError(
            f'cannot decode {len(data)} bytes: {_brief(error)}'
        ) from error


def _encode(envelope: Envelope) -> bytes:
    builder = _schema.Envelope.new_message()
    builder.messageId = envelope.message_id
    builder.sender = envelope.sender.name
    builder.incarnation = envelope.sender.incarnation
    if envelope.reply_to:
        builder.replyTo = envelope.reply_to
    if envelope.position:
        builder.position = envelope.position
    if envelope.one_way:
        builder.oneWay = True
    message = envelope.message
    shape = _SHAPES[type(message)]
    _fill(builder.init(_NAMES[type(message)]), message, shape)
    return builder.to_bytes_packed()


def _decode(data: bytes) -> Envelope:
    reader = _schema.Envelope.from_bytes_packed(
        data, traversal_limit_in_words=UNPACKED_LIMIT_WORDS
    )
    name = str(reader.which())
    return Envelope(
        message_id=reader.messageId,
        sender=Sender(reader.sender, reader.incarnation),
        message=_read(getattr(reader, name), MESSAGE_TYPES[name]),
        reply_to=reader.replyTo,
        position=reader.position,
        one_way=reader.oneWay,
    )


def _fill(builder: Any, source: Any, shape: tuple['_Field', ...]) -> None:
    for field in shape:
        field.encode(builder, field.wire_name, getattr(source, field.name))


def _read(reader: Any, target: type) -> Any:
    return target(
        **{
            field.name: field.decode(getattr(reader, field.wire_name))
            for field in _SHAPES[target]
        }
    )


def _brief(error: Exception) -> str:
    # The library appends stack addresses on further lines.
    return str(error).partition('\n')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire_name: str
    encode: _Encoder
    decode: _Decoder


def _same(value: Any) -> Any:
    return value


def _set(builder: Any, name: str, value: Any) -> None:
    setattr(builder, name, value)


def _set_int(builder: Any, name: str, value: int) -> None:
    # The library refuses enumerations of integers.
    setattr(builder, name, int(value))


def _set_nonempty(builder: Any, name: str, value: Any) -> None:
    if value:
        setattr(builder, name, value)


def _set_list(builder: Any, name: str, value: tuple[Any, ...]) -> None:
    if value:
        setattr(builder, name, list(value))


def _set_optional(builder: Any, name: str, value: float | None) -> None:
    setattr(builder, name, math.nan if value is None else value)


def _get_optional(value: float) -> float | None:
    return None if math.isnan(value) else value


def _row_codec(row: type) -> tuple[_Encoder, _Decoder]:
    def set_rows(builder: Any, name: str, rows: tuple[Any, ...]) -> None:
        if not rows:
            return
        slots = builder.init(name, len(rows))
        shape = _SHAPES[row]
        for index, source in enumerate(rows):
            _fill(slots[index], source, shape)

    def get_rows(slots: Any) -> tuple[Any, ...]:
        return tuple(_read(slot, row) for slot in slots)

    return set_rows, get_rows


def _struct_codec(kind: type) -> tuple[_Encoder, _Decoder]:
    def set_struct(builder: Any, name: str, value: Any) -> None:
        _fill(builder.init(name), value, _SHAPES[kind])

    def get_struct(reader: Any) -> Any:
        return _read(reader, kind)

    return set_struct, get_struct


def _set_sorted(builder: Any, name: str, value: frozenset[Any]) -> None:
    _set_list(builder, name, tuple(sorted(value)))


def _field_codec(hint: Any) -> tuple[_Encoder, _Decoder]:
    if dataclasses.is_dataclass(hint):
        _describe(hint)
        return _struct_codec(hint)
    if typing.get_origin(hint) is frozenset:
        return _set_sorted, frozenset
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        if dataclasses.is_dataclass(item):
            _describe(item)
            return _row_codec(item)
        return _set_list, tuple
    if isinstance(hint, types.UnionType):
        return _set_optional, _get_optional
    if issubclass(hint, StrEnum):
        return _set, hint
    if hint in {str, bytes}:
        return _set_nonempty, _same
    return (_set_int if hint is int else _set), _same


def _camel(name: str) -> str:
    head, *rest = name.split('_')
    return head + ''.join(word.capitalize() for word in rest)


def _describe(kind: type) -> None:
    if kind in _SHAPES:
        return
    hints = typing.get_type_hints(kind)
    _SHAPES[kind] = tuple(
        _Field(field.name, _camel(field.name), *_field_codec(hints[field.name]))
        for field in dataclasses.fields(kind)
    )


def _describe_all() -> None:
    for kind in MESSAGE_TYPES.values():
        _describe(kind)


_SHAPES: dict[type, tuple[_Field, ...]] = {}
_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}
_describe_all()
