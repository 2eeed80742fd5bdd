"""One connection of a link: mutual proof of the fleet's secret, then messages."""

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
    is_same_proof,
    welcome_proof,
)
from knapweedlead.transport._traffic import Traffic
from knapweedlead.transport._websocket import WebSocket, client_side, server_side

OPEN_TIMEOUT = 3.0
"""Seconds for connecting and for the handshake."""
MAX_HANDSHAKE_BYTES = 4096
"""Size of a message before the proof."""


class ConnectionOwner(Protocol):
    """What a connection needs of the table that owns it."""

    identity: Identity
    secret: str
    on_message: Callable[[str, Message], None]
    on_error: Callable[[Any], None]
    sent: Traffic
    received: Traffic

    def connection_accepted(self, connection: "LinkConnection") -> None:
        """Take or refuse a connection whose other side has yet to prove itself."""

    def connection_up(self, connection: "LinkConnection") -> None:
        """Take a connection whose other side proved the secret."""

    def connection_writable(self, connection: "LinkConnection") -> None:
        """Write what waits for the connection."""

    def connection_closed(self, connection: "LinkConnection") -> None:
        """Remove a connection."""


class LinkConnection(WebSocket):
    """Base of both sides.

    Parameters
    ----------
    owner : ConnectionOwner
        Table of links.
    sans_io : ClientProtocol or ServerProtocol
        Side of the connection.
    peer : str
        Link address of the other side; its socket's address until it is proved.
    step : str
        Names this side in errors.

    Attributes
    ----------
    is_up : bool
        Whether both sides have proved the fleet's secret.
    is_loss_reported : bool
        Whether the table has reported that messages may be lost.
    name : str
        Member name of the other side.
    incarnation : int
        Start identity of the other side.
    """

    opened_by_us = False

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
        """Allow a bounded time for the handshake."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(OPEN_TIMEOUT, self.abort, "handshake timeout")
        super().connection_made(transport)

    def received(self, data: bytes) -> None:
        """Decode a message and hand it on."""
        decoded = self._decode(data)
        if isinstance(decoded, Err):
            self.owner.on_error(decoded.err_value)
            self.refuse(CloseCode.INVALID_DATA, "bad message")
            return
        message = decoded.ok_value
        self.owner.received.add(type(message), len(data))
        if self.is_up:
            self.owner.on_message(self.peer, message)
        else:
            self._prove(message)

    def _decode(self, data: bytes) -> Any:
        if not self.is_up and len(data) > MAX_HANDSHAKE_BYTES:
            detail = f"expected at most {MAX_HANDSHAKE_BYTES} bytes before the proof"
            return Err(CodecError("messages.decode", self.peer, detail))
        return decode_message(data, self.peer)

    def _prove(self, message: Message) -> None:
        raise NotImplementedError

    def _refuse_proof(self, detail: str) -> None:
        self.refuse(CloseCode.POLICY_VIOLATION, detail)

    def _go_up(self, name: str, incarnation: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.is_up = True
        self.name = name
        self.incarnation = incarnation
        self.owner.connection_up(self)

    def send_message(self, message: Message) -> None:
        """Write one message."""
        self.send_encoded(message, encode_message(message))

    def send_encoded(self, message: Message, data: bytes) -> None:
        """Write one message whose encoding is known."""
        self.owner.sent.add(type(message), len(data))
        self.send(data)

    def writable(self) -> None:
        """Write what has waited."""
        self.owner.connection_writable(self)

    def closed(self) -> None:
        """Report why, then leave the table."""
        if self._timer is not None:
            self._timer.cancel()
        if self.has_bad_input or not self.is_up:
            step = "link.read" if self.is_up else self.step
            self.owner.on_error(LinkError(step, self.peer, self.fault))
        self.owner.connection_closed(self)


class OpenedConnection(LinkConnection):
    """Side that connects: answers the challenge, checks the welcome."""

    opened_by_us = True

    def __init__(self, owner: ConnectionOwner, peer: str) -> None:
        sans_io = client_side(peer, MAX_MESSAGE_BYTES)
        super().__init__(owner, sans_io, peer, "link.open")
        self.settled = asyncio.Event()
        self._is_challenged = False

    def _go_up(self, name: str, incarnation: int) -> None:
        super()._go_up(name, incarnation)
        self.settled.set()

    def closed(self) -> None:
        """Wake the task that opens the link."""
        super().closed()
        self.settled.set()

    def _prove(self, message: Message) -> None:
        if isinstance(message, Challenge) and not self._is_challenged:
            self._is_challenged = True
            self._answer(message)
        elif isinstance(message, Welcome) and self._is_challenged:
            self._check(message)
        else:
            self._refuse_proof("unexpected handshake message")

    def _answer(self, challenge: Challenge) -> None:
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

    def _check(self, welcome: Welcome) -> None:
        expected = welcome_proof(self.owner.secret, self._nonce, welcome)
        if is_same_proof(expected, welcome.proof):
            self._go_up(welcome.name, welcome.incarnation)
        else:
            self._refuse_proof("wrong proof")


class AcceptedConnection(LinkConnection):
    """Side that accepts: challenges, checks the hello, sends the welcome."""

    def __init__(self, owner: ConnectionOwner) -> None:
        sans_io = server_side(MAX_MESSAGE_BYTES)
        super().__init__(owner, sans_io, "-", "link.accept")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the socket's address, for errors."""
        remote = transport.get_extra_info("peername")
        self.peer = f"{remote[0]}:{remote[1]}" if remote else "-"
        super().connection_made(transport)
        self.owner.connection_accepted(self)

    def opened(self) -> None:
        """Challenge the connecting side."""
        self.send_message(Challenge(self._nonce))

    def _prove(self, message: Message) -> None:
        if not isinstance(message, Hello):
            self._refuse_proof("unexpected handshake message")
            return
        expected = hello_proof(self.owner.secret, self._nonce, message)
        if not is_same_proof(expected, message.proof):
            self._refuse_proof("wrong proof")
            return
        self._welcome(message)
        self.peer = message.link_address
        self._go_up(message.name, message.incarnation)

    def _welcome(self, hello: Hello) -> None:
        identity = self.owner.identity
        welcome = Welcome(identity.name, identity.incarnation, b"")
        proof = welcome_proof(self.owner.secret, hello.nonce, welcome)
        self.send_message(attrs.evolve(welcome, proof=proof))
