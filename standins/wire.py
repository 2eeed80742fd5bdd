"""Records HTTP exchanges as they go over the wire, for golden files."""

import re
import socket
import time
from collections.abc import Callable

_CONCEALED = re.compile(
    rb"(?im)^(date|server|traceparent|host|change-id): [^\r\n]*",
)
_ADDRESS = re.compile(rb"127\.0\.0\.1:\d+")

READ_TIMEOUT = 20.0
"""Seconds that an answer may take."""
_POLL_SECONDS = 0.05


class WireSession:
    """Sends raw requests and keeps a transcript.

    Parts that differ from run to run (addresses, dates) are written as ``*``.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def note(self, text: str) -> None:
        """Write a heading into the transcript."""
        self._parts.append(f"# {text}\n".encode())

    def exchange(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        """Send one request on a connection of its own; return status and body."""
        request = _request(address, method, path, headers or {}, body)
        self._parts.append(b">>>\n" + _concealed(request) + b"\n")
        answer = _round_trip(address, request)
        self._parts.append(b"<<<\n" + _concealed(answer) + b"\n\n")
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), content

    def drop(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        is_due: Callable[[], bool],
    ) -> None:
        """Send a request and close the connection before its answer.

        Parameters
        ----------
        address, method, path, headers, body
            As in `exchange`.
        is_due : callable
            Whether the connection is to be closed now.
        """
        request = _request(address, method, path, headers, body)
        self._parts.append(b">>>\n" + _concealed(request) + b"\n")
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + READ_TIMEOUT
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(request)
            while not is_due() and time.monotonic() < deadline:
                time.sleep(_POLL_SECONDS)
        self._parts.append(b"(the connection drops)\n\n")

    @property
    def transcript(self) -> str:
        """Everything sent and received so far."""
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


def _concealed(data: bytes) -> bytes:
    data = _CONCEALED.sub(rb"\1: *", data)
    return _ADDRESS.sub(b"*", data)
