"""HTTP/1.1 client with a connection pool for one server, based on httptools."""

import asyncio
import itertools
from collections.abc import Callable
from functools import partial

from knapweedlead.http._addresses import split_address
from knapweedlead.http._budget import BufferBudget
from knapweedlead.http._headers import request_bytes
from knapweedlead.http._run import MAX_ANSWER_BYTES, HttpAnswer, RunProtocol

MAX_IDLE_SECONDS = 4.0
"""Idle time up to which a connection is reused; servers close idle ones later."""
IDLE_FRACTION = 0.7
"""Fraction of the server's ``Keep-Alive`` timeout for which a connection is reused."""
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Memory that the unfinished answers of a client take together."""
REFUSED = "connection refused"
"""Cause of a failure if nothing accepts connections at the server's address."""
CONNECT_TIMEOUT = 1.0
"""Default time limit for opening a connection; callers use the same limit."""


class BackendServerClient:
    """Sends requests to one backend server over persistent connections.

    A run is one request with its answer; its identifier is chosen by the user of the
    client.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the backend server.
    max_connections : int
        Maximum number of connections; a run that would need a further connection fails.
    on_answer : callable
        Called with the run and its `HttpAnswer`.
    on_failure : callable
        Called with the run, whether any byte of the request may have been written,
        and the cause.
    request_id_header : str
        Lower-case name of the header in which answers repeat the request ID; empty
        if there is none.
    accepts_close_delimited : bool
        Whether the end of the connection may delimit the body of an answer.
    on_disconnected : callable or None
        Called when the last open connection is lost.
    max_answer_bytes : int
        Size limit of an answer with its headers.
    connect_timeout : float
        Largest number of seconds allowed for opening a connection.

    Attributes
    ----------
    discarded_answers : int
        Number of answers discarded because their request ID was not that of the run.
    connections_opened : int
        Number of connections opened so far.
    budget : BufferBudget
        Memory of unfinished answers; if it is exceeded, the connection that holds most
        of it is closed.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        on_answer: Callable[[int, HttpAnswer], None],
        on_failure: Callable[[int, bool, str], None],
        request_id_header: str = "",
        accepts_close_delimited: bool = False,
        on_disconnected: Callable[[], None] | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        connect_timeout: float = CONNECT_TIMEOUT,
    ) -> None:
        self.connect_timeout = connect_timeout
        self.max_answer_bytes = max_answer_bytes
        self.on_disconnected = on_disconnected
        self.request_id_header = request_id_header
        self.accepts_close_delimited = accepts_close_delimited
        self.discarded_answers = 0
        self.connections_opened = 0
        self.budget: BufferBudget[RunProtocol] = BufferBudget(
            max(MAX_BUFFERED_BYTES, max_answer_bytes)
        )
        self.address = address
        self.max_connections = max_connections
        self.on_answer = on_answer
        self.on_failure = on_failure
        self._idle: dict[RunProtocol, None] = {}
        self._protocol_by_run: dict[int, RunProtocol] = {}
        self._task_by_run: dict[int, asyncio.Task[RunProtocol]] = {}
        self._checks: set[asyncio.Task[RunProtocol]] = set()
        self._connection_count = 0

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return self._connection_count

    @property
    def buffered_bytes(self) -> int:
        """Estimate of the memory that unfinished answers take."""
        return self.budget.used

    def run(
        self,
        run: int,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> None:
        """Send a request; `on_answer` or `on_failure` is called later.

        Parameters
        ----------
        run : int
            Identifier of the run.
        method, path : str
            Method and target of the request line.
        headers : dict of str to str
            Headers with lower-case names, without ``host`` and the headers that
            delimit the body.
        body : bytes
            Complete request body.
        timeout : float
            Seconds allowed for connecting, at most `connect_timeout`, and again for the
            answer.
        """
        data = request_bytes(self.address, method, path, headers, body)
        self.send(run, data, method == "HEAD", timeout)

    def send(
        self, run: int, data: bytes, is_head: bool, timeout: float, request_id: str = ""
    ) -> None:
        """Send an encoded request; `on_answer` or `on_failure` is called later.

        Parameters
        ----------
        run : int
            Identifier of the run.
        data : bytes
            Encoded request line, headers and body.
        is_head : bool
            Whether the method is HEAD, so that the answer has no body.
        timeout : float
            Seconds allowed for connecting, at most `connect_timeout`, and again for the
            answer.
        request_id : str
            Request ID; answers with a different request ID are discarded. Empty to
            accept any answer.
        """
        protocol = self._acquire_idle()
        if protocol is not None:
            self._protocol_by_run[run] = protocol
            protocol.start(run, is_head, data, timeout, request_id)
            return
        if self._connection_count >= self.max_connections:
            self.on_failure(run, False, "connection limit")
            return
        self._connection_count += 1
        task = asyncio.ensure_future(self._connect(min(timeout, self.connect_timeout)))
        self._task_by_run[run] = task
        task.add_done_callback(
            lambda done: self._on_connected(
                done, run, is_head, data, timeout, request_id
            )
        )

    def _acquire_idle(self) -> RunProtocol | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            protocol, _ = self._idle.popitem()
            limit = protocol.idle_timeout * IDLE_FRACTION or MAX_IDLE_SECONDS
            if now - protocol.idle_since <= limit and not protocol.is_closed:
                return protocol
            protocol.abort("idle")
        return None

    async def _connect(self, timeout: float) -> RunProtocol:
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout):
            _, protocol = await loop.create_connection(
                lambda: RunProtocol(self), host, port
            )
        return protocol

    def _on_connected(
        self,
        task: asyncio.Task[RunProtocol],
        run: int,
        is_head: bool,
        data: bytes,
        timeout: float,
        request_id: str,
    ) -> None:
        self._task_by_run.pop(run, None)
        if task.cancelled() or task.exception() is not None:
            self._connection_count -= 1
            self.on_failure(run, False, _failure_detail(task))
            return
        self.connections_opened += 1
        protocol = task.result()
        if protocol.is_closed:
            # `connection_closed` was called before the connection had a run.
            self.on_failure(run, False, "connection reset while being opened")
            return
        self._protocol_by_run[run] = protocol
        protocol.start(run, is_head, data, timeout, request_id)

    def cancel(self, run: int) -> None:
        """Cancel a run by closing its connection, or by cancelling the connect."""
        protocol = self._protocol_by_run.get(run)
        if protocol is not None:
            protocol.abort("cancelled")
        elif run in self._task_by_run:
            self._task_by_run[run].cancel()

    def run_finished(self, protocol: RunProtocol, run: int, answer: HttpAnswer) -> None:
        """Return a connection to the pool and report the answer of its run."""
        self._protocol_by_run.pop(run, None)
        if not protocol.is_closed:
            self._idle[protocol] = None
        self.on_answer(run, answer)

    def connection_closed(self, protocol: RunProtocol, run: int, detail: str) -> None:
        """Remove a closed connection and fail its run, if any."""
        self._connection_count -= 1
        self._idle.pop(protocol, None)
        if run:
            self._protocol_by_run.pop(run, None)
            self.on_failure(run, True, detail)
        if not self._connection_count and self.on_disconnected is not None:
            self.on_disconnected()

    def check_listening(self, on_refused: Callable[[], None]) -> None:
        """Open a connection for later runs; report if the address refuses it."""
        self._connection_count += 1
        task = asyncio.ensure_future(self._connect(self.connect_timeout))
        self._checks.add(task)
        task.add_done_callback(partial(self._on_checked, on_refused))

    def _on_checked(
        self, on_refused: Callable[[], None], task: asyncio.Task[RunProtocol]
    ) -> None:
        self._checks.discard(task)
        if task.cancelled() or task.exception() is not None:
            self._connection_count -= 1
            if _failure_detail(task) == REFUSED:
                on_refused()
            return
        self.connections_opened += 1
        protocol = task.result()
        if not protocol.is_closed:
            protocol.idle_since = asyncio.get_running_loop().time()
            self._idle[protocol] = None

    def close(self) -> None:
        """Close all open connections and cancel the pending connection attempts."""
        for task in [*self._task_by_run.values(), *self._checks]:
            task.cancel()
        protocols = itertools.chain(self._idle, self._protocol_by_run.values())
        for protocol in list(protocols):
            protocol.abort("closed")


def _failure_detail(task: asyncio.Task[RunProtocol]) -> str:
    """Return why a connection could not be opened."""
    if task.cancelled():
        return "cancelled"
    error = task.exception()
    return REFUSED if isinstance(error, ConnectionRefusedError) else repr(error)
