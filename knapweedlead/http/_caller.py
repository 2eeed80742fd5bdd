"""One caller connection; its requests are handled one at a time."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from knapweedlead.http._body import BodyBuffer
from knapweedlead.http._headers import (
    HEADER_OBJECT_BYTES,
    HeaderCollector,
    framing_head,
    has_plain_transfer,
    response_bytes,
)
from knapweedlead.http._steps import SteppedProtocol

if TYPE_CHECKING:
    from knapweedlead.http._server import CallerServer

MAX_PIPELINED = 16
"""Complete requests pending on a connection at which reading is paused."""

_MAX_FRAMING_FACTOR = 2
"""Limit of the size of a chunked body with framing, relative to the body limit."""


ParsedRequest = tuple[str, str, dict[str, str], bytes]
"""Method, request target, headers and body."""

_PendingRequest = tuple[ParsedRequest, bool, int]
"""Request, whether its connection is kept, and the bytes that it takes."""


class CallerProtocol(SteppedProtocol):
    """Parses pipelined requests, starts one at a time, and replies in order.

    Parameters
    ----------
    server : CallerServer
        Server that accepted the connection.

    Attributes
    ----------
    exchange : int
        Identifier of the exchange in flight; 0 if there is none.
    exchange_size : int
        Bytes that the request in flight takes.
    """

    __slots__ = (
        "_awaits_continue",
        "_body",
        "_can_write",
        "_closes_after_reply",
        "_closes_when_idle",
        "_fields",
        "_framed_size",
        "_has_progressed",
        "_headers",
        "_is_head_method",
        "_is_head_only",
        "_is_in_head",
        "_is_reading",
        "_is_resuming",
        "_keeps_alive",
        "_last_active_at",
        "_max_header_bytes",
        "_memory",
        "_method",
        "_parse_failure",
        "_pipeline",
        "_rejection",
        "_request_started_at",
        "_size",
        "_size_beside_body",
        "_url",
        "exchange",
        "exchange_size",
        "parser",
        "server",
        "transport",
    )

    def __init__(self, server: "CallerServer") -> None:
        super().__init__()
        self.server = server
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.parser = httptools.HttpRequestParser(self)
        self.exchange = 0
        self.exchange_size = 0
        self._pipeline: deque[_PendingRequest] = deque()
        self._is_head_method = False
        self._closes_after_reply = False
        self._closes_when_idle = False
        self._can_write = True
        self._is_reading = True
        self._rejection = ""
        self._parse_failure = ""
        self._last_active_at = 0.0
        self._request_started_at = 0.0
        self._has_progressed = False
        self._is_resuming = False
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._method = ""
        self._is_head_only = False
        self._awaits_continue = False
        self._fields = HeaderCollector()
        self._headers: dict[str, str] = {}
        self._body = BodyBuffer()
        self._memory = 0
        self._size = 0
        self._framed_size = 0
        self._size_beside_body = 0
        self._is_in_head = True
        self._keeps_alive = True
        self._max_header_bytes = self.server.limits.max_header_bytes

    @property
    def peer(self) -> str:
        """Address of the caller; each access makes a system call."""
        peer = self.transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else "-"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it if there are too many."""
        self.transport = transport  # type: ignore[assignment]
        self._last_active_at = asyncio.get_running_loop().time()
        if not self.server.add_connection(self):
            self._reject("overloaded")

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the exchange in flight as abandoned."""
        self.server.remove_connection(self)
        self._pipeline.clear()
        self._drop_input()
        if self.exchange:
            self.server.abandon_exchange(self.exchange)

    def data_received(self, data: bytes) -> None:
        """Parse input; an invalid request is refused after the pending replies.

        Reading is paused while the rest of the input waits for a later step of the
        event loop.
        """
        if self._unparsed:
            self._parse_rest()
        if not self._rejection:
            self._receive(data)

    def _end_step(self) -> None:
        if self._unparsed or not self._is_reading:
            self._update_reading()
        self._update_memory()

    def _parse_part(self, data: bytes | memoryview) -> None:
        if not self._request_started_at:
            self._request_started_at = asyncio.get_running_loop().time()
        self._has_progressed = False
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._reject(self._parse_failure or "malformed_request")
        else:
            self._check_framing(len(data))
        if self._rejection:
            self._drop_input()

    def _update_memory(self) -> None:
        """Record the memory of requests that have not been passed on."""
        memory = self._memory + len(self._unparsed)
        if self._pipeline:
            memory += sum(size for _, _, size in self._pipeline)
        self.server.update_request_memory(self, memory)

    def _parse(self, rest: bytes | memoryview) -> None:
        """Parse input; offers of another protocol (``Upgrade``) are ignored."""
        while rest and not self._rejection:
            try:
                self.parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as upgrade:
                rest = memoryview(rest)[upgrade.args[0] :]
                self._resume_after_head()

    def _resume_after_head(self) -> None:
        """Continue with the body of a request that offers another protocol.

        The parser ends such a request at its head, whether or not a body follows. A new
        one reads the body, since a server may ignore the offer (RFC 9110, section 7.8).
        """
        self._is_head_only = False
        self.parser = httptools.HttpRequestParser(self)
        self._is_resuming = True
        try:
            self.parser.feed_data(framing_head(self._headers, self._keeps_alive))
        finally:
            self._is_resuming = False

    def _check_framing(self, received: int) -> None:
        """Limit the bytes that the parser consumes without producing output."""
        self._framed_size += received
        limits = self.server.limits
        limit = limits.max_header_bytes
        if not self._is_in_head:
            limit = _MAX_FRAMING_FACTOR * limits.max_body_bytes
            self._size_beside_body += 0 if self._has_progressed else received
        is_framing_too_large = self._size_beside_body > limits.max_header_bytes
        if is_framing_too_large or self._framed_size > limit + received:
            self._reject("request_too_large")

    def on_message_begin(self) -> None:
        """Reset the state of the previous request."""
        self._events += 1
        if not self._is_resuming:
            self._reset()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        if self._is_resuming:
            return
        self._url += url
        self._memory += len(url)
        self._check_size(len(url), self.server.limits.max_header_bytes)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are ignored."""
        self._events += 1
        if self._is_resuming:
            return
        self._size += len(name) + len(value)
        if self._size > self._max_header_bytes:
            self._parse_failure = "request_too_large"
            raise ValueError("request too large")
        if self._is_in_head:
            self._memory += len(name) + len(value) + HEADER_OBJECT_BYTES
            self._fields.add(name, value)

    def on_headers_complete(self) -> None:
        """Read the keep-alive mode and send ``100 Continue`` if requested."""
        if self._is_resuming:
            return
        self._size = 0
        self._framed_size = 0
        self._has_progressed = True
        self._is_in_head = False
        self._is_head_only = self.parser.should_upgrade()
        self._method = self.parser.get_method().decode("latin-1")
        if self._method == "CONNECT":
            # What follows such a head is not HTTP, even if it reads like a request.
            raise ValueError("CONNECT is not supported")
        self._headers = self._fields.take()
        if not has_plain_transfer(self._headers):
            raise ValueError("transfer coding is not supported")
        self._keeps_alive = self.parser.should_keep_alive()
        expects_continue = self._headers.get("expect", "").lower() == "100-continue"
        # A version below 1.1 has no interim responses.
        self._awaits_continue = (
            expects_continue and self.parser.get_http_version() == "1.1"
        )
        if self._awaits_continue and not self.exchange and not self._pipeline:
            self._write_continue()

    def _write_continue(self) -> None:
        """Send ``100 Continue`` for the request that arrives and waits for it."""
        self._awaits_continue = False
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._events += 1
        self._has_progressed = True
        self._check_size(len(body), self.server.limits.max_body_bytes)
        self._memory += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Start the request, or queue it behind the exchange in flight."""
        is_ignored = self._rejection or self.transport.is_closing()
        if is_ignored or self._is_head_only:
            return
        self._awaits_continue = False
        path = self._url.decode("latin-1")
        request = (self._method, path, self._headers, self._body.take())
        self._pipeline.append((request, self._keeps_alive, self._memory))
        self._memory = 0
        self._is_in_head = True
        self._framed_size = 0
        self._size_beside_body = 0
        self._has_progressed = True
        self._request_started_at = 0.0
        self._start_next()

    def _check_size(self, added: int, limit: int) -> None:
        self._size += added
        if self._size > limit:
            self._parse_failure = "request_too_large"
            raise ValueError("request too large")

    def _start_next(self) -> None:
        self._update_reading()
        if self.exchange or not self._pipeline or not self._can_write:
            return
        request, keeps_alive, self.exchange_size = self._pipeline.popleft()
        self._closes_after_reply = not keeps_alive
        self._is_head_method = request[0] == "HEAD"
        self.server.start_exchange(self, request)

    def _update_reading(self) -> None:
        has_room = len(self._pipeline) < MAX_PIPELINED and not self._unparsed
        should_read = has_room and self._can_write
        if should_read == self._is_reading or self.transport.is_closing():
            return
        self._is_reading = should_read
        if should_read:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def reply(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write the response of the exchange in flight, then start the next request."""
        self.exchange = 0
        self._last_active_at = asyncio.get_running_loop().time()
        has_more = self._pipeline or self._rejection or self._unparsed
        is_closing = self._closes_when_idle or self.server.is_closing
        is_last = self._closes_after_reply or (is_closing and not has_more)
        self.transport.write(
            response_bytes(status, headers, body, is_last, self._is_head_method)
        )
        if is_last:
            self.transport.close()
        elif self._pipeline:
            self._start_next()
            self._update_memory()
        elif self._rejection:
            self._write_rejection()
        elif self._awaits_continue:
            self._write_continue()

    def shed(self) -> None:
        """Refuse all requests of this connection that have not been passed on."""
        self._pipeline.clear()
        self._drop_input()
        self._reset()
        self._update_memory()
        self._update_reading()
        self._reject("overloaded")

    def close_when_idle(self) -> None:
        """Close the connection after the pending replies."""
        self._closes_when_idle = True
        is_idle = not (self.exchange or self._pipeline or self._unparsed)
        if is_idle and not self._request_started_at:
            self.transport.close()

    def check_timeouts(self, now: float) -> None:
        """Refuse a request that takes too long to arrive; close an idle connection."""
        started_at = self._request_started_at
        if (
            started_at
            and now - started_at > self.server.limits.request_timeout
            and not self._rejection
        ):
            self._reject("malformed_request")
        has_work = self._pipeline or self._unparsed
        is_idle = not self.exchange and not (has_work and self._can_write)
        if is_idle and now - self._last_active_at > self.server.limits.idle_timeout:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Suspend reading and starting requests until the write buffer has drained."""
        self._can_write = False
        self._update_reading()
        self.server.check_unread_responses(self)

    def resume_writing(self) -> None:
        """Resume with the next pending request."""
        self._can_write = True
        self.server.response_memory.release(self)
        self._start_next()
        self._update_memory()

    def _reject(self, reason: str) -> None:
        self._rejection = reason
        if not self.exchange and not self._pipeline:
            self._write_rejection()

    def _write_rejection(self) -> None:
        reply = self.server.on_refused_request(self._rejection)
        self.transport.write(response_bytes(*reply, is_last=True))
        self.transport.close()
