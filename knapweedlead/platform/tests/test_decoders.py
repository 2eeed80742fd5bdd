"""Decoders return a value or a typed error for any input; they never raise."""

import base64
import copy
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from knapweedlead.mesh import FleetState, Member, ServerNotice, apply_change
from knapweedlead.platform import (
    decode_call,
    decode_configuration,
    decode_heartbeat,
    decode_server_notice,
    load_boot_file,
)
from knapweedlead.platform._keys import decode_changes, encode_member
from knapweedlead.platform.tests.fleets import CONFIGURATION
from knapweedlead.positions import StorePosition

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


SEALED = {"knapweedlead-response-seal": "s"}


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


@pytest.mark.parametrize(
    ("header", "timeout"),
    [
        (None, math.inf),
        ("1500", 1.5),
        ("0", 0.0),
        ("-1", 0.0),
        ("-1e400", 0.0),
        ("900, 300", 0.3),
        ("300, 900", 0.3),
        ("", math.inf),
        ("soon", math.inf),
        ("nan", math.inf),
        ("1e400", math.inf),
    ],
)
def test_deadline_that_has_passed_or_is_repeated_gives_no_more_time(header, timeout):
    # Guards against a deadline in the past, or several, that are read like a missing
    # one, so that a server works on a call for which nobody waits.
    headers = {"host": "h", "knapweedlead-request-id": "r"}
    if header is not None:
        headers["knapweedlead-deadline-ms"] = header
    call = decode_call("GET", "/a/", headers, b"", "s").ok_value
    assert call.caller_timeout == timeout


def test_invalid_members_and_other_keys_are_ignored():
    member = Member("a", "10.0.0.1:7000", "s", "z")
    valid = encode_member(member, 7) | {"revision": 3}
    misnamed = {"key": "members/b", "value": valid["value"], "revision": 4}
    malformed = {"key": "members/c", "value": base64.b64encode(b"[]"), "revision": 5}
    other_key = {"key": "other/d", "value": "", "revision": 6}
    change = decode_changes(
        [valid, misnamed, malformed, other_key], StorePosition(1, 6)
    )
    state = apply_change(FleetState(), change)
    assert state.member_by_name == {"a": member}


def test_state_follows_changes_and_revision_never_decreases():
    state = apply_change(
        FleetState(),
        decode_changes(
            [{"key": "op/evacuate/z", "value": "", "revision": 4}], StorePosition(1, 4)
        ),
    )
    assert state.evacuated == frozenset({"z"})
    event = {"key": "op/evacuate/z", "revision": 5, "deleted": True}
    state = apply_change(state, decode_changes([event], StorePosition(1, 5)))
    assert (state.evacuated, state.position) == (frozenset(), StorePosition(1, 5))
    assert apply_change(state, decode_changes([], StorePosition(1, 3))).position == (
        StorePosition(1, 5)
    )


def test_invalid_boot_file_error_names_the_expected_content(tmp_path):
    path = tmp_path / "boot.json"
    assert "readable" in str(load_boot_file(path).err_value)
    path.write_text("{")
    assert "boot file in JSON" in str(load_boot_file(path).err_value)
    path.write_text("{}")
    assert "listen" in str(load_boot_file(path).err_value)


def decode(document):
    return decode_configuration(json.dumps(document).encode()).ok_value


def with_route(**changes):
    """Return the configuration with changes to its first route."""
    document = copy.deepcopy(CONFIGURATION)
    document["virtualHosts"][0]["paths"][0] |= changes
    return document


def test_upload_is_not_idempotent():
    configuration = decode(with_route(kind="upload"))
    assert not configuration.route_by_name["read"].is_idempotent
    assert configuration.problems == ()


def test_unknown_kind_counts_as_not_idempotent_and_is_named():
    configuration = decode(with_route(kind="stream"))
    assert not configuration.route_by_name["read"].is_idempotent
    (problem,) = configuration.problems
    assert "h.example.paths[0]" in problem
    assert "'stream'" in problem


def damaged_parts():
    """Return the paths to all values inside an entry of the configuration."""
    entries = [
        ("virtualHosts", 0, "paths", index, field)
        for index, route in enumerate(CONFIGURATION["virtualHosts"][0]["paths"])
        for field in route
    ]
    entries += [
        ("services", index, field)
        for index, service in enumerate(CONFIGURATION["services"])
        for field in service
    ]
    entries += [("tenants", 0, field) for field in CONFIGURATION["tenants"][0]]
    return entries + [("limits", field) for field in CONFIGURATION["limits"]]


