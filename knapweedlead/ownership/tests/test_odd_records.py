"""Odd records of slots in the store."""

import json

import attrs
import pytest
from result import Err, Ok

from knapweedlead.ownership._record import SlotRecord, decode_record, encode_record

KEY = "knapweedlead/slots/3"
RECORD = SlotRecord(
    slot=3,
    epoch=5,
    count=9,
    owner="m1",
    incarnation=7,
    link_address="10.0.0.1:7000",
    backup="m2",
    backup_incarnation=8,
    backup_address="10.0.0.2:7000",
    appointment=9,
)
ODD_FIELDS: list[dict] = [
    {"slot": 4},
    {"slot": "3"},
    {"epoch": "x"},
    {"epoch": 10**400},
    {"epoch": -1},
    {"epoch": 5.5},
    {"count": None},
    {"owner": 7},
    {"owner": "\ud800"},
    {"link_address": "10.0.0.1:70000"},
    {"link_address": ""},
    {"backup_address": "odd.example:7000"},
    {"incarnation": [7]},
    {"appointment": 10**400},
]
ODD_VALUES = [
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"7" * 5000,
    b"1e999",
    b"[]",
    b"{}",
    b"\xff",
    *(json.dumps(attrs.asdict(RECORD) | fields).encode() for fields in ODD_FIELDS),
]


@pytest.mark.parametrize("number", range(len(ODD_VALUES)))
def test_odd_record_is_an_error_and_raises_nothing(number):
    # Guards against an exception while the slots are read, after which no later slot
    # is looked at, by any daemon.
    assert isinstance(decode_record(KEY, ODD_VALUES[number]), Err)


def test_record_is_read_back_without_fields_of_a_later_version():
    assert decode_record(KEY, encode_record(RECORD)) == Ok(RECORD)
    value = json.dumps(attrs.asdict(RECORD) | {"added": 1}).encode()
    assert decode_record(KEY, value) == Ok(RECORD)
