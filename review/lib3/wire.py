"""Minimal HTTP/1.1 for the stand-ins: one request at a time on a connection."""

import asyncio
from http import HTTPStatus

MAX_HEAD = 64 * 1024
SLOW_STEP = 64 * 1024


class BrokenMessageError(Exception):
    """A message that ended early or cannot be read."""


async def read_message(reader, pace=0.0):
    """Return start line, headers and body of a message; None at the end of input.

    A body is read at `pace` bytes a second; 0.0 for no limit.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError("head ends early") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers, pace)
    except asyncio.IncompleteReadError as error:
        raise BrokenMessageError("body ends early") from error
    return lines[0], headers, body


async def _read_body(reader, headers, pace):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    length = int(headers.get("content-length", "0"))
    if pace and length:
        return await _read_slowly(reader, length, pace)
    return await reader.readexactly(length) if length else b""


async def _read_slowly(reader, length, pace):
    """Read a body at a pace; return as many bytes, without its content."""
    left = length
    while left:
        data = await reader.read(min(left, SLOW_STEP))
        if not data:
            raise BrokenMessageError("body ends early")
        left -= len(data)
        await asyncio.sleep(len(data) / pace)
    return bytes(length)


def answer_bytes(status, headers=None, body=b""):
    """Encode an answer."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request_bytes(method, path, headers, body=b""):
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def exchange(address, data, timeout, on_written=None):
    """Send a request on a new connection; return the answer or the cause of none."""
    host, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port, limit=MAX_HEAD)
            writer.write(data)
            await writer.drain()
            if on_written is not None:
                on_written()
            message = await read_message(reader)
    except TimeoutError:
        return None, "timeout"
    except (OSError, BrokenMessageError, asyncio.IncompleteReadError) as error:
        return None, f"{type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None, "closed"
    line, headers, body = message
    return (int(line.split(" ")[1]), headers, body), ""
