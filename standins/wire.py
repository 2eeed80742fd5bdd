"""Recording of raw HTTP exchanges for snapshot tests."""

import re
import socket
import time
from collections.abc import Callable

_VARYING_HEADERS = re.compile(
    rb"(?im)^(date|server|traceparent|host|change-id): [^\r\n]*",
)
_ADDRESS = re.compile(rb"127\.0\.0\.1:\d+")

READ_TIMEOUT = 20.0
"""Limit, in seconds, for connecting and for each read."""
_POLL_SECONDS = 0.05


class WireSession:
    """Sends raw HTTP requests and records a transcript.

    Values that differ between runs (addresses, dates) are replaced by ``*``.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add_heading(self, text: str) -> None:
        """Add a heading line to the transcript."""
        self._parts.append(f"# {text}\n".encode())

    def exchange(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        """Send one request on a new connection and return the status and body."""
        request = _request(address, method, path, headers or {}, body)
        self._parts.append(b">>>\n" + _mask(request) + b"\n")
        answer = _round_trip(address, request)
        self._parts.append(b"<<<\n" + _mask(answer) + b"\n\n")
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), content

    def drop(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        should_close: Callable[[], bool],
    ) -> None:
        """Send a request and close the connection without reading the response.

        Parameters
        ----------
        address, method, path, headers, body
            As in `exchange`.
        should_close : callable
            Returns whether to close the connection now; polled every 50 ms for at
            most `READ_TIMEOUT` seconds.
        """
        request = _request(address, method, path, headers, body)
        self._parts.append(b">>>\n" + _mask(request) + b"\n")
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + READ_TIMEOUT
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(request)
            while not should_close() and time.monotonic() < deadline:
                time.sleep(_POLL_SECONDS)
        self._parts.append(b"(the connection drops)\n\n")

    @property
    def transcript(self) -> str:
        """Everything sent and received, with line ends converted to LF."""
        return b"".join(self._parts).replace(b"\r\n", b"\n").decode("utf-8")


def _request(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}", "connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


def _round_trip(address: str, request: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), READ_TIMEOUT) as connection:
        connection.settimeout(READ_TIMEOUT)
        connection.sendall(request)
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts)


def _mask(data: bytes) -> bytes:
    data = _VARYING_HEADERS.sub(rb"\1: *", data)
    return _ADDRESS.sub(b"*", data)
