"""Links between daemons: websockets that carry CBOR messages both ways."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from knapweedlead.errors import LinkError
from knapweedlead.http._addresses import split_address
from knapweedlead.messages import Message, encode_message
from knapweedlead.node import Identity
from knapweedlead.transport._link_connection import (
    OPEN_TIMEOUT,
    AcceptedConnection,
    LinkConnection,
    OpenedConnection,
)
from knapweedlead.transport._traffic import Traffic

MAX_WAITING_MESSAGES = 4096
"""Messages that wait for a link to be written."""
MAX_WAITING_BYTES = 16 * 1024 * 1024
"""Bytes that wait for a link to be written."""
MAX_UNPROVED_CONNECTIONS = 256
"""Accepted connections whose other side has not proved the secret."""

_CLOSE_SURPLUS = 4000
_CLOSE_DONE = 1000


@attrs.define(eq=False)
class _Link:
    """All connections to one peer.

    Attributes
    ----------
    current : LinkConnection or None
        Connection on which messages are written.
    opening : asyncio.Task or OpenedConnection or None
        Connection that this daemon is opening.
    waiting : deque of (Message, bytes)
        Messages of which nothing was written, with their encoding.
    """

    peer: str
    current: LinkConnection | None = None
    opening: Any = None
    waiting: deque[tuple[Message, bytes]] = attrs.field(factory=deque)
    waiting_bytes: int = 0


class LinkTable:
    """All links of a daemon, one for each peer, whoever opened it.

    Where both sides open at once, both keep the connection opened by the daemon
    with the lower link address; the other one is closed by its opener once all
    messages on it have arrived.

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

    Attributes
    ----------
    sent, received : Traffic
        Messages on all links.
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
        self.sent = Traffic()
        self.received = Traffic()
        self._link_by_peer: dict[str, _Link] = {}
        self._accepted: set[LinkConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Accept links at ``IP:PORT``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: AcceptedConnection(self), host, port, backlog=1024
        )

    def send(self, peer: str, message: Message) -> None:
        """Write or queue a message for a peer, opening a link if there is none."""
        link = self._link_by_peer.get(peer)
        if link is None:
            link = self._open(peer)
        current = link.current
        if current is not None and current.can_write and not link.waiting:
            current.send_message(message)
        else:
            self._queue(link, message)

    def open(self, peer: str) -> None:
        """Open a link if there is none."""
        if peer not in self._link_by_peer:
            self._open(peer)

    def close(self, peer: str) -> None:
        """Drop the link to a peer."""
        link = self._link_by_peer.get(peer)
        if link is None:
            return
        if link.opening is not None:
            link.opening.cancel()
        if link.current is not None:
            link.current.abort("closed")

    async def stop(self) -> None:
        """Close the listener and all links."""
        if self._server is not None:
            self._server.close()
        links = list(self._link_by_peer.values())
        for link in links:
            if link.opening is not None:
                link.opening.cancel()
            if link.current is not None:
                link.current.close(_CLOSE_DONE, "stopped")
        for connection in list(self._accepted):
            connection.abort("stopped")

    @property
    def open_links(self) -> int:
        """Links on which messages can be written."""
        return sum(link.current is not None for link in self._link_by_peer.values())

    @property
    def waiting_messages(self) -> int:
        """Messages that wait to be written, on all links."""
        return sum(len(link.waiting) for link in self._link_by_peer.values())

    def _open(self, peer: str) -> _Link:
        link = self._link_by_peer.setdefault(peer, _Link(peer))
        link.opening = asyncio.ensure_future(self._connect(link))
        return link

    async def _connect(self, link: _Link) -> None:
        """Connect and wait until the connection is up or lost."""
        connection = OpenedConnection(self, link.peer)
        is_refused = False
        try:
            host, port = split_address(link.peer)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(OPEN_TIMEOUT):
                await loop.create_connection(lambda: connection, host, port)
                await connection.settled.wait()
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__}: {error}"
            self.on_error(LinkError("link.open", link.peer, detail))
        link.opening = None
        if not connection.is_up:
            if connection.transport is not None:
                connection.transport.abort()
            self._end_if_unused(link, is_refused)

    def _queue(self, link: _Link, message: Message) -> None:
        data = encode_message(message)
        is_full = len(link.waiting) >= MAX_WAITING_MESSAGES
        if is_full or link.waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.on_send_failed(link.peer, message)
            return
        link.waiting.append((message, data))
        link.waiting_bytes += len(data)

    def _write_waiting(self, link: _Link) -> None:
        current = link.current
        while link.waiting and current is not None and current.can_write:
            message, data = link.waiting.popleft()
            link.waiting_bytes -= len(data)
            current.send_encoded(message, data)

    def connection_accepted(self, connection: LinkConnection) -> None:
        """Take or refuse a connection whose other side has yet to prove itself."""
        self._accepted.add(connection)
        if len(self._accepted) > MAX_UNPROVED_CONNECTIONS:
            connection.abort("too many connections without a proof")

    def connection_up(self, connection: LinkConnection) -> None:
        """Take a connection whose other side proved the secret."""
        self._accepted.discard(connection)
        link = self._link_by_peer.setdefault(connection.peer, _Link(connection.peer))
        current = link.current
        if current is None:
            self._begin(link, connection)
        elif connection.incarnation < current.incarnation:
            connection.is_loss_reported = True
            connection.abort("older start identity")
        elif self._is_replaced(current, connection):
            if current.close_code != _CLOSE_SURPLUS:
                current.abort("replaced")
                self._report_loss(current)
            self._begin(link, connection)
        else:
            self._resolve(link, current, connection)

    def _begin(self, link: _Link, connection: LinkConnection) -> None:
        link.current = connection
        self.on_up(link.peer, connection.name, connection.incarnation)
        self._write_waiting(link)

    def _report_loss(self, connection: LinkConnection) -> None:
        if not connection.is_loss_reported:
            connection.is_loss_reported = True
            self.on_down(connection.peer, False)

    def _is_replaced(self, current: LinkConnection, other: LinkConnection) -> bool:
        is_restarted = current.incarnation != other.incarnation
        is_same_side = current.opened_by_us == other.opened_by_us
        return is_restarted or is_same_side or not current.is_open

    def _resolve(
        self, link: _Link, current: LinkConnection, other: LinkConnection
    ) -> None:
        """Choose between two connections that the two sides opened at once."""
        is_ours_preferred = self.identity.link_address < link.peer
        if other.opened_by_us == is_ours_preferred:
            link.current = other
            current, other = other, current
            self._write_waiting(link)
        if other.opened_by_us:
            other.close(_CLOSE_SURPLUS, "surplus")

    def connection_writable(self, connection: LinkConnection) -> None:
        """Write what waits for the connection."""
        link = self._link_by_peer.get(connection.peer)
        if link is not None and link.current is connection:
            self._write_waiting(link)

    def connection_closed(self, connection: LinkConnection) -> None:
        """Remove a connection."""
        self._accepted.discard(connection)
        if not connection.is_up:
            return
        link = self._link_by_peer.get(connection.peer)
        is_current = link is not None and link.current is connection
        if link is not None and is_current:
            link.current = None
            if link.opening is None:
                connection.is_loss_reported = True
                self._end(link, False)
        if connection.close_code != _CLOSE_SURPLUS:
            self._report_loss(connection)

    def _end_if_unused(self, link: _Link, is_refused: bool) -> None:
        if link.current is None and self._link_by_peer.get(link.peer) is link:
            self._end(link, is_refused)

    def _end(self, link: _Link, is_refused: bool) -> None:
        """Report the waiting messages as not written, then the link as down."""
        self._link_by_peer.pop(link.peer, None)
        waiting = list(link.waiting)
        link.waiting.clear()
        for message, _ in waiting:
            self.on_send_failed(link.peer, message)
        self.on_down(link.peer, is_refused)