@given(st.sampled_from(damaged_parts()), json_values)
def test_one_damaged_part_affects_its_entry_only_and_permits_no_more(path, value):
    document = copy.deepcopy(CONFIGURATION)
    *parents, field = path
    entry = document
    for key in parents:
        entry = entry[key]
    entry[field] = value
    damaged = decode(document)
    intact = decode(CONFIGURATION)
    assert damaged.version == intact.version
    assert damaged.needs_keys
    index = path[3] if path[0] == "virtualHosts" else None
    others = [route for number, route in enumerate(intact.routes) if number != index]
    assert all(route in damaged.routes for route in others)
    for route in damaged.routes:
        known = intact.route_by_name.get(route.name)
        if known is None or not route.is_usable or known == route:
            continue
        # A changed value that is valid is the operator's; a wrong type never is.
        assert route.is_idempotent <= (known.is_idempotent or field == "kind")
        assert isinstance(route.is_public, bool)
        assert not route.is_public or field == "public" or known.is_public
    for account in damaged.account_by_name.values():
        assert (
            account.is_usable
            or account.keys in ((), ("key-crew",))
            or field == "apiKeys"
        )
        assert account.rate > 0.0 or not account.is_usable or field == "ratePerS"


def test_damaged_route_keeps_its_prefix_from_matching_a_shorter_one():
    document = copy.deepcopy(CONFIGURATION)
    paths = document["virtualHosts"][0]["paths"]
    paths.append(paths[0] | {"name": "deep", "prefix": "/read/deep/", "service": 7})
    configuration = decode(document)
    assert not configuration.route_of("h.example", "/read/deep/7").is_usable
    assert configuration.route_of("h.example", "/read/7").is_usable


def test_public_as_text_does_not_open_a_route():
    configuration = decode(with_route(public="false"))
    assert not configuration.route_by_name["read"].is_usable


def test_keys_are_needed_although_no_account_can_be_decoded():
    configuration = decode(CONFIGURATION | {"tenants": [7]})
    assert configuration.needs_keys
    assert configuration.account_by_key == {}


def test_keys_are_needed_although_the_list_of_accounts_is_empty():
    # Guards against an empty list that is read like a missing one and admits everybody.
    configuration = decode(CONFIGURATION | {"tenants": []})
    assert configuration.needs_keys
    assert configuration.account_by_key == {}


def test_no_key_is_needed_without_a_list_of_accounts():
    document = copy.deepcopy(CONFIGURATION)
    del document["tenants"]
    assert not decode(document).needs_keys


def test_account_without_a_readable_rate_keeps_its_keys_but_is_unusable():
    account = CONFIGURATION["tenants"][0] | {"ratePerS": "unlimited"}
    configuration = decode(CONFIGURATION | {"tenants": [account]})
    assert not configuration.account_by_key["key-crew"].is_usable


def test_service_that_cannot_be_decoded_is_limited_while_cold():
    service = CONFIGURATION["services"][0] | {"coldPerS": None}
    configuration = decode(CONFIGURATION | {"services": [service]})
    assert configuration.service_by_name["front"].cold_rate < 40.0
    assert "services[0]" in configuration.problems[0]


@pytest.mark.parametrize("service", ["front", None])
def test_route_with_an_empty_list_of_backends_is_unusable(service):
    # Guards against an empty list that is read like a missing one, so that calls reach
    # a service that the operators do not name for them.
    configuration = decode(with_route(backends=[], service=service))
    assert not configuration.route_by_name["read"].is_usable
    assert "backends" in configuration.problems[0]


def test_route_without_backends_leads_to_its_service():
    configuration = decode(with_route(backends=None))
    (part,) = configuration.route_by_name["read"].services
    assert part.service == "front"


@pytest.mark.parametrize(
    ("cold_start", "cold_rate", "expected"),
    [(3.0, 0, 0.0), (3.0, 40.0, 40.0), (0, 0, math.inf), (0, 5.0, 5.0)],
)
def test_cold_rate_of_zero_is_a_limit_unless_there_is_no_cold_start(
    cold_start, cold_rate, expected
):
    # Guards against a rate of 0 that is read like a missing one, i.e. as no limit.
    service = CONFIGURATION["services"][0]
    service = service | {"coldStartS": cold_start, "coldPerS": cold_rate}
    configuration = decode(CONFIGURATION | {"services": [service]})
    assert configuration.service_by_name["front"].cold_rate == expected


