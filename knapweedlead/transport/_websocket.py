"""One websocket connection on a plain transport, driven by a Sans-I/O protocol.

One call of `data_received` takes in all frames that have come, and sending is a
single write, so that a message costs neither a task nor a wake-up of one.
"""

import asyncio
from typing import Any

from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake
from websockets.frames import CloseCode, Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

HIGH_WATER_BYTES = 256 * 1024
"""Bytes that the transport holds before `can_write` turns false."""
CLOSE_SECONDS = 5.0
"""Seconds for the closing handshake."""


class WebSocket(asyncio.Protocol):
    """Base of the link connections; subclasses say what a message means.

    Parameters
    ----------
    sans_io : ClientProtocol or ServerProtocol
        Side of the connection.
    """

    def __init__(self, sans_io: ClientProtocol | ServerProtocol) -> None:
        self.sans_io = sans_io
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.can_write = True
        self.fault = ""
        self.has_bad_input = False
        self._closer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages may still be sent."""
        return self.sans_io.state is State.OPEN and not self.transport.is_closing()

    def opened(self) -> None:
        """Take note that the websocket handshake is done."""

    def received(self, data: bytes) -> None:
        """Take one binary message."""

    def closed(self) -> None:
        """Take note that the connection is gone."""

    def writable(self) -> None:
        """Take note that the transport's buffer has drained."""

    @property
    def close_code(self) -> int | None:
        """Close code, once both sides have sent theirs; nothing was lost then."""
        sans_io = self.sans_io
        if sans_io.close_rcvd is None or sans_io.close_sent is None:
            return None
        return int(sans_io.close_sent.code)

    def send(self, data: bytes) -> None:
        """Write one binary message."""
        self.sans_io.send_binary(data)
        self._flush()

    def close(self, code: int, reason: str) -> None:
        """Begin the closing handshake; all messages before it arrive."""
        if self.sans_io.state is not State.OPEN:
            self.abort(reason)
            return
        self.can_write = False
        self.sans_io.send_close(code, reason)
        self._flush()
        self._close_soon()

    def abort(self, fault: str) -> None:
        """Drop the connection at once."""
        self.can_write = False
        self.fault = self.fault or fault
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the handshake's request on the connecting side."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        if isinstance(self.sans_io, ClientProtocol):
            self.sans_io.send_request(self.sans_io.connect())
            self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection once."""
        if self._closer is not None:
            self._closer.cancel()
        self.fault = self.fault or (str(exc) if exc else "connection closed")
        self.closed()

    def pause_writing(self) -> None:
        """Stop writing while the other side does not read."""
        self.can_write = False

    def resume_writing(self) -> None:
        """Go on writing."""
        if self.is_open:
            self.can_write = True
            self.writable()

    def eof_received(self) -> None:
        """Let the protocol see the end of the stream."""
        self.sans_io.receive_eof()

    def data_received(self, data: bytes) -> None:
        """Take in the frames that have come."""
        self.sans_io.receive_data(data)
        for event in self.sans_io.events_received():
            if not self.has_bad_input and not self.transport.is_closing():
                self._handle(event)
        self._flush()
        if self.sans_io.close_expected():
            self._note_failure()
            self._close_soon()

    def _handle(self, event: Any) -> None:
        if type(event) is Frame:
            self._handle_frame(event)
        elif isinstance(event, Request):
            self._accept(event)
        elif isinstance(event, Response) and self.sans_io.state is State.OPEN:
            self.opened()

    def _accept(self, request: Request) -> None:
        sans_io = self.sans_io
        assert isinstance(sans_io, ServerProtocol)
        response = sans_io.accept(request)
        sans_io.send_response(response)
        self._flush()
        if sans_io.state is State.OPEN:
            self.opened()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode is Opcode.BINARY and frame.fin:
            self.received(bytes(frame.data))
        elif frame.opcode is Opcode.CLOSE:
            self.can_write = False
            self.fault = self.fault or f"closed by peer: {self.sans_io.close_rcvd}"
        elif frame.opcode not in (Opcode.PING, Opcode.PONG):
            self.refuse(CloseCode.UNSUPPORTED_DATA, "expected whole binary messages")

    def refuse(self, code: int, reason: str) -> None:
        """Close because of what the other side sent."""
        self.has_bad_input = True
        self.fault = self.fault or reason
        self.close(code, reason)

    def _note_failure(self) -> None:
        sans_io = self.sans_io
        error = sans_io.parser_exc or sans_io.handshake_exc
        if error is not None:
            self.has_bad_input = True
            self.can_write = False
            kind = "handshake" if isinstance(error, InvalidHandshake) else "frame"
            self.fault = self.fault or f"bad {kind}: {type(error).__name__}: {error}"

    def _close_soon(self) -> None:
        if self._closer is None:
            loop = asyncio.get_running_loop()
            self._closer = loop.call_later(CLOSE_SECONDS, self.transport.abort)

    def _flush(self) -> None:
        chunks = self.sans_io.data_to_send()
        if not chunks or self.transport.is_closing():
            return
        self.transport.write(chunks[0] if len(chunks) == 1 else b"".join(chunks))
        if not chunks[-1]:
            self.transport.close()


def client_side(address: str, max_size: int) -> ClientProtocol:
    """Return the connecting side of a websocket to ``IP:PORT``."""
    return ClientProtocol(parse_uri(f"ws://{address}/"), max_size=max_size)


def server_side(max_size: int) -> ServerProtocol:
    """Return the accepting side of a websocket."""
    return ServerProtocol(max_size=max_size)
