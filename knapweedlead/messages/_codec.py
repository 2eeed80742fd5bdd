"""Positional, type-checked CBOR codec for attrs classes.

A message is encoded as one CBOR array: its code, followed by its fields in the order
of their declaration. Decoding accepts only the declared field types, except that an
integer is accepted for a float and converted.
"""

import io
import typing
from collections.abc import Callable
from operator import attrgetter
from typing import Any, TypeVar

import attrs
import cbor2
from result import Err, Ok, Result

from knapweedlead.checks import MAX_COUNT, describe
from knapweedlead.errors import CodecError

Message = Any
"""An instance of a class decorated with `message`."""

_Nested = TypeVar("_Nested", bound=attrs.AttrsInstance)

MAX_MESSAGE_BYTES = 8 * 1024 * 1024

_UNKNOWN_PEER = "-"

_class_by_code: dict[int, type] = {}
_code_by_class: dict[type, int] = {}
_packer_by_class: dict[type, Callable[[Any], list[Any]]] = {}
_unpacker_by_class: dict[type, Callable[[Any], Any]] = {}


class _MalformedError(ValueError):
    """A decoded value does not match the declared type."""


def message(code: int) -> Callable[[type], type]:
    """Return a decorator that registers an attrs class under a message code."""

    def decorate(cls: type) -> type:
        if code in _class_by_code:
            raise ValueError(f"message code {code} is already registered")
        _class_by_code[code] = cls
        _code_by_class[cls] = code
        return nested(cls)

    return decorate


def nested(cls: type) -> type:
    """Register an attrs class that is used only in fields of messages."""
    hints = typing.get_type_hints(cls)
    names = [attribute.name for attribute in attrs.fields(cls)]
    _packer_by_class[cls] = _make_packer(names, [hints[name] for name in names])
    _unpacker_by_class[cls] = _make_unpacker(cls, [hints[name] for name in names])
    return cls


def _make_packer(names: list[str], hints: list[Any]) -> Callable[[Any], list[Any]]:
    packers = [_value_packer(hint) for hint in hints]
    if not names:
        return lambda value: []
    if all(packer is None for packer in packers):
        if len(names) == 1:
            get_field = attrgetter(names[0])
            return lambda value: [get_field(value)]
        getter = attrgetter(*names)
        return lambda value: list(getter(value))
    pairs = list(zip(names, packers, strict=True))

    def pack(value: Any) -> list[Any]:
        return [
            getattr(value, name) if packer is None else packer(getattr(value, name))
            for name, packer in pairs
        ]

    return pack


def _value_packer(hint: Any) -> Callable[[Any], Any] | None:
    """Return the packer of a type, or None if its values are encoded unchanged."""
    if attrs.has(hint):
        return lambda value: _packer_by_class[hint](value)
    if typing.get_origin(hint) is tuple:
        inner = _value_packer(typing.get_args(hint)[0])
        if inner is None:
            return None
        pack_item = inner
        return lambda values: [pack_item(value) for value in values]
    if typing.get_origin(hint) is dict:
        inner = _value_packer(typing.get_args(hint)[1])
        if inner is None:
            return None
        pack_value = inner
        return lambda by_key: {key: pack_value(value) for key, value in by_key.items()}
    return None


def _make_unpacker(cls: type, hints: list[Any]) -> Callable[[Any], Any]:
    unpackers = [_value_unpacker(hint) for hint in hints]
    wire_types = [_wire_type(hint) for hint in hints]
    fields = enumerate(zip(wire_types, unpackers, strict=True))
    nested_fields = [
        (index, unpacker) for index, (kind, unpacker) in fields if kind in (list, dict)
    ]

    def unpack(values: Any) -> Any:
        if type(values) is not list or list(map(type, values)) != wire_types:
            values = _unpack_fields(cls, unpackers, values)
            return cls(*values)
        for index, unpacker in nested_fields:
            values[index] = unpacker(values[index])
        return cls(*values)

    return unpack


def _unpack_fields(
    cls: type, unpackers: list[Callable[[Any], Any]], values: Any
) -> list[Any]:
    """Unpack field by field, so that the error describes the mismatched value."""
    if type(values) not in (list, tuple) or len(values) != len(unpackers):
        raise _MalformedError(f"{cls.__name__}: expected {len(unpackers)} fields")
    return [unpacker(v) for unpacker, v in zip(unpackers, values, strict=True)]