@pytest.mark.parametrize("name", ["\ud800", "a\r\nb", "\u0141", "x" * 500])
def test_account_whose_name_cannot_be_sent_is_unusable(name):
    # Guards against an account whose name raises in each message and each hash.
    odd = CONFIGURATION["tenants"][0] | {"name": name, "apiKeys": ["key-odd"]}
    document = CONFIGURATION | {"tenants": [*CONFIGURATION["tenants"], odd]}
    configuration = decode(document)
    account = configuration.account_by_key.get("key-odd")
    assert account is None or not account.is_usable
    assert configuration.account_by_key["key-crew"].is_usable
    assert "tenants[1]" in configuration.problems[0]


@pytest.mark.parametrize("field", ["name", "prefix", "service", "kind"])
def test_route_with_text_that_cannot_be_encoded_is_unusable(field):
    configuration = decode(with_route(**{field: "/\ud800/"}))
    unusable = [route for route in configuration.routes if not route.is_usable]
    if field in ("name", "service"):
        assert len(unusable) == 1
    assert len(configuration.routes) == len(decode(CONFIGURATION).routes)


def test_deeply_nested_part_affects_its_entry_only():
    # Guards against an error text that fails for the value that it describes.
    nested = []
    for _ in range(800):
        nested = [nested]
    document = with_route(priority=nested) | {"limits": nested}
    configuration = decode(document)
    assert len(configuration.problems) == 2
    assert all(len(problem) < 300 for problem in configuration.problems)


def test_empty_key_of_a_damaged_account_matches_no_call_without_a_key():
    # Guards against a call without a key that is taken for one of that account.
    account = CONFIGURATION["tenants"][0] | {"ratePerS": None, "apiKeys": ["", "k"]}
    configuration = decode(CONFIGURATION | {"tenants": [account]})
    assert set(configuration.account_by_key) == {"k"}


def newer(document):
    """Return a document with an unknown field in each object."""
    if isinstance(document, dict):
        return {key: newer(value) for key, value in document.items()} | {"added": [1]}
    if isinstance(document, list):
        return [newer(value) for value in document]
    return document


def test_unknown_fields_of_a_newer_version_are_ignored():
    configuration = decode(newer(CONFIGURATION))
    assert configuration.routes == decode(CONFIGURATION).routes
    assert configuration.problems == ()
    heartbeat = decode_heartbeat("i", json.dumps(newer(HEARTBEAT)).encode())
    assert heartbeat == decode_heartbeat("i", json.dumps(HEARTBEAT).encode())
    member = Member("a", "10.0.0.1:7000", "s", "z")
    entry = encode_member(member, 7) | {"revision": 3}
    document = newer(json.loads(base64.b64decode(entry["value"])))
    entry["value"] = base64.b64encode(json.dumps(document).encode()).decode()
    assert decode_changes([entry], StorePosition(1, 3)).joined == (member,)


@given(json_values)
def test_one_damaged_store_entry_affects_only_its_key(value):
    member = Member("a", "10.0.0.1:7000", "s", "z")
    valid = encode_member(member, 7) | {"revision": 3}
    entries = [value, {"key": value}, {"key": "members/b", "value": value}]
    entries.append({"key": "op/config", "value": value, "revision": 5})
    change = decode_changes([*entries, valid], StorePosition(1, 6))
    assert change.joined == (member,)


@pytest.mark.parametrize(
    ("headers", "notice"),
    [
        ({}, ServerNotice(None, False)),
        (SEALED, ServerNotice(math.inf, False)),
        ({"knapweedlead-not-executed": "1"}, ServerNotice(None, False)),
        (SEALED | {"knapweedlead-not-executed": "1"}, ServerNotice(None, False)),
        (
            {"knapweedlead-not-executed": "1", "server-limit": "31.6"},
            ServerNotice(31.6, False),
        ),
        (SEALED | {"server-limit": "31.6"}, ServerNotice(31.6, False)),
        ({"server-limit": "31.6"}, ServerNotice(31.6, False)),
        ({"server-limit": "0"}, ServerNotice(0.0, False)),
        ({"server-limit": "40, 31.6"}, ServerNotice(31.6, False)),
        ({"server-limit": "nan"}, ServerNotice(None, False)),
        ({"server-limit": "inf"}, ServerNotice(None, False)),
        ({"server-limit": "-1"}, ServerNotice(None, False)),
        ({"server-limit": "many"}, ServerNotice(None, False)),
        ({"server-leaving": "1"}, ServerNotice(None, True)),
        (SEALED | {"server-leaving": "1"}, ServerNotice(math.inf, True)),
        (SEALED | {"server-leaving": "0"}, ServerNotice(math.inf, False)),
        (SEALED | {"server-leaving": "soon"}, ServerNotice(math.inf, True)),
    ],
)
def test_server_notice_that_cannot_be_read_never_permits_more(headers, notice):
    assert decode_server_notice(headers) == notice
