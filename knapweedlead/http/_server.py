"""HTTP/1.1 server for callers, based on httptools."""

import asyncio
import itertools
from collections.abc import Callable

import attrs

from knapweedlead.checks import check_final_status
from knapweedlead.http._budget import BufferBudget
from knapweedlead.http._caller import CallerProtocol, ParsedRequest
from knapweedlead.http._limits import HttpLimits
from knapweedlead.http._listener import Listener

MAX_CALLER_CONNECTIONS = 8192
MAX_REQUEST_MEMORY = 64 * 1024 * 1024
"""Bytes that the requests of all connections take until they are answered."""
MAX_RESPONSE_MEMORY = 32 * 1024 * 1024
"""Bytes of responses that callers have not read yet."""
FAULT_STATUS = 502
"""Status of the reply to a request whose handler raised an exception. It promises
nothing, since the request may have been passed on."""

_SWEEP_SECONDS = 1.0


@attrs.frozen
class HttpRequest:
    """A complete request.

    Parameters
    ----------
    exchange : int
        Identifier of the exchange, unique within the server.
    method, path : str
        Method and target of the request line.
    headers : dict of str to str
        Header names are lower case.
    body : bytes
        Complete request body.
    connection : CallerProtocol
        Connection that the request arrived on.
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
    """Accepts caller connections and passes on complete requests.

    Parameters
    ----------
    on_request : callable
        Called with an `HttpRequest`, which is answered later with `reply`. If it raises
        an exception, the event loop's exception handler is called, and the request is
        answered with `FAULT_STATUS`.
    on_gone : callable
        Called with the exchange of a caller that disconnected before the reply, or
        whose request has been answered because of an exception.
    on_refused_request : callable
        Called with a reason, ``malformed_request``, ``request_too_large`` or
        ``overloaded``; returns status, headers and body of the response.
    max_connections : int
        Maximum number of connections; further ones are refused as ``overloaded``.
    limits : HttpLimits or None
        Limits on requests; the attribute may be replaced at any time.
    max_request_memory : int
        Bytes that all requests may take until they are answered. If they take more,
        the connection that sent most without having been answered or passed on is
        refused as ``overloaded``.
    max_response_memory : int
        Bytes of responses that callers may leave unread together. If they leave more,
        the connection with most of them is closed.
    on_unread_response : callable
        Called with the address of a caller that is disconnected for unread responses.
    """

    def __init__(
        self,
        on_request: Callable[[HttpRequest], None],
        on_gone: Callable[[int], None],
        on_refused_request: Callable[[str], tuple[int, dict[str, str], bytes]],
        max_connections: int = MAX_CALLER_CONNECTIONS,
        limits: HttpLimits | None = None,
        max_request_memory: int = MAX_REQUEST_MEMORY,
        max_response_memory: int = MAX_RESPONSE_MEMORY,
        on_unread_response: Callable[[str], None] = lambda peer: None,
    ) -> None:
        self.limits = limits or HttpLimits()
        self.on_request = on_request
        self.on_gone = on_gone
        self.on_refused_request = on_refused_request
        self.on_unread_response = on_unread_response
        self.max_connections = max_connections
        self.request_memory: BufferBudget[CallerProtocol] = BufferBudget(
            max_request_memory
        )
        self.response_memory: BufferBudget[CallerProtocol] = BufferBudget(
            max_response_memory
        )
        self._exchanges = itertools.count(1)
        self._protocol_by_exchange: dict[int, CallerProtocol] = {}
        self._protocols: set[CallerProtocol] = set()
        self._listener = Listener(lambda: CallerProtocol(self))
        self.is_closing = False
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Listen at ``IP:PORT``."""
        await self._listener.open(address)
        self._sweep()

    def reply(
        self, exchange: int, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Answer an exchange; does nothing if its caller has disconnected.

        A status that is not that of a final response is reported as a fault, and the
        exchange is answered with `FAULT_STATUS`.
        """
        try:
            check_final_status(status)
        except ValueError as error:
            _report_fault("reply", error)
            status, headers, body = FAULT_STATUS, {}, b""
        protocol = self._protocol_by_exchange.pop(exchange, None)
        if protocol is None:
            return
        self.request_memory.reserved -= protocol.exchange_size
        try:
            protocol.reply(status, headers, body)
        except Exception as error:
            _report_fault("reply", error)
            protocol.transport.abort()

    @property
    def open_exchanges(self) -> int:
        """Number of exchanges without a reply."""
        return len(self._protocol_by_exchange)

    def announce_close(self) -> None:
        """Send ``Connection: close`` with the next reply on each connection."""
        self.is_closing = True

    @property
    def open_connections(self) -> int:
        """Number of open caller connections."""
        return len(self._protocols) + self._listener.pending_count

    def stop_listening(self) -> None:
        """Accept no new connections; established connections are still served."""
        self._listener.close()

    async def stop(self) -> None:
        """Close the listener, and each connection once it is idle."""
        self.stop_listening()
        await self._listener.wait_accepted()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for protocol in list(self._protocols):
            protocol.close_when_idle()

    def _sweep(self) -> None:
        """Enforce the request and idle timeouts of all connections."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(_SWEEP_SECONDS, self._sweep)
        now = loop.time()
        for protocol in list(self._protocols):
            try:
                protocol.check_timeouts(now)
            except Exception as error:
                _report_fault("check of timeouts", error)
                protocol.transport.abort()

    def start_exchange(self, protocol: CallerProtocol, request: ParsedRequest) -> int:
        """Pass on a request and return the identifier of its exchange.

        If the requests take too much memory together, the caller is refused instead,
        and 0 is returned.
        """
        memory = self.request_memory
        memory.release(protocol)
        if memory.used + memory.reserved + protocol.exchange_size > memory.limit:
            protocol.shed()
            return 0
        exchange = next(self._exchanges)
        self._protocol_by_exchange[exchange] = protocol
        protocol.exchange = exchange
        memory.reserved += protocol.exchange_size
        try:
            self.on_request(HttpRequest(exchange, *request, protocol))
        except Exception as error:
            _report_fault("request", error)
            if exchange in self._protocol_by_exchange:
                self.on_gone(exchange)
                self.reply(exchange, FAULT_STATUS, {}, b"")
        return exchange

    def abandon_exchange(self, exchange: int) -> None:
        """Report that the caller of an exchange has disconnected."""
        protocol = self._protocol_by_exchange.pop(exchange, None)
        if protocol is not None:
            self.request_memory.reserved -= protocol.exchange_size
            self.on_gone(exchange)

    def update_request_memory(self, protocol: CallerProtocol, size: int) -> None:
        """Record the bytes of a connection's requests that are not passed on yet."""
        self.request_memory.set(protocol, size)
        if self.request_memory.is_exceeded and self.request_memory.used:
            self.request_memory.largest().shed()

    def check_unread_responses(self, protocol: CallerProtocol) -> None:
        """Record that a caller leaves a response unread."""
        memory = self.response_memory
        memory.hold(protocol, protocol.transport.get_write_buffer_size())
        if not memory.is_exceeded:
            return
        for owner in memory.owners():
            memory.set(owner, owner.transport.get_write_buffer_size())
        if memory.is_exceeded:
            largest = memory.largest()
            memory.release(largest)
            self.on_unread_response(largest.peer)
            largest.transport.abort()

    def add_connection(self, protocol: CallerProtocol) -> bool:
        """Register an open connection; return whether it is within the limit."""
        self._protocols.add(protocol)
        return len(self._protocols) <= self.max_connections

    def remove_connection(self, protocol: CallerProtocol) -> None:
        """Unregister a closed connection."""
        self._protocols.discard(protocol)
        self.request_memory.release(protocol)
        self.response_memory.release(protocol)


def _report_fault(step: str, error: Exception) -> None:
    """Pass an unexpected exception to the exception handler of the event loop."""
    context = {"message": f"exception in a handler: {step}", "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)