def _wire_type(hint: Any) -> type:
    """Return the type that CBOR decodes a value of a declared type to."""
    if attrs.has(hint) or typing.get_origin(hint) is tuple:
        return list
    return typing.get_origin(hint) or hint


def _value_unpacker(hint: Any) -> Callable[[Any], Any]:
    origin = typing.get_origin(hint)
    if attrs.has(hint):
        return lambda value: _unpacker_by_class[hint](value)
    if origin is tuple:
        return _tuple_unpacker(hint)
    if origin is dict:
        return _dict_unpacker(hint)
    if hint is float:
        return _unpack_float
    return _scalar_unpacker(hint)


def _scalar_unpacker(kind: type) -> Callable[[Any], Any]:
    def unpack(value: Any) -> Any:
        if type(value) is not kind:
            raise _MalformedError(
                f"expected {kind.__name__}, got {type(value).__name__}"
            )
        return value

    return unpack


def _unpack_float(value: Any) -> float:
    if type(value) is float:
        return value
    if type(value) is int and abs(value) <= MAX_COUNT:
        return float(value)
    raise _MalformedError(f"expected a number, got {type(value).__name__}")


def _tuple_unpacker(hint: Any) -> Callable[[Any], Any]:
    unpack_item = _value_unpacker(typing.get_args(hint)[0])

    def unpack(values: Any) -> Any:
        if type(values) not in (list, tuple):
            raise _MalformedError(f"expected a list, got {type(values).__name__}")
        return tuple(unpack_item(value) for value in values)

    return unpack


def _dict_unpacker(hint: Any) -> Callable[[Any], Any]:
    key_hint, value_hint = typing.get_args(hint)
    unpack_key = _value_unpacker(key_hint)
    unpack_value = _value_unpacker(value_hint)
    plain_types = {key_hint, value_hint} if key_hint is value_hint is str else set()

    def unpack(by_key: Any) -> Any:
        if type(by_key) is not dict:
            raise _MalformedError(f"expected a map, got {type(by_key).__name__}")
        types = {*map(type, by_key), *map(type, by_key.values())}
        if plain_types and types <= plain_types:
            return by_key
        return {unpack_key(key): unpack_value(value) for key, value in by_key.items()}

    return unpack


def read_document(cls: type[_Nested], document: Any) -> _Nested:
    """Return an instance of a `nested` class from a map of its fields, e.g. from JSON.

    Fields of later versions are ignored; a missing field gets its default.

    Raises
    ------
    ValueError
        If a field has another type, or is missing and has no default.
    """
    if type(document) is not dict:
        raise _MalformedError(f"expected a map, got {describe(document)}")
    values = []
    for field in attrs.fields(cls):
        if field.name in document:
            values.append(document[field.name])
        elif field.default is not attrs.NOTHING:
            values.append(field.default)
        else:
            raise _MalformedError(f"{cls.__name__}: expected field {field.name}")
    instance: _Nested = _unpacker_by_class[cls](values)
    return instance


def encode_message(value: Message) -> bytes:
    """Return the encoding of a message."""
    cls = type(value)
    return cbor2.dumps([_code_by_class[cls], *_packer_by_class[cls](value)])


def decode_message(
    data: bytes, peer: str = _UNKNOWN_PEER
) -> Result[Message, CodecError]:
    """Decode one message; bytes after its end are an error.

    Parameters
    ----------
    data : bytes
        Encoded message, of at most `MAX_MESSAGE_BYTES` bytes.
    peer : str
        Link address of the sender, named in errors.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return _decode_error(peer, f"expected at most {MAX_MESSAGE_BYTES} bytes")
    stream = io.BytesIO(data)
    try:
        values = cbor2.load(stream)
    except Exception as error:
        return _decode_error(peer, f"not CBOR: {type(error).__name__}")
    if stream.tell() != len(data):
        return _decode_error(peer, "trailing bytes")
    if type(values) is not list or not values or type(values[0]) is not int:
        return _decode_error(peer, "not a message array")
    cls = _class_by_code.get(values[0])
    if cls is None:
        return _decode_error(peer, f"unknown message code {values[0]}")
    try:
        return Ok(_unpacker_by_class[cls](values[1:]))
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        return _decode_error(peer, f"{cls.__name__}: {error}")


def _decode_error(peer: str, detail: str) -> Err[CodecError]:
    return Err(CodecError(step="messages.decode", peer=peer, detail=detail))
