"""HTTP/1.1 client for the own backend server, on httptools."""

import asyncio
import itertools
from collections.abc import Callable

from knapweedlead.transport._addresses import split_address
from knapweedlead.transport._http_headers import request_bytes
from knapweedlead.transport._http_run import HttpAnswer, RunProtocol

MAX_IDLE_SECONDS = 4.0
"""Age up to which an idle connection is used again; servers close them later."""


class BackendServerClient:
    """Runs requests on one backend server over kept connections.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the backend server.
    max_connections : int
        Connections that the backend server accepts.
    on_answer : callable
        Takes run and `HttpAnswer`.
    on_failure : callable
        Takes run, whether any byte was written, and a detail.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        on_answer: Callable[[int, HttpAnswer], None],
        on_failure: Callable[[int, bool, str], None],
    ) -> None:
        self.address = address
        self.max_connections = max_connections
        self.on_answer = on_answer
        self.on_failure = on_failure
        self._idle: list[RunProtocol] = []
        self._protocol_by_run: dict[int, RunProtocol] = {}
        self._task_by_run: dict[int, asyncio.Task[RunProtocol]] = {}
        self._open = 0

    @property
    def open_connections(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    def run(
        self,
        run: int,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> None:
        """Send a request; `on_answer` or `on_failure` follows.

        Parameters
        ----------
        run : int
            Number of the run.
        method, path : str
            Of the request line.
        headers : dict of str to str
            Lower-case names, without those that frame the message.
        body : bytes
            The whole body.
        timeout : float
            Seconds for connecting and for the answer.
        """
        data = request_bytes(self.address, method, path, headers, body)
        protocol = self._take_idle()
        if protocol is not None:
            self._begin(protocol, run, method, data, timeout)
            return
        if self._open >= self.max_connections:
            self.on_failure(run, False, "connection limit")
            return
        self._open += 1
        task = asyncio.ensure_future(self._connect(timeout))
        self._task_by_run[run] = task
        task.add_done_callback(
            lambda done: self._connected(done, run, method, data, timeout)
        )

    def _take_idle(self) -> RunProtocol | None:
        oldest = asyncio.get_running_loop().time() - MAX_IDLE_SECONDS
        while self._idle:
            protocol = self._idle.pop()
            if protocol.idle_since >= oldest and not protocol.is_lost:
                return protocol
            protocol.abort("idle")
        return None

    def _begin(
        self, protocol: RunProtocol, run: int, method: str, data: bytes, timeout: float
    ) -> None:
        self._protocol_by_run[run] = protocol
        protocol.begin(run, method == "HEAD", data, timeout)

    async def _connect(self, timeout: float) -> RunProtocol:
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout):
            _, protocol = await loop.create_connection(
                lambda: RunProtocol(self), host, port
            )
        return protocol

    def _connected(
        self,
        task: asyncio.Task[RunProtocol],
        run: int,
        method: str,
        data: bytes,
        timeout: float,
    ) -> None:
        self._task_by_run.pop(run, None)
        if task.cancelled() or task.exception() is not None:
            self._open -= 1
            detail = "cancelled" if task.cancelled() else repr(task.exception())
            self.on_failure(run, False, detail)
            return
        self._begin(task.result(), run, method, data, timeout)

    def cancel(self, run: int) -> None:
        """Close the connection of a run, or give up opening it."""
        protocol = self._protocol_by_run.get(run)
        if protocol is not None:
            protocol.abort("cancelled")
        elif run in self._task_by_run:
            self._task_by_run[run].cancel()

    def finished(self, protocol: RunProtocol, run: int, answer: HttpAnswer) -> None:
        """Take a connection back after a whole answer."""
        self._protocol_by_run.pop(run, None)
        if not protocol.is_lost:
            self._idle.append(protocol)
        self.on_answer(run, answer)

    def lost(self, protocol: RunProtocol, run: int, detail: str) -> None:
        """Take note of a closed connection, and of its run if it had one."""
        self._open -= 1
        if protocol in self._idle:
            self._idle.remove(protocol)
        if run:
            self._protocol_by_run.pop(run, None)
            self.on_failure(run, True, detail)

    def close(self) -> None:
        """Close all connections."""
        for task in list(self._task_by_run.values()):
            task.cancel()
        protocols = itertools.chain(self._idle, self._protocol_by_run.values())
        for protocol in list(protocols):
            protocol.abort("closed")
