"""Encoding and decoding of every registered message, and of malformed input."""

import importlib
import pkgutil
import typing

import attrs
import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

import knapweedlead
from knapweedlead.errors import CodecError
from knapweedlead.messages import _codec, decode_message, encode_message

for _module in pkgutil.walk_packages(knapweedlead.__path__, "knapweedlead."):
    if ".tests" not in _module.name and not _module.name.endswith(".main"):
        importlib.import_module(_module.name)

CLASSES = list(_codec._code_by_class)

INTEGERS = st.integers(-(2**63), 2**64 - 1)
CBOR = st.recursive(
    st.one_of(st.none(), st.booleans(), INTEGERS, st.floats(), st.binary(), st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=5),
        st.dictionaries(st.text(max_size=5), inner, max_size=5),
    ),
    max_leaves=20,
)


def field_values(hint):
    if attrs.has(hint):
        return message_values(hint)
    origin = typing.get_origin(hint)
    if origin is tuple:
        return st.lists(field_values(typing.get_args(hint)[0]), max_size=3).map(tuple)
    if origin is dict:
        key, value = typing.get_args(hint)
        return st.dictionaries(field_values(key), field_values(value), max_size=3)
    return {
        int: INTEGERS,
        float: st.floats(allow_nan=False),
        bool: st.booleans(),
        str: st.text(max_size=20),
        bytes: st.binary(max_size=20),
    }[hint]


def message_values(cls):
    hints = typing.get_type_hints(cls)
    names = [attribute.name for attribute in attrs.fields(cls)]
    return st.tuples(*[field_values(hints[name]) for name in names]).map(
        lambda values: cls(*values)
    )


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.__name__)
def test_every_message_round_trips(cls):
    @given(message_values(cls))
    def check(value):
        decoded = decode_message(encode_message(value))
        assert decoded == Ok(value)
        assert type(decoded.ok_value) is cls

    check()


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.__name__)
def test_field_of_another_type_is_rejected(cls):
    @given(message_values(cls), st.data())
    def check(value, data):
        values = cbor2.loads(encode_message(value))
        if len(values) == 1:
            return
        index = data.draw(st.integers(1, len(values) - 1))
        values[index] = None
        assert isinstance(decode_message(cbor2.dumps(values)), Err)

    check()


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.__name__)
def test_missing_and_extra_fields_are_rejected(cls):
    code = _codec._code_by_class[cls]
    count = len(attrs.fields(cls))
    for length in {count + 1, count - 1} - {-1}:
        decoded = decode_message(cbor2.dumps([code, *[1] * length]))
        assert isinstance(decoded, Err)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_never_raise(data):
    assert isinstance(decode_message(data), Ok | Err)


@given(st.sampled_from(sorted(_codec._class_by_code)), CBOR)
def test_arbitrary_fields_never_raise(code, value):
    fields = value if isinstance(value, list) else [value]
    assert isinstance(decode_message(cbor2.dumps([code, *fields])), Ok | Err)


@given(CBOR)
def test_error_for_a_non_message_value_holds_step_and_peer(value):
    decoded = decode_message(cbor2.dumps({"not": value}), "10.0.0.1:1")
    assert isinstance(decoded.err_value, CodecError)
    assert decoded.err_value.step == "messages.decode"
    assert decoded.err_value.peer == "10.0.0.1:1"


@pytest.mark.parametrize("depth", [100, 5000, 100_000])
def test_deep_nesting_is_rejected_without_a_crash(depth):
    assert isinstance(decode_message(b"\x81" * depth), Err)


def test_truncated_messages_and_trailing_bytes_are_rejected():
    data = cbor2.dumps([13, b"r" * 16, 1, 1])
    assert isinstance(decode_message(data), Ok)
    assert all(
        isinstance(decode_message(data[:length]), Err) for length in range(len(data))
    )
    assert isinstance(decode_message(data + b"\x00"), Err)
