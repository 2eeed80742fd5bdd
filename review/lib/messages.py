"""HTTP/1.1 messages for the stand-ins, on asyncio streams."""

import asyncio

LIMIT = 1 << 16
"""Longest line that a stand-in reads."""


class BrokenError(Exception):
    """The peer ended the connection within a message, or sent no message."""


async def read_message(reader):
    """Return start line, headers by lower-case name, and body; None at the end."""
    try:
        line = await reader.readline()
    except (OSError, ValueError) as error:
        raise BrokenError(str(error)) from error
    if not line:
        return None
    try:
        headers = {}
        while (row := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        if row == b"":
            raise BrokenError("ended within the head")
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        raise BrokenError(str(error)) from error
    return line.decode("latin-1").strip(), headers, body


async def _read_chunks(reader):
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


def encode(start_line, headers, body=b"", has_length=True):
    """Return a message."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    if has_length:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def split(address):
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
