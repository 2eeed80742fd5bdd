"""Decoders return a value or a typed error for any input; they never raise."""

import base64
import json

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from knapweedlead.mesh import FleetState, Member, apply_change
from knapweedlead.platform import (
    decode_call,
    decode_configuration,
    decode_heartbeat,
    load_boot_file,
)
from knapweedlead.platform._keys import decode_changes, encode_member
from knapweedlead.platform.tests.fleets import CONFIGURATION

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)

HEARTBEAT = {
    "address": "10.0.0.1:80",
    "born": 1000,
    "info": {"service": "s", "version": "v", "zone": "z", "slots": 4},
    "status": {"state": "ready", "sequence": 1, "coldRemainingMs": 0},
}


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_heartbeat_and_configuration(data):
    assert isinstance(decode_heartbeat("i", data), Err)
    assert isinstance(decode_configuration(data), Err)


@given(
    st.sampled_from(["address", "born", "info", "status"]),
    json_values,
)
def test_heartbeat_with_an_arbitrary_field_raises_nothing(field, value):
    body = json.dumps(HEARTBEAT | {field: value}).encode()
    assert isinstance(decode_heartbeat("i", body), Ok | Err)


def test_heartbeat_with_an_invalid_field_is_rejected():
    for part, field, value in (
        ("status", "state", "resting"),
        ("info", "service", ""),
        ("info", "slots", "4"),
        ("status", "sequence", True),
    ):
        document = HEARTBEAT | {part: HEARTBEAT[part] | {field: value}}
        assert isinstance(decode_heartbeat("i", json.dumps(document).encode()), Err)


@given(st.sampled_from(sorted(CONFIGURATION)), json_values)
def test_configuration_with_an_arbitrary_part_raises_nothing(part, value):
    body = json.dumps(CONFIGURATION | {part: value}).encode()
    assert isinstance(decode_configuration(body), Ok | Err)


@given(
    st.text(max_size=8),
    st.text(max_size=20),
    st.dictionaries(st.text(max_size=10), st.text(max_size=20), max_size=4),
    st.binary(max_size=20),
)
def test_arbitrary_request_raises_nothing(method, target, headers, body):
    decoded = decode_call(method, target, headers, body, "s")
    if isinstance(decoded, Ok):
        assert b"\r\n\r\n" not in decoded.ok_value.head


def test_invalid_members_and_other_keys_are_ignored():
    member = Member("a", "10.0.0.1:7000", "s", "z")
    valid = encode_member(member, 7) | {"revision": 3}
    misnamed = {"key": "members/b", "value": valid["value"], "revision": 4}
    malformed = {"key": "members/c", "value": base64.b64encode(b"[]"), "revision": 5}
    other_key = {"key": "other/d", "value": "", "revision": 6}
    change = decode_changes([valid, misnamed, malformed, other_key], 6)
    state = apply_change(FleetState(), change)
    assert state.member_by_name == {"a": member}


def test_state_follows_changes_and_revision_never_decreases():
    state = apply_change(
        FleetState(),
        decode_changes([{"key": "op/evacuate/z", "value": "", "revision": 4}], 4),
    )
    assert state.evacuated == frozenset({"z"})
    event = {"key": "op/evacuate/z", "revision": 5, "deleted": True}
    state = apply_change(state, decode_changes([event], 5))
    assert (state.evacuated, state.revision) == (frozenset(), 5)
    assert apply_change(state, decode_changes([], 3)).revision == 5


def test_invalid_boot_file_error_names_the_expected_content(tmp_path):
    path = tmp_path / "boot.json"
    assert "readable" in str(load_boot_file(path).err_value)
    path.write_text("{")
    assert "boot file in JSON" in str(load_boot_file(path).err_value)
    path.write_text("{}")
    assert "listen" in str(load_boot_file(path).err_value)
