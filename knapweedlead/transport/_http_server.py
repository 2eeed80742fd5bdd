"""HTTP/1.1 server for callers, on httptools."""

import asyncio
import itertools
from collections.abc import Callable
from http import HTTPStatus

import attrs
import httptools

from knapweedlead.transport._addresses import split_address

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024

_PHRASE_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


@attrs.frozen
class HttpRequest:
    """A whole request.

    Parameters
    ----------
    exchange : int
        Number of the exchange, unique within the server.
    method, path : str
        Of the request line.
    headers : dict of str to str
        Lower-case names.
    body : bytes
        The whole body.
    peer : str
        Address of the caller.
    """

    exchange: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: str


class CallerServer:
    """Accepts callers and hands on whole requests.

    Parameters
    ----------
    on_request : callable
        Takes an `HttpRequest`; the answer comes later through `reply`.
    on_gone : callable
        Takes the exchange of a caller that left before its reply.
    on_bad_input : callable
        Takes a reason, ``malformed_request`` or ``request_too_large``, and
        returns status, headers and body of the refusal.
    """

    def __init__(
        self,
        on_request: Callable[[HttpRequest], None],
        on_gone: Callable[[int], None],
        on_bad_input: Callable[[str], tuple[int, dict[str, str], bytes]],
    ) -> None:
        self.on_request = on_request
        self.on_gone = on_gone
        self.on_bad_input = on_bad_input
        self._exchanges = itertools.count(1)
        self._protocol_by_exchange: dict[int, _CallerProtocol] = {}
        self._protocols: set[_CallerProtocol] = set()
        self._server: asyncio.Server | None = None
        self.is_leaving = False

    async def start(self, address: str) -> None:
        """Listen at ``IP:PORT``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerProtocol(self), host, port, backlog=1024
        )

    def reply(
        self, exchange: int, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Answer an exchange; one whose caller has gone is passed over."""
        protocol = self._protocol_by_exchange.pop(exchange, None)
        if protocol is not None:
            protocol.reply(status, headers, body)

    @property
    def open_exchanges(self) -> int:
        """Exchanges without a reply."""
        return len(self._protocol_by_exchange)

    def announce_close(self) -> None:
        """Answer each connection's next request with ``Connection: close``."""
        self.is_leaving = True

    async def stop(self) -> None:
        """Close the listener and the idle connections."""
        if self._server is not None:
            self._server.close()
        for protocol in list(self._protocols):
            protocol.close_when_idle()

    def begin(self, protocol: "_CallerProtocol") -> int:
        """Allot an exchange number to a connection."""
        exchange = next(self._exchanges)
        self._protocol_by_exchange[exchange] = protocol
        return exchange

    def lost(self, exchange: int) -> None:
        """Report that the caller of an exchange has gone."""
        if self._protocol_by_exchange.pop(exchange, None) is not None:
            self.on_gone(exchange)

    def add(self, protocol: "_CallerProtocol") -> None:
        """Register an open connection."""
        self._protocols.add(protocol)

    def remove(self, protocol: "_CallerProtocol") -> None:
        """Remove a closed connection."""
        self._protocols.discard(protocol)


class _CallerProtocol(asyncio.Protocol):
    """One connection; requests are answered one after another."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.parser = httptools.HttpRequestParser(self)
        self.exchange = 0
        self.peer = ""
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._waiting: list[tuple[str, str, dict[str, str], bytes]] = []
        self._is_closing = False
        self._fault = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "-"
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.remove(self)
        if self.exchange:
            self.server.lost(self.exchange)

    def data_received(self, data: bytes) -> None:
        if self._is_closing:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse("malformed_request")
        except httptools.HttpParserError:
            self._refuse(self._fault or "malformed_request")

    def on_message_begin(self) -> None:
        self._url = b""
        self._headers = {}
        self._body = []
        self._size = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._check_size(len(url), MAX_HEADER_BYTES)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._check_size(len(name) + len(value), MAX_HEADER_BYTES)
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self._size = 0
        if self._headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._check_size(len(body), MAX_BODY_BYTES)
        self._body.append(body)

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode("latin-1")
        path = self._url.decode("latin-1")
        request = (method, path, self._headers, b"".join(self._body))
        if self.exchange:
            self._waiting.append(request)
        else:
            self._begin(request)

    def _check_size(self, added: int, limit: int) -> None:
        self._size += added
        if self._size > limit:
            self._fault = "request_too_large"
            raise ValueError("request too large")

    def _begin(self, request: tuple[str, str, dict[str, str], bytes]) -> None:
        self.exchange = self.server.begin(self)
        self.server.on_request(HttpRequest(self.exchange, *request, self.peer))

    def reply(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.exchange = 0
        is_last = self._is_closing or self.server.is_leaving
        if is_last and not self._waiting:
            headers = {**headers, "connection": "close"}
        self.transport.write(_response(status, headers, body))
        if not self.parser.should_keep_alive() or (is_last and not self._waiting):
            self.transport.close()
        elif self._waiting:
            self._begin(self._waiting.pop(0))

    def close_when_idle(self) -> None:
        self._is_closing = True
        if not self.exchange:
            self.transport.close()

    def _refuse(self, reason: str) -> None:
        self._is_closing = True
        self.transport.write(_response(*self.server.on_bad_input(reason)))
        self.transport.close()


def _response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    phrase = _PHRASE_BY_STATUS.get(status, "")
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1") + body
