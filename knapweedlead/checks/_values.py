"""Checks of single values."""

import ipaddress
import math
import re
import reprlib
from typing import Any

MAX_COUNT = 2**63 - 1
"""Largest integer that is accepted where nothing else limits it."""
MAX_NAME_LENGTH = 200
"""Characters of a name; the platform's store limits its keys to as many bytes."""
MAX_PORT = 65535
FIRST_INTERIM_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
"""HTTP statuses; RFC 9110, section 15, defines none below 100 or above 599."""

_PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)
_MAX_SHOWN = 80
_MAX_SHOWN_BITS = 128


class _BoundedRepr(reprlib.Repr):
    """Representation of any value in bounded time and length."""

    def __init__(self) -> None:
        super().__init__()
        self.maxstring = self.maxother = _MAX_SHOWN

    def repr_int(self, x: int, level: int) -> str:
        """Return the digits of an integer, or its size if there are many."""
        if x.bit_length() <= _MAX_SHOWN_BITS:
            return repr(x)
        return f"<integer of {x.bit_length()} bits>"


_bounded_repr = _BoundedRepr()


def describe(value: Any) -> str:
    """Return a short representation of a value, however large or nested it is."""
    return _bounded_repr.repr(value)


def _error(expected: str, value: Any) -> ValueError:
    return ValueError(f"expected {expected}, got {describe(value)}")


def check_text(value: Any) -> str:
    """Return a string that is not empty."""
    if not isinstance(value, str) or not value:
        raise _error("a non-empty string", value)
    return value


def check_name(value: Any) -> str:
    """Return a name: a short string of printable characters.

    Such a string can be encoded for peers, logs and hashes; one with surrogates cannot.
    """
    is_name = isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH
    if not is_name or not value.isprintable():
        raise _error(f"a printable name of 1 to {MAX_NAME_LENGTH} characters", value)
    return str(value)


def check_header_name(value: Any) -> str:
    """Return a name that can be sent in an HTTP header."""
    name = check_name(value)
    try:
        name.encode("latin-1")
    except UnicodeEncodeError:
        raise _error("a name of Latin-1 characters", value) from None
    return name


def check_list(value: Any) -> list[Any]:
    """Return a list."""
    if not isinstance(value, list):
        raise _error("a list", value)
    return value


def check_flag(value: Any) -> bool:
    """Return a boolean."""
    if not isinstance(value, bool):
        raise _error("true or false", value)
    return value


def check_number(value: Any) -> float:
    """Return a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _error("a finite number", value)
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise _error("a finite number", value)
    return number


def check_amount(value: Any) -> float:
    """Return a finite number of at least 0."""
    number = check_number(value)
    if number < 0.0:
        raise _error("a number of at least 0", value)
    return number


def check_count(value: Any, maximum: int = MAX_COUNT) -> int:
    """Return an integer from 0 to `maximum`."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= maximum:
        raise _error(f"an integer from 0 to {maximum}", value)
    return int(value)


def check_address(value: Any) -> str:
    """Return an address ``IP:PORT`` that a connection can be opened to."""
    text = check_name(value)
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise _error(f"IP:PORT with a port from 1 to {MAX_PORT}", value)
    try:
        address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise _error("IP:PORT with a numeric address", value) from None
    if address.is_unspecified or address.is_multicast:
        raise _error("IP:PORT with the address of a host", value)
    return text


def check_final_status(value: Any) -> int:
    """Return the HTTP status of a final response."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not FIRST_FINAL_STATUS <= value <= LAST_STATUS:
        expected = f"an HTTP status from {FIRST_FINAL_STATUS} to {LAST_STATUS}"
        raise _error(expected, value)
    return int(value)
