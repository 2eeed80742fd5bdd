"""One connection of a link: mutual authentication, then messages."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from result import Err
from websockets.frames import CloseCode

from knapweedlead.errors import CodecError, LinkError
from knapweedlead.messages import (
    Challenge,
    Hello,
    Message,
    Welcome,
    decode_message,
    encode_message,
)
from knapweedlead.messages._codec import MAX_MESSAGE_BYTES
from knapweedlead.node import Identity
from knapweedlead.transport._handshake import (
    NONCE_BYTES,
    hello_proof,
    is_equal_proof,
    welcome_proof,
)
from knapweedlead.transport._traffic import Traffic
from knapweedlead.transport._websocket import (
    WebSocket,
    client_protocol,
    server_protocol,
)

OPEN_TIMEOUT = 3.0
"""Time limit for connecting and for the handshake together."""
MAX_HANDSHAKE_BYTES = 4096
"""Size limit of messages before the peer is authenticated."""


class ConnectionOwner(Protocol):
    """Interface through which a connection uses the table that owns it."""

    identity: Identity
    secret: str
    on_message: Callable[[str, Message], None]
    on_error: Callable[[Any], None]
    sent: Traffic
    received: Traffic

    def connection_accepted(self, connection: "LinkConnection") -> None:
        """Register an unauthenticated connection, or abort it if there are too many."""

    def connection_up(self, connection: "LinkConnection") -> None:
        """Add a connection whose peer is authenticated."""

    def connection_writable(self, connection: "LinkConnection") -> None:
        """Write the messages queued for the connection."""

    def connection_closed(self, connection: "LinkConnection") -> None:
        """Remove a closed connection."""


class LinkConnection(WebSocket):
    """Base class of outgoing and incoming connections.

    Parameters
    ----------
    owner : ConnectionOwner
        Table that the connection belongs to.
    sans_io : ClientProtocol or ServerProtocol
        Protocol state machine of this side.
    peer : str
        Link address of the peer; on an incoming connection the address of its socket
        until it is authenticated.
    step : str
        Step named in errors before the connection is up.

    Attributes
    ----------
    is_up : bool
        Whether the handshake has completed and both sides are authenticated.
    is_loss_reported : bool
        Whether the loss of this connection was reported or needs no report.
    name : str
        Member name of the peer.
    incarnation : int
        Incarnation number of the peer.
    """

    is_outgoing = False

    def __init__(
        self, owner: ConnectionOwner, sans_io: Any, peer: str, step: str
    ) -> None:
        super().__init__(sans_io)
        self.owner = owner
        self.peer = peer
        self.step = step
        self.is_up = False
        self.is_loss_reported = False
        self.name = ""
        self.incarnation = 0
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake and its timeout."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(OPEN_TIMEOUT, self.abort, "handshake timeout")
        super().connection_made(transport)

    def on_message(self, data: bytes) -> None:
        """Decode a message and pass it to the table, or to the handshake."""
        decoded = self._decode(data)
        if isinstance(decoded, Err):
            self.owner.on_error(decoded.err_value)
            self.reject(CloseCode.INVALID_DATA, "bad message")
            return
        message = decoded.ok_value
        self.owner.received.add(type(message), len(data))
        if self.is_up:
            self.owner.on_message(self.peer, message)
        else:
            self._handle_handshake(message)

    def _decode(self, data: bytes) -> Any:
        if not self.is_up and len(data) > MAX_HANDSHAKE_BYTES:
            detail = (
                f"expected at most {MAX_HANDSHAKE_BYTES} bytes before authentication"
            )
            return Err(CodecError("messages.decode", self.peer, detail))
        return decode_message(data, self.peer)

    def _handle_handshake(self, message: Message) -> None:
        raise NotImplementedError

    def _reject_handshake(self, detail: str) -> None:
        self.reject(CloseCode.POLICY_VIOLATION, detail)

    def _complete_handshake(self, name: str, incarnation: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.is_up = True
        self.name = name
        self.incarnation = incarnation
        self.owner.connection_up(self)

    def send_message(self, message: Message) -> None:
        """Encode and send a message."""
        self.send_encoded(message, encode_message(message))

    def send_encoded(self, message: Message, data: bytes) -> None:
        """Send a message that is already encoded."""
        self.owner.sent.add(type(message), len(data))
        self.send(data)

    def on_writable(self) -> None:
        """Let the table write its queued messages."""
        self.owner.connection_writable(self)

    def on_close(self) -> None:
        """Report errors, then remove the connection from the table."""
        if self._timer is not None:
            self._timer.cancel()
        if self.has_invalid_input or not self.is_up:
            step = "link.read" if self.is_up else self.step
            self.owner.on_error(LinkError(step, self.peer, self.failure))
        self.owner.connection_closed(self)


class OutgoingConnection(LinkConnection):
    """Connecting side: answers the challenge and verifies the welcome."""

    is_outgoing = True

    def __init__(self, owner: ConnectionOwner, peer: str) -> None:
        sans_io = client_protocol(peer, MAX_MESSAGE_BYTES)
        super().__init__(owner, sans_io, peer, "link.open")
        self.handshake_ended = asyncio.Event()
        self._is_challenged = False

    def _complete_handshake(self, name: str, incarnation: int) -> None:
        super()._complete_handshake(name, incarnation)
        self.handshake_ended.set()

    def on_close(self) -> None:
        """Handle the close as the base class does, then wake the connecting task."""
        super().on_close()
        self.handshake_ended.set()

    def _handle_handshake(self, message: Message) -> None:
        if isinstance(message, Challenge) and not self._is_challenged:
            self._is_challenged = True
            self._send_hello(message)
        elif isinstance(message, Welcome) and self._is_challenged:
            self._check_welcome(message)
        else:
            self._reject_handshake("unexpected handshake message")

    def _send_hello(self, challenge: Challenge) -> None:
        identity = self.owner.identity
        hello = Hello(
            name=identity.name,
            incarnation=identity.incarnation,
            link_address=identity.link_address,
            nonce=self._nonce,
            proof=b"",
        )
        proof = hello_proof(self.owner.secret, challenge.nonce, hello)
        self.send_message(attrs.evolve(hello, proof=proof))

    def _check_welcome(self, welcome: Welcome) -> None:
        expected = welcome_proof(self.owner.secret, self._nonce, welcome)
        if is_equal_proof(expected, welcome.proof):
            self._complete_handshake(welcome.name, welcome.incarnation)
        else:
            self._reject_handshake("wrong proof")


class IncomingConnection(LinkConnection):
    """Accepting side: sends the challenge, verifies the hello, sends the welcome."""

    def __init__(self, owner: ConnectionOwner) -> None:
        sans_io = server_protocol(MAX_MESSAGE_BYTES)
        super().__init__(owner, sans_io, "-", "link.accept")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the socket address as peer until the handshake, and register."""
        remote = transport.get_extra_info("peername")
        self.peer = f"{remote[0]}:{remote[1]}" if remote else "-"
        super().connection_made(transport)
        self.owner.connection_accepted(self)

    def on_open(self) -> None:
        """Send the challenge."""
        self.send_message(Challenge(self._nonce))

    def _handle_handshake(self, message: Message) -> None:
        if not isinstance(message, Hello):
            self._reject_handshake("unexpected handshake message")
            return
        expected = hello_proof(self.owner.secret, self._nonce, message)
        if not is_equal_proof(expected, message.proof):
            self._reject_handshake("wrong proof")
            return
        self._send_welcome(message)
        self.peer = message.link_address
        self._complete_handshake(message.name, message.incarnation)

    def _send_welcome(self, hello: Hello) -> None:
        identity = self.owner.identity
        welcome = Welcome(identity.name, identity.incarnation, b"")
        proof = welcome_proof(self.owner.secret, hello.nonce, welcome)
        self.send_message(attrs.evolve(welcome, proof=proof))
