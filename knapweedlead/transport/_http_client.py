"""HTTP/1.1 client for the own backend server, on httptools."""

import asyncio
from collections.abc import Callable

import attrs
import httptools

from knapweedlead.transport._addresses import split_address


@attrs.frozen
class HttpAnswer:
    """A whole answer; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


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
        self._idle: list[_RunProtocol] = []
        self._protocol_by_run: dict[int, _RunProtocol] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = 0

    def run(
        self,
        run: int,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> None:
        """Send a request; `on_answer` or `on_failure` follows."""
        data = _request(self.address, method, path, headers, body)
        while self._idle:
            protocol = self._idle.pop()
            if not protocol.is_lost:
                protocol.begin(run, data, timeout)
                self._protocol_by_run[run] = protocol
                return
        if self._open >= self.max_connections:
            self.on_failure(run, False, "connection limit")
            return
        self._open += 1
        task = asyncio.ensure_future(self._connect(run, data, timeout))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, run: int, data: bytes, timeout: float) -> None:
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, protocol = await loop.create_connection(
                    lambda: _RunProtocol(self), host, port
                )
        except (OSError, TimeoutError) as error:
            self._open -= 1
            self.on_failure(run, False, type(error).__name__)
            return
        self._protocol_by_run[run] = protocol
        protocol.begin(run, data, timeout)

    def cancel(self, run: int) -> None:
        """Close the connection of a run."""
        protocol = self._protocol_by_run.get(run)
        if protocol is not None:
            protocol.abort("cancelled")

    def finished(self, protocol: "_RunProtocol", run: int) -> None:
        """Take a connection back after a whole answer."""
        self._protocol_by_run.pop(run, None)
        if not protocol.is_lost:
            self._idle.append(protocol)

    def lost(self, protocol: "_RunProtocol", run: int) -> None:
        """Take note of a closed connection."""
        self._open -= 1
        if protocol in self._idle:
            self._idle.remove(protocol)
        self._protocol_by_run.pop(run, None)

    def close(self) -> None:
        """Close all connections."""
        for protocol in [*self._idle, *self._protocol_by_run.values()]:
            protocol.abort("closed")


class _RunProtocol(asyncio.Protocol):
    """One connection to the backend server, with one run at a time."""

    def __init__(self, client: BackendServerClient) -> None:
        self.client = client
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.is_lost = False
        self.run = 0
        self._detail = "connection lost"
        self._timer: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._is_whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def begin(self, run: int, data: bytes, timeout: float) -> None:
        self._reset()
        self.run = run
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout, self.abort, "timeout")
        self.transport.write(data)

    def abort(self, detail: str) -> None:
        self._detail = detail
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if not self.run:
            self.abort("bytes without a request")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort("malformed answer")
            return
        if self._is_whole:
            self._end()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._is_whole = True

    def _end(self) -> None:
        run, self.run = self.run, 0
        self._cancel_timer()
        answer = HttpAnswer(
            self.parser.get_status_code(), self._headers, b"".join(self._body)
        )
        if not self.parser.should_keep_alive():
            self.is_lost = True
            self.transport.close()
        self.client.finished(self, run)
        self.client.on_answer(run, answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self._cancel_timer()
        run, self.run = self.run, 0
        self.client.lost(self, run)
        if run:
            self.client.on_failure(run, True, self._detail)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


def _request(
    host: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1") + body
