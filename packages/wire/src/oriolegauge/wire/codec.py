"""Encodes and decodes the messages between daemons with Cap'n Proto.

The data classes of `messages` define the fields; objects of the library are
not used outside this module.
"""

import dataclasses
import itertools
import math
import types
import typing
import zlib
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

import capnp

from oriolegauge.wire.envelope import Envelope, Sender
from oriolegauge.wire.errors import MalformedMessageError
from oriolegauge.wire.messages import MESSAGE_TYPES, Chunk, Forward, Message

# Limits the words that decoding one message may read: its lists can point to
# the same data many times.
TRAVERSAL_LIMIT_WORDS = 2 * 1024 * 1024
# Cap'n Proto's packing is not used, because its reader aborts the process on
# malformed bytes. Deflate is safe and smaller (425 against 832 bytes for a
# heartbeat of 8 members), but is worth its cost only for small control
# messages.
DEFLATE_FROM_BYTES = 256
DEFLATE_TO_BYTES = 16 * 1024
_DEFLATE_LEVEL = 1
_PLAIN_TAG = b'\0'
_DEFLATED_TAG = b'\1'
_BULK_MESSAGES = (Forward, Chunk)

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name('messages.capnp')))

_ENCODE_ERRORS = (capnp.KjException, OverflowError, ValueError, TypeError)

_DECODE_ERRORS = (capnp.KjException, ValueError, KeyError, zlib.error)
_SCALARS = {int, str, bytes, bool, float}

_Encoder = Callable[[Any, str, Any], None]
_Decoder = Callable[[Any], Any]


def encode(envelope: Envelope) -> bytes:
    """Return the bytes; raise MalformedMessageError if a value does not fit."""
    try:
        return _encode(envelope)
    except _ENCODE_ERRORS as error:
        raise MalformedMessageError(
            f'cannot encode {type(envelope.message).__name__}: '
            f'{_first_line(error)}'
        ) from error


