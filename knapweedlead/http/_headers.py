"""Encoding of HTTP/1.1 messages and decoding of their headers."""

from functools import lru_cache
from http import HTTPStatus

HEADER_OBJECT_BYTES = 160
"""Memory that a header takes besides its bytes."""

_HEADER_NAME_CACHE_SIZE = 1024

_CHUNKED = "chunked"
_FRAMING = ("content-length", "transfer-encoding")
"""Headers that delimit a body."""
_PHRASE_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


@lru_cache(maxsize=_HEADER_NAME_CACHE_SIZE)
def decode_header_name(raw: bytes) -> str:
    """Decode a header name and convert it to lower case."""
    return raw.decode("latin-1").lower()


class HeaderCollector:
    """Collects the headers of a message; repeated ones are joined with commas."""

    __slots__ = ("_parts_by_name", "_value_by_name")

    def __init__(self) -> None:
        self._value_by_name: dict[str, str] = {}
        self._parts_by_name: dict[str, list[str]] = {}

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        key = decode_header_name(name)
        text = value.decode("latin-1")
        if key not in self._value_by_name:
            self._value_by_name[key] = text
        elif key in self._parts_by_name:
            self._parts_by_name[key].append(text)
        else:
            self._parts_by_name[key] = [self._value_by_name[key], text]

    def take(self) -> dict[str, str]:
        """Return the headers by lower-case name, and begin with none."""
        headers, self._value_by_name = self._value_by_name, {}
        if self._parts_by_name:
            for key, parts in self._parts_by_name.items():
                headers[key] = ", ".join(parts)
            self._parts_by_name = {}
        return headers


def has_plain_transfer(headers: dict[str, str]) -> bool:
    """Return whether a body has no transfer coding but chunks.

    Other codings would have to be removed before the body is passed on.
    """
    coding = headers.get("transfer-encoding")
    return coding is None or coding.strip().lower() == _CHUNKED


def framing_head(headers: dict[str, str], keeps_alive: bool) -> bytes:
    """Encode a request head that delimits its body as other headers do.

    Parameters
    ----------
    headers : dict of str to str
        Headers of the request by lower-case name.
    keeps_alive : bool
        Whether another request may follow on the connection.
    """
    lines = ["POST * HTTP/1.1"]
    lines += [f"{name}: {headers[name]}" for name in _FRAMING if name in headers]
    if not keeps_alive:
        lines.append("connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request_bytes(
    host: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace") + body


def response_bytes(
    status: int,
    headers: dict[str, str],
    body: bytes,
    is_last: bool = False,
    is_head: bool = False,
) -> bytes:
    """Encode a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers, except ``connection`` and the headers that delimit the body.
    body : bytes
        Complete response body.
    is_last : bool
        Whether the connection is closed after this response.
    is_head : bool
        Whether the request method was HEAD, so that the response has no body.
    """
    lines = [f"HTTP/1.1 {status} {_PHRASE_BY_STATUS.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if is_last:
        lines.append("connection: close")
    if is_head:
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
    lines.append(f"content-length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace") + body
