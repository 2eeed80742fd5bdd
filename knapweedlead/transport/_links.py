"""Links between daemons: websockets that carry CBOR messages."""

import asyncio
import secrets
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from result import Err
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from knapweedlead.errors import LinkError
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
from knapweedlead.transport._addresses import split_address
from knapweedlead.transport._handshake import (
    NONCE_BYTES,
    hello_proof,
    is_same_proof,
    welcome_proof,
)

OPEN_TIMEOUT = 3.0
"""Seconds for connecting and for the handshake."""
MAX_WAITING_MESSAGES = 4096
"""Messages that wait for a link to be written."""

_CLOSE_BAD_MESSAGE = 1002
_CLOSE_REFUSED = 1008


class _HandshakeError(Exception):
    """The other side did not prove the fleet's secret."""


@attrs.define(eq=False)
class _Link:
    peer: str
    waiting: deque[Message] = attrs.field(factory=deque)
    has_work: asyncio.Event = attrs.field(factory=asyncio.Event)
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None


class LinkTable:
    """All links of a daemon, one for each peer and direction of opening.

    A link that this daemon opened carries its messages and the answers to
    them; a link that a peer opened carries that peer's.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    secret : str
        The fleet's secret.
    on_message : callable
        Takes the peer's link address and a message.
    on_up : callable
        Takes link address, name and incarnation of the peer.
    on_down : callable
        Takes the link address and whether the connection was refused.
    on_send_failed : callable
        Takes the link address and a message that was never written.
    on_error : callable
        Takes a `LinkError` or `CodecError`.
    """

    def __init__(
        self,
        identity: Identity,
        secret: str,
        on_message: Callable[[str, Message], None],
        on_up: Callable[[str, str, int], None],
        on_down: Callable[[str, bool], None],
        on_send_failed: Callable[[str, Message], None],
        on_error: Callable[[Any], None],
    ) -> None:
        self.identity = identity
        self.secret = secret
        self.on_message = on_message
        self.on_up = on_up
        self.on_down = on_down
        self.on_send_failed = on_send_failed
        self.on_error = on_error
        self._link_by_peer: dict[str, _Link] = {}
        self._server: Server | None = None

    async def start(self, address: str) -> None:
        """Accept links at ``IP:PORT``."""
        host, port = split_address(address)
        self._server = await serve(
            self._accept,
            host,
            port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
        )

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for a peer, opening a link if there is none."""
        link = self._link_by_peer.get(peer)
        if link is None:
            link = self._open(peer)
        if len(link.waiting) >= MAX_WAITING_MESSAGES:
            self.on_send_failed(peer, message)
            return
        link.waiting.append(message)
        link.has_work.set()

    def open(self, peer: str) -> None:
        """Open a link if there is none."""
        if peer not in self._link_by_peer:
            self._open(peer)

    def close(self, peer: str) -> None:
        """Close the link to a peer."""
        link = self._link_by_peer.get(peer)
        if link is not None and link.task is not None:
            link.task.cancel()

    async def stop(self) -> None:
        """Close the listener and all links."""
        for peer in list(self._link_by_peer):
            self.close(peer)
        if self._server is not None:
            self._server.close()

    def _open(self, peer: str) -> _Link:
        link = _Link(peer)
        self._link_by_peer[peer] = link
        link.task = asyncio.ensure_future(self._run_opened(link))
        return link

    async def _run_opened(self, link: _Link) -> None:
        host, port = split_address(link.peer)
        is_refused = False
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                connection = await connect(
                    f"ws://{host}:{port}/",
                    compression=None,
                    max_size=MAX_MESSAGE_BYTES,
                    ping_interval=None,
                    proxy=None,
                )
                welcome = await self._introduce(link.peer, connection)
            self.on_up(link.peer, welcome.name, welcome.incarnation)
            await self._serve_link(link, connection)
        except (OSError, TimeoutError, WebSocketException, _HandshakeError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__}: {error}"
            self.on_error(LinkError("link.open", link.peer, detail))
        finally:
            self._drop(link, is_refused)

    async def _introduce(self, peer: str, connection: Connection) -> Welcome:
        challenge = _expect(Challenge, await connection.recv(), peer)
        nonce = secrets.token_bytes(NONCE_BYTES)
        identity = self.identity
        hello = Hello(
            identity.name, identity.incarnation, identity.link_address, nonce, b""
        )
        proof = hello_proof(self.secret, challenge.nonce, hello)
        await connection.send(encode_message(attrs.evolve(hello, proof=proof)))
        welcome = _expect(Welcome, await connection.recv(), peer)
        if not is_same_proof(welcome_proof(self.secret, nonce, welcome), welcome.proof):
            raise _HandshakeError("wrong proof")
        return welcome

    async def _accept(self, connection: Connection) -> None:
        remote = connection.remote_address
        peer = f"{remote[0]}:{remote[1]}" if remote else "-"
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                hello = await self._welcome(peer, connection)
        except (OSError, TimeoutError, WebSocketException, _HandshakeError) as error:
            detail = f"{type(error).__name__}: {error}"
            self.on_error(LinkError("link.accept", peer, detail))
            await connection.close(_CLOSE_REFUSED, "handshake failed")
            return
        await self._read(hello.link_address, connection)

    async def _welcome(self, peer: str, connection: Connection) -> Hello:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await connection.send(encode_message(Challenge(nonce)))
        hello = _expect(Hello, await connection.recv(), peer)
        if not is_same_proof(hello_proof(self.secret, nonce, hello), hello.proof):
            raise _HandshakeError("wrong proof")
        welcome = Welcome(self.identity.name, self.identity.incarnation, b"")
        proof = welcome_proof(self.secret, hello.nonce, welcome)
        await connection.send(encode_message(attrs.evolve(welcome, proof=proof)))
        return hello

    async def _serve_link(self, link: _Link, connection: Connection) -> None:
        link.connection = connection
        reader = asyncio.ensure_future(self._read(link.peer, connection))
        writer = asyncio.ensure_future(self._write(link, connection))
        try:
            await asyncio.wait([reader, writer], return_when=asyncio.FIRST_COMPLETED)
        finally:
            reader.cancel()
            writer.cancel()
            connection.transport.abort()

    async def _write(self, link: _Link, connection: Connection) -> None:
        while True:
            await link.has_work.wait()
            link.has_work.clear()
            while link.waiting:
                await connection.send(encode_message(link.waiting.popleft()))

    async def _read(self, peer: str, connection: Connection) -> None:
        try:
            async for data in connection:
                decoded = _decode(data, peer)
                if isinstance(decoded, Err):
                    self.on_error(decoded.err_value)
                    await connection.close(_CLOSE_BAD_MESSAGE, "bad message")
                    return
                self.on_message(peer, decoded.ok_value)
        except WebSocketException as error:
            detail = f"{type(error).__name__}: {error}"
            self.on_error(LinkError("link.read", peer, detail))

    def _drop(self, link: _Link, is_refused: bool) -> None:
        if self._link_by_peer.get(link.peer) is link:
            del self._link_by_peer[link.peer]
        unsent = list(link.waiting)
        link.waiting.clear()
        for message in unsent:
            self.on_send_failed(link.peer, message)
        self.on_down(link.peer, is_refused)


def _decode(data: str | bytes, peer: str) -> Any:
    return decode_message(data if isinstance(data, bytes) else b"", peer)


def _expect(cls: type, data: str | bytes, peer: str) -> Any:
    decoded = _decode(data, peer)
    if isinstance(decoded, Err):
        raise _HandshakeError(decoded.err_value.detail)
    if not isinstance(decoded.ok_value, cls):
        raise _HandshakeError(f"expected {cls.__name__}")
    return decoded.ok_value