def decode(data: bytes) -> Envelope:
    """Return the envelope; raise MalformedMessageError if it can't be read."""
    try:
        return _decode(data)
    except _DECODE_ERRORS as error:
        raise MalformedMessageError(
            f'cannot decode {len(data)} bytes: {_first_line(error)}'
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
    field_codecs = _CODECS_BY_TYPE[type(message)]
    _write_fields(
        builder.init(_NAMES_BY_TYPE[type(message)]), message, field_codecs
    )
    return _compress(builder.to_bytes(), message)


def _decode(data: bytes) -> Envelope:
    with _schema.Envelope.from_bytes(
        _decompress(data), traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
    ) as reader:
        name = str(reader.which())
        return Envelope(
            message_id=reader.messageId,
            sender=Sender(reader.sender, reader.incarnation),
            message=_read_fields(getattr(reader, name), MESSAGE_TYPES[name]),
            reply_to=reader.replyTo,
            position=reader.position,
            one_way=reader.oneWay,
        )


def _compress(body: bytes, message: Message) -> bytes:
    small = DEFLATE_FROM_BYTES <= len(body) <= DEFLATE_TO_BYTES
    if small and not isinstance(message, _BULK_MESSAGES):
        return _DEFLATED_TAG + zlib.compress(body, _DEFLATE_LEVEL)
    return _PLAIN_TAG + body


def _decompress(data: bytes) -> bytes:
    match data[:1]:
        case b'\0':
            return data[1:]
        case b'\1':
            inflater = zlib.decompressobj()
            body = inflater.decompress(data[1:], DEFLATE_TO_BYTES)
            if inflater.eof:
                return body
    raise ValueError('unknown compression or damaged bytes')


def _write_fields(
    builder: Any, source: Any, field_codecs: tuple['_FieldCodec', ...]
) -> None:
    for field in field_codecs:
        field.encode(builder, field.wire_name, getattr(source, field.name))


def _read_fields(reader: Any, target: type) -> Any:
    return target(
        **{
            field.name: field.decode(getattr(reader, field.wire_name))
            for field in _CODECS_BY_TYPE[target]
        }
    )


def _first_line(error: Exception) -> str:
    # Cap'n Proto appends stack addresses on further lines.
    return str(error).partition('\n')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldCodec:
    name: str
    wire_name: str
    encode: _Encoder
    decode: _Decoder


def _unchanged(value: Any) -> Any:
    return value


def _set(builder: Any, name: str, value: Any) -> None:
    setattr(builder, name, value)


def _set_int(builder: Any, name: str, value: int) -> None:
    # Cap'n Proto rejects members of an IntEnum.
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
        field_codecs = _CODECS_BY_TYPE[row]
        for index, source in enumerate(rows):
            _write_fields(slots[index], source, field_codecs)

    def get_rows(slots: Any) -> tuple[Any, ...]:
        return tuple(_read_fields(slot, row) for slot in slots)

    return set_rows, get_rows


def _struct_codec(kind: type) -> tuple[_Encoder, _Decoder]:
    def set_struct(builder: Any, name: str, value: Any) -> None:
        _write_fields(builder.init(name), value, _CODECS_BY_TYPE[kind])

    def get_struct(reader: Any) -> Any:
        return _read_fields(reader, kind)

    return set_struct, get_struct


def _set_sorted(builder: Any, name: str, value: frozenset[Any]) -> None:
    _set_list(builder, name, tuple(sorted(value)))


def _column_codec(row: type) -> tuple[_Encoder, _Decoder]:
    names = [field.name for field in dataclasses.fields(row)]
    wire_names = [_camel_case(name) for name in names]

    def set_columns(builder: Any, name: str, rows: tuple[Any, ...]) -> None:
        if not rows:
            return
        columns = builder.init(name)
        for own_name, wire_name in zip(names, wire_names, strict=True):
            column = [getattr(entry, own_name) for entry in rows]
            setattr(columns, wire_name, column)

    def get_columns(columns: Any) -> tuple[Any, ...]:
        cells = [getattr(columns, wire_name) for wire_name in wire_names]
        return tuple(itertools.starmap(row, zip(*cells, strict=True)))

    return set_columns, get_columns


def _field_codec(hint: Any) -> tuple[_Encoder, _Decoder]:
    if dataclasses.is_dataclass(hint):
        _add_codecs(hint)
        return _struct_codec(hint)
    if typing.get_origin(hint) is frozenset:
        return _set_sorted, frozenset
    if typing.get_origin(hint) is tuple:
        return _tuple_codec(typing.get_args(hint)[0])
    if isinstance(hint, types.UnionType):
        return _set_optional, _get_optional
    if issubclass(hint, StrEnum):
        return _set, hint
    if hint in {str, bytes}:
        return _set_nonempty, _unchanged
    return (_set_int if hint is int else _set), _unchanged


def _tuple_codec(item: Any) -> tuple[_Encoder, _Decoder]:
    if not dataclasses.is_dataclass(item):
        return _set_list, tuple
    if set(typing.get_type_hints(item).values()) <= _SCALARS:
        return _column_codec(item)
    _add_codecs(item)
    return _row_codec(item)


def _camel_case(name: str) -> str:
    head, *rest = name.split('_')
    return head + ''.join(word.capitalize() for word in rest)


def _add_codecs(kind: type) -> None:
    if kind in _CODECS_BY_TYPE:
        return
    hints = typing.get_type_hints(kind)
    _CODECS_BY_TYPE[kind] = tuple(
        _FieldCodec(
            field.name,
            _camel_case(field.name),
            *_field_codec(hints[field.name]),
        )
        for field in dataclasses.fields(kind)
    )


def _add_all_codecs() -> None:
    for kind in MESSAGE_TYPES.values():
        _add_codecs(kind)


_CODECS_BY_TYPE: dict[type, tuple[_FieldCodec, ...]] = {}
_NAMES_BY_TYPE = {kind: name for name, kind in MESSAGE_TYPES.items()}
_add_all_codecs()
