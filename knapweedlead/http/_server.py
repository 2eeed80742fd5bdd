"""HTTP/1.1 server for callers, on httptools."""

import asyncio
import itertools
from collections.abc import Callable

import attrs

from knapweedlead.http._addresses import split_address
from knapweedlead.http._caller import CallerProtocol, HttpLimits, ParsedRequest

MAX_CALLER_CONNECTIONS = 8192

_SWEEP_SECONDS = 1.0
_BACKLOG = 1024


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
    connection : CallerProtocol
        Where it came from.
    """

    exchange: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: CallerProtocol

    @property
    def peer(self) -> str:
        """Address of the caller."""
        return self.connection.peer


class CallerServer:
    """Accepts callers and hands on whole requests.

    Parameters
    ----------
    on_request : callable
        Takes an `HttpRequest`; the answer comes later through `reply`.
    on_gone : callable
        Takes the exchange of a caller that left before its reply.
    on_bad_input : callable
        Takes a reason, ``malformed_request``, ``request_too_large`` or
        ``overloaded``, and returns status, headers and body of the refusal.
    max_connections : int
        Connections beyond which a new one is refused as overloaded.
    limits : HttpLimits or None
        Bounds on requests; may be replaced at any time.
    """

    def __init__(
        self,
        on_request: Callable[[HttpRequest], None],
        on_gone: Callable[[int], None],
        on_bad_input: Callable[[str], tuple[int, dict[str, str], bytes]],
        max_connections: int = MAX_CALLER_CONNECTIONS,
        limits: HttpLimits | None = None,
    ) -> None:
        self.limits = limits or HttpLimits()
        self.on_request = on_request
        self.on_gone = on_gone
        self.on_bad_input = on_bad_input
        self.max_connections = max_connections
        self._exchanges = itertools.count(1)
        self._protocol_by_exchange: dict[int, CallerProtocol] = {}
        self._protocols: set[CallerProtocol] = set()
        self._server: asyncio.Server | None = None
        self.is_leaving = False
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Listen at ``IP:PORT``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerProtocol(self), host, port, backlog=_BACKLOG
        )
        self._sweep()

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

    @property
    def open_connections(self) -> int:
        """Connections of callers."""
        return len(self._protocols)

    def stop_listening(self) -> None:
        """Accept no new callers; open connections go on."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Close the listener and the idle connections."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for protocol in list(self._protocols):
            protocol.close_when_idle()

    def _sweep(self) -> None:
        """Close the connections that have stalled or idled for too long."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for protocol in list(self._protocols):
            protocol.check_timeouts(now)
        self._sweeper = loop.call_later(_SWEEP_SECONDS, self._sweep)

    def begin(self, protocol: CallerProtocol, request: ParsedRequest) -> int:
        """Hand on a request and return the number of its exchange."""
        exchange = next(self._exchanges)
        self._protocol_by_exchange[exchange] = protocol
        protocol.exchange = exchange
        self.on_request(HttpRequest(exchange, *request, protocol))
        return exchange

    def lost(self, exchange: int) -> None:
        """Report that the caller of an exchange has gone."""
        if self._protocol_by_exchange.pop(exchange, None) is not None:
            self.on_gone(exchange)

    def add(self, protocol: CallerProtocol) -> bool:
        """Register an open connection; return whether there is room for it."""
        self._protocols.add(protocol)
        return len(self._protocols) <= self.max_connections

    def remove(self, protocol: CallerProtocol) -> None:
        """Remove a closed connection."""
        self._protocols.discard(protocol)
