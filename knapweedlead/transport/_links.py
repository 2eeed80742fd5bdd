"""Table of links: websocket connections that carry CBOR messages both ways."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from knapweedlead.checks import check_address
from knapweedlead.errors import LinkError
from knapweedlead.http._addresses import split_address
from knapweedlead.messages import Message, encode_message
from knapweedlead.node import Identity
from knapweedlead.transport._link_connection import (
    OPEN_TIMEOUT,
    IncomingConnection,
    LinkConnection,
    OutgoingConnection,
)
from knapweedlead.transport._traffic import Traffic

MAX_QUEUED_MESSAGES = 4096
"""Limit of the messages queued for one link."""
MAX_QUEUED_BYTES = 16 * 1024 * 1024
"""Limit of the encoded bytes queued for one link."""
MAX_UNAUTHENTICATED_CONNECTIONS = 256
"""Limit of accepted connections that have not completed the handshake."""

_CLOSE_DUPLICATE = 4000
_CLOSE_NORMAL = 1000


@attrs.define(eq=False)
class _Link:
    """Connections to one peer, and the messages queued for it.

    Attributes
    ----------
    current : LinkConnection or None
        Connection on which messages are sent.
    connect_task : asyncio.Task or None
        Task that opens a connection from this side.
    queue : deque of (Message, bytes)
        Messages of which no byte was written, with their encoding.
    """

    peer: str
    current: LinkConnection | None = None
    connect_task: Any = None
    queue: deque[tuple[Message, bytes]] = attrs.field(factory=deque)
    queued_bytes: int = 0


class LinkTable:
    """All links of a daemon, one for each peer, regardless of which side opened it.

    If both sides open a connection at the same time, both keep the one opened by the
    daemon with the lower link address. The other connection is closed by the daemon
    that opened it, with a closing handshake, so that none of its messages is lost.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    secret : str
        Secret shared by all daemons of the fleet.
    on_message : callable
        Called with the link address of the peer and a message.
    on_up : callable
        Called with link address, name and incarnation of the peer when a link is up.
    on_down : callable
        Called with the link address, and whether the connection was refused, when a
        link was lost or could not be opened.
    on_send_failed : callable
        Called with the link address and a message of which no byte was written.
    on_error : callable
        Called with a `LinkError` or a `CodecError`.

    Attributes
    ----------
    sent, received : Traffic
        Counters of the messages on all links.
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
        self._unauthenticated: set[LinkConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Accept links at ``IP:PORT``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: IncomingConnection(self), host, port, backlog=1024
        )

    def send(self, peer: str, message: Message) -> None:
        """Send or queue a message for a peer, opening a link if there is none."""
        link = self._link_by_peer.get(peer)
        if link is None:
            link = self._open(peer)
        current = link.current
        if current is not None and current.can_write and not link.queue:
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
        if link.connect_task is not None:
            link.connect_task.cancel()
        if link.current is not None:
            link.current.abort("closed")

    async def stop(self) -> None:
        """Close the listener and all links."""
        if self._server is not None:
            self._server.close()
        links = list(self._link_by_peer.values())
        for link in links:
            if link.connect_task is not None:
                link.connect_task.cancel()
            if link.current is not None:
                link.current.close(_CLOSE_NORMAL, "stopped")
        for connection in list(self._unauthenticated):
            connection.abort("stopped")

    @property
    def open_links(self) -> int:
        """Number of links that are up."""
        return sum(link.current is not None for link in self._link_by_peer.values())

    @property
    def queued_messages(self) -> int:
        """Number of messages queued on all links."""
        return sum(len(link.queue) for link in self._link_by_peer.values())

    def _open(self, peer: str) -> _Link:
        link = self._link_by_peer.setdefault(peer, _Link(peer))
        link.connect_task = asyncio.ensure_future(self._connect(link))
        return link

    async def _connect(self, link: _Link) -> None:
        """Connect, and wait until the connection is up or closed."""
        connection = None
        is_refused = False
        try:
            host, port = split_address(check_address(link.peer))
            connection = OutgoingConnection(self, link.peer)
            await self._open_connection(connection, host, port)
        except (OSError, ValueError, asyncio.CancelledError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__}: {error}"
            self.on_error(LinkError("link.open", link.peer, detail))
        link.connect_task = None
        if connection is None or not connection.is_up:
            if connection is not None and connection.transport is not None:
                connection.transport.abort()
            self._remove_if_unused(link, is_refused)

    async def _open_connection(
        self, connection: OutgoingConnection, host: str, port: int
    ) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(OPEN_TIMEOUT):
            await loop.create_connection(lambda: connection, host, port)
            await connection.handshake_ended.wait()

    def _queue(self, link: _Link, message: Message) -> None:
        data = encode_message(message)
        is_full = len(link.queue) >= MAX_QUEUED_MESSAGES
        if is_full or link.queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.on_send_failed(link.peer, message)
            return
        link.queue.append((message, data))
        link.queued_bytes += len(data)

    def _write_queued(self, link: _Link) -> None:
        current = link.current
        while link.queue and current is not None and current.can_write:
            message, data = link.queue.popleft()
            link.queued_bytes -= len(data)
            current.send_encoded(message, data)

    def connection_accepted(self, connection: LinkConnection) -> None:
        """Register an unauthenticated connection, or abort it if there are too many."""
        self._unauthenticated.add(connection)
        if len(self._unauthenticated) > MAX_UNAUTHENTICATED_CONNECTIONS:
            connection.abort("too many unauthenticated connections")

    def connection_up(self, connection: LinkConnection) -> None:
        """Add an authenticated connection, keeping only one for each peer."""
        self._unauthenticated.discard(connection)
        link = self._link_by_peer.setdefault(connection.peer, _Link(connection.peer))
        current = link.current
        if current is None:
            self._activate(link, connection)
        elif connection.incarnation < current.incarnation:
            connection.is_loss_reported = True
            connection.abort("older incarnation")
        elif self._is_replaced(current, connection):
            if current.close_code != _CLOSE_DUPLICATE:
                current.abort("replaced")
                self._report_loss(current)
            self._activate(link, connection)
        else:
            self._resolve_simultaneous_open(link, current, connection)

    def _activate(self, link: _Link, connection: LinkConnection) -> None:
        link.current = connection
        self.on_up(link.peer, connection.name, connection.incarnation)
        self._write_queued(link)

    def _report_loss(self, connection: LinkConnection) -> None:
        if not connection.is_loss_reported:
            connection.is_loss_reported = True
            self.on_down(connection.peer, False)

    def _is_replaced(self, current: LinkConnection, other: LinkConnection) -> bool:
        is_restarted = current.incarnation != other.incarnation
        is_same_side = current.is_outgoing == other.is_outgoing
        return is_restarted or is_same_side or not current.is_open

    def _resolve_simultaneous_open(
        self, link: _Link, current: LinkConnection, other: LinkConnection
    ) -> None:
        """Choose between two connections that both sides opened at the same time."""
        is_outgoing_preferred = self.identity.link_address < link.peer
        if other.is_outgoing == is_outgoing_preferred:
            link.current = other
            current, other = other, current
            self._write_queued(link)
        if other.is_outgoing:
            other.close(_CLOSE_DUPLICATE, "surplus")

    def connection_writable(self, connection: LinkConnection) -> None:
        """Write the queued messages if `connection` is the current one of its link."""
        link = self._link_by_peer.get(connection.peer)
        if link is not None and link.current is connection:
            self._write_queued(link)

    def connection_closed(self, connection: LinkConnection) -> None:
        """Remove a closed connection, and its link if none is being opened."""
        self._unauthenticated.discard(connection)
        if not connection.is_up:
            return
        link = self._link_by_peer.get(connection.peer)
        is_current = link is not None and link.current is connection
        if link is not None and is_current:
            link.current = None
            if link.connect_task is None:
                connection.is_loss_reported = True
                self._remove_link(link, False)
        if connection.close_code != _CLOSE_DUPLICATE:
            self._report_loss(connection)

    def _remove_if_unused(self, link: _Link, is_refused: bool) -> None:
        if link.current is None and self._link_by_peer.get(link.peer) is link:
            self._remove_link(link, is_refused)

    def _remove_link(self, link: _Link, is_refused: bool) -> None:
        """Report the queued messages as not sent, then the link as down."""
        self._link_by_peer.pop(link.peer, None)
        unsent = list(link.queue)
        link.queue.clear()
        for message, _ in unsent:
            self.on_send_failed(link.peer, message)
        self.on_down(link.peer, is_refused)
