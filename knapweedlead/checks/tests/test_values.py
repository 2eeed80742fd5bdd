"""Each check returns a value of its type or raises a short `ValueError`."""

import contextlib
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead import checks


def nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


CHECKS = {
    checks.check_text: str,
    checks.check_name: str,
    checks.check_header_name: str,
    checks.check_address: str,
    checks.check_list: list,
    checks.check_flag: bool,
    checks.check_number: float,
    checks.check_amount: float,
    checks.check_count: int,
    checks.check_final_status: int,
}
ODD_VALUES = [
    None,
    10**400,
    -(10**400),
    10**6000,
    math.inf,
    -math.inf,
    math.nan,
    -1,
    True,
    "",
    "x" * 10**6,
    "\ud800",
    "a\r\nb",
    b"bytes",
    {"a": 1},
    nested(100_000),
]


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
@pytest.mark.parametrize("value", ODD_VALUES, ids=checks.describe)
def test_odd_value_is_rejected_with_a_short_text_or_has_the_type(check, value):
    # Guards against a check, or its error message, that fails for the value itself.
    try:
        checked = check(value)
    except ValueError as error:
        assert str(error).startswith("expected ")
        assert len(str(error)) < 300
    else:
        assert type(checked) is CHECKS[check]


@given(
    st.sampled_from(sorted(CHECKS, key=lambda check: check.__name__)),
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
)
def test_no_check_raises_another_error(check, value):
    with contextlib.suppress(ValueError):
        check(value)


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:070",
        "10.0.0.1:+70",
        "10.0.0.1: 70",
        "10.0.0.1:\u0667\u0660",
        "10.0.0.1:",
        "10.0.0.1",
        "10.0.0:70",
        ":70",
        "host.example:70",
        "0.0.0.0:70",
        "224.0.0.1:70",
        "[::]:70",
    ],
)
def test_address_without_a_numeric_host_or_a_valid_port_is_rejected(address):
    with pytest.raises(ValueError, match="IP:PORT"):
        checks.check_address(address)


@pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1:65535", "[::1]:7000"])
def test_address_of_a_host_is_accepted(address):
    assert checks.check_address(address) == address


def test_surrogates_are_rejected_since_they_cannot_be_encoded():
    with pytest.raises(ValueError, match="printable"):
        checks.check_name("a\ud800")


def test_only_some_names_fit_into_a_header():
    assert checks.check_name("\u0141") == "\u0141"
    with pytest.raises(ValueError, match="Latin-1"):
        checks.check_header_name("\u0141")
