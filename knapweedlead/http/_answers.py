"""Answers of backend servers, and what their heads say of them."""

import attrs

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


@attrs.frozen
class HttpAnswer:
    """A complete answer; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


def is_close_delimited(status: int, headers: dict[str, str]) -> bool:
    """Return whether the end of the connection delimits the body of an answer."""
    has_length = "content-length" in headers or "transfer-encoding" in headers
    return not has_length and status not in _STATUSES_WITHOUT_BODY


def announces_body(headers: dict[str, str]) -> bool:
    """Return whether a head says that a body follows."""
    return "transfer-encoding" in headers or headers.get("content-length", "0") != "0"


def keep_alive_timeout(headers: dict[str, str]) -> float:
    """Return the ``Keep-Alive`` timeout in seconds; 0 if the headers state none."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return 0.0
