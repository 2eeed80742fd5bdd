"""Header blocks of HTTP/1.1 messages."""

from functools import lru_cache
from http import HTTPStatus

_CACHED_NAMES = 1024

_PHRASE_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


@lru_cache(maxsize=_CACHED_NAMES)
def header_name(raw: bytes) -> str:
    """Return a header's name in lower case."""
    return raw.decode("latin-1").lower()


def add_header(headers: dict[str, str], name: bytes, value: bytes) -> None:
    """Add a header; repeated ones are joined as a list."""
    key = header_name(name)
    if key in headers:
        headers[key] = f"{headers[key]}, {value.decode('latin-1')}"
    else:
        headers[key] = value.decode("latin-1")


def request_bytes(
    host: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return a request in whole."""
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
    """Return an answer in whole.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Without those that frame the message.
    body : bytes
        The whole body.
    is_last : bool
        Whether the connection closes after this answer.
    is_head : bool
        Whether the request's method was HEAD, whose answer has no body.
    """
    lines = [f"HTTP/1.1 {status} {_PHRASE_BY_STATUS.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if is_last:
        lines.append("connection: close")
    if is_head:
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
    lines.append(f"content-length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace") + body
