"""Websocket connection on an asyncio transport, with a Sans-I/O protocol.

`data_received` handles all frames of a read at once and a message is sent with a
single write, so that messages need no tasks and no task switches.
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
"""Bytes buffered by the transport above which `can_write` becomes false."""
CLOSE_SECONDS = 5.0
"""Time limit of the closing handshake."""


class WebSocket(asyncio.Protocol):
    """Base class of websocket connections; subclasses override the ``on_`` methods.

    Parameters
    ----------
    sans_io : ClientProtocol or ServerProtocol
        Protocol state machine of this side.

    Attributes
    ----------
    failure : str
        Why the connection ended; empty while it is in use.
    has_invalid_input : bool
        Whether the peer violated the protocol. Further input is ignored then.
    """

    def __init__(self, sans_io: ClientProtocol | ServerProtocol) -> None:
        self.sans_io = sans_io
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self._is_writable = True
        self.failure = ""
        self.has_invalid_input = False
        self._abort_timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages may still be sent."""
        return self.sans_io.state is State.OPEN and not self.transport.is_closing()

    @property
    def can_write(self) -> bool:
        """Whether messages should be sent.

        False while the write buffer is full, and once either side has begun to close:
        a close frame may precede the message whose handling sends another one.
        """
        return self._is_writable and self.is_open

    def on_open(self) -> None:
        """Handle the end of the websocket handshake."""

    def on_message(self, data: bytes) -> None:
        """Handle a binary message."""

    def on_close(self) -> None:
        """Handle the loss of the connection."""

    def on_writable(self) -> None:
        """Handle the drain of the write buffer; messages can be sent again."""

    @property
    def close_code(self) -> int | None:
        """Close code that was sent, or None before both sides have sent a close frame.

        After a complete closing handshake no message has been lost.
        """
        sans_io = self.sans_io
        if sans_io.close_rcvd is None or sans_io.close_sent is None:
            return None
        return int(sans_io.close_sent.code)

    def send(self, data: bytes) -> None:
        """Write one binary message."""
        self.sans_io.send_binary(data)
        self._flush()

    def close(self, code: int, reason: str) -> None:
        """Start the closing handshake; messages sent before it are still delivered."""
        if self.sans_io.state is not State.OPEN:
            self.abort(reason)
            return
        self._is_writable = False
        self.sans_io.send_close(code, reason)
        self._flush()
        self._schedule_abort()

    def abort(self, detail: str) -> None:
        """Close the connection without a closing handshake."""
        self._is_writable = False
        self.failure = self.failure or detail
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the handshake request if this is the connecting side."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        if isinstance(self.sans_io, ClientProtocol):
            self.sans_io.send_request(self.sans_io.connect())
            self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the reason and call `on_close`."""
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        self.failure = self.failure or (str(exc) if exc else "connection closed")
        self.on_close()

    def pause_writing(self) -> None:
        """Suspend writing until the write buffer has drained."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Resume writing unless the connection is closing."""
        if self.is_open:
            self._is_writable = True
            self.on_writable()

    def eof_received(self) -> None:
        """Pass the end of the stream to the protocol."""
        self.sans_io.receive_eof()

    def data_received(self, data: bytes) -> None:
        """Process the received frames."""
        self.sans_io.receive_data(data)
        for event in self.sans_io.events_received():
            if not self.has_invalid_input and not self.transport.is_closing():
                self._handle(event)
        self._flush()
        if self.sans_io.close_expected():
            self._record_protocol_error()
            self._schedule_abort()

    def _handle(self, event: Any) -> None:
        if type(event) is Frame:
            self._handle_frame(event)
        elif isinstance(event, Request):
            self._accept(event)
        elif isinstance(event, Response) and self.sans_io.state is State.OPEN:
            self.on_open()

    def _accept(self, request: Request) -> None:
        sans_io = self.sans_io
        assert isinstance(sans_io, ServerProtocol)
        response = sans_io.accept(request)
        sans_io.send_response(response)
        self._flush()
        if sans_io.state is State.OPEN:
            self.on_open()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode is Opcode.BINARY and frame.fin:
            self.on_message(bytes(frame.data))
        elif frame.opcode is Opcode.CLOSE:
            self._is_writable = False
            self.failure = self.failure or f"closed by peer: {self.sans_io.close_rcvd}"
        elif frame.opcode not in (Opcode.PING, Opcode.PONG):
            self.reject(CloseCode.UNSUPPORTED_DATA, "expected whole binary messages")

    def reject(self, code: int, reason: str) -> None:
        """Close the connection because of invalid input."""
        self.has_invalid_input = True
        self.failure = self.failure or reason
        self.close(code, reason)

    def _record_protocol_error(self) -> None:
        sans_io = self.sans_io
        error = sans_io.parser_exc or sans_io.handshake_exc
        if error is not None:
            self.has_invalid_input = True
            self._is_writable = False
            kind = "handshake" if isinstance(error, InvalidHandshake) else "frame"
            self.failure = (
                self.failure or f"bad {kind}: {type(error).__name__}: {error}"
            )

    def _schedule_abort(self) -> None:
        if self._abort_timer is None:
            loop = asyncio.get_running_loop()
            self._abort_timer = loop.call_later(CLOSE_SECONDS, self.transport.abort)

    def _flush(self) -> None:
        chunks = self.sans_io.data_to_send()
        if not chunks or self.transport.is_closing():
            return
        self.transport.write(chunks[0] if len(chunks) == 1 else b"".join(chunks))
        if not chunks[-1]:
            self.transport.close()


def client_protocol(address: str, max_size: int) -> ClientProtocol:
    """Return the protocol of the connecting side, for a server at ``IP:PORT``."""
    return ClientProtocol(parse_uri(f"ws://{address}/"), max_size=max_size)


def server_protocol(max_size: int) -> ServerProtocol:
    """Return the protocol of the accepting side."""
    return ServerProtocol(max_size=max_size)
