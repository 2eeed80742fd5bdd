"""Listening socket that is closed without resetting established connections."""

import asyncio
import socket
from collections.abc import Callable

from knapweedlead.http._addresses import split_address

_BACKLOG = 1024


class Listener:
    """Accepts connections until it is closed, including those in the listen queue.

    The kernel establishes connections before a process accepts them, and resets those
    that wait in the queue of a socket that is closed, though callers may have sent
    requests on them.

    Parameters
    ----------
    create_protocol : callable
        Returns the protocol of a new connection.
    """

    def __init__(self, create_protocol: Callable[[], asyncio.Protocol]) -> None:
        self.create_protocol = create_protocol
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    async def open(self, address: str) -> None:
        """Listen at ``IP:PORT``."""
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, port), family=family, backlog=_BACKLOG
        )
        self._socket.setblocking(False)
        # The event loop closes its own copy; the queue lives until the last one closes.
        self._server = await asyncio.get_running_loop().create_server(
            self.create_protocol, sock=self._socket.dup(), backlog=_BACKLOG
        )

    @property
    def pending_count(self) -> int:
        """Number of connections accepted by `close` that have no protocol yet."""
        return len(self._tasks)

    def close(self) -> None:
        """Accept the connections in the queue, and no others."""
        if self._server is None or self._socket is None:
            return
        self._server.close()
        self._server = None
        self._accept_queued(self._socket)
        self._socket.close()

    def _accept_queued(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            connection.setblocking(False)
            task: asyncio.Task[object] = loop.create_task(
                loop.connect_accepted_socket(self.create_protocol, connection)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_accepted(self) -> None:
        """Wait until all connections accepted by `close` have a protocol."""
        if self._tasks:
            await asyncio.wait(self._tasks)
