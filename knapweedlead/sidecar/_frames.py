"""Connections between daemons that carry length-prefixed CBOR arrays.

All frames sent in one iteration of the event loop are written together.
"""

import asyncio
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

import cbor2

MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Limit for one frame; larger than the largest request body."""
MAX_WRITE_BUFFER_BYTES = 32 * 1024 * 1024
"""Unsent bytes, besides the largest frame among them, at which the link to a peer that
does not read is closed."""

_DECODE_ERRORS = (ValueError, EOFError, OverflowError, RecursionError, MemoryError)
_LENGTH = struct.Struct(">I")


def encode_frame(frame: list[Any]) -> bytes:
    """Return an encoded frame, prefixed with its length."""
    data = cbor2.dumps(frame)
    return _LENGTH.pack(len(data)) + data


class FrameConnection(asyncio.Protocol):
    """One connection; callbacks interpret its frames.

    Parameters
    ----------
    on_frame : callable
        Called with the connection and a decoded frame, a list.
    on_lost : callable
        Called once with the connection and the reason for the loss.
    on_open : callable or None
        Called with the connection once it is open.

    Attributes
    ----------
    traffic : callable or None
        Called with the kind and the size of each frame that is sent.
    """

    def __init__(
        self,
        on_frame: Callable[["FrameConnection", list[Any]], None],
        on_lost: Callable[["FrameConnection", str], None],
        on_open: Callable[["FrameConnection"], None] | None = None,
    ) -> None:
        self.on_frame = on_frame
        self.on_lost = on_lost
        self.on_open = on_open
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.traffic: Callable[[int, int], None] | None = None
        self.is_closed = False
        self._close_detail = "connection closed"
        self._buffer = bytearray()
        self._needed = _LENGTH.size
        self._pending_writes: list[bytes] = []
        self._largest_unsent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and call `on_open`."""
        self.transport = transport  # type: ignore[assignment]
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Decode all complete frames received so far.

        Parts of an incomplete frame are collected until it is complete, so that each
        of its bytes is copied a bounded number of times. A frame is released before it
        is handled, since it may be large.
        """
        frames = self._split(data)
        while frames:
            self._decode(frames.popleft())

    def _split(self, data: bytes) -> deque[bytes]:
        """Return the complete frames received so far, without their lengths."""
        frames: deque[bytes] = deque()
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed:
                return frames
            data = bytes(self._buffer)
            self._buffer.clear()
        start = 0
        size = len(data)
        self._needed = _LENGTH.size
        while size - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, start)
            if length > MAX_FRAME_BYTES:
                self.abort(f"frame of {length} bytes exceeds the limit")
                return frames
            end = start + _LENGTH.size + length
            if end > size:
                self._needed = end - start
                break
            frames.append(data[start + _LENGTH.size : end])
            start = end
        self._buffer += data[start:]
        return frames

    def _decode(self, data: bytes) -> None:
        try:
            frame = cbor2.loads(data)
        except (cbor2.CBORError, *_DECODE_ERRORS) as error:
            self.abort(f"bad frame: {type(error).__name__}")
            return
        del data
        if not isinstance(frame, list) or not frame:
            self.abort("bad frame: expected a list")
            return
        self.on_frame(self, frame)

    def send(self, frame: list[Any]) -> None:
        """Send a frame with the other frames of this event loop iteration."""
        if not self.is_closed:
            self.send_encoded(encode_frame(frame), frame[0])

    def send_encoded(self, data: bytes, kind: int) -> None:
        """Send an encoded frame with the other frames of this loop iteration."""
        if self.is_closed:
            return
        if self.traffic is not None:
            self.traffic(kind, len(data))
        if not self._pending_writes:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending_writes.append(data)

    def _flush(self) -> None:
        pending, self._pending_writes = self._pending_writes, []
        if self.is_closed or self.transport.is_closing():
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent <= MAX_WRITE_BUFFER_BYTES:
            self._largest_unsent = 0
        elif unsent > MAX_WRITE_BUFFER_BYTES + self._largest_unsent:
            self.abort("peer does not read")
            return
        self._largest_unsent = max(self._largest_unsent, *map(len, pending))
        self.transport.write(b"".join(pending))

    def abort(self, detail: str) -> None:
        """Close the connection at once; `detail` is the reason given to `on_lost`."""
        if not self.is_closed:
            self._close_detail = detail
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Call `on_lost` with the reason."""
        self.is_closed = True
        self.on_lost(self, str(exc) if exc else self._close_detail)
