"""One connection of a caller; requests are answered one after another."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import attrs
import httptools

from knapweedlead.http._headers import add_header, response_bytes

if TYPE_CHECKING:
    from knapweedlead.http._server import CallerServer

MAX_PIPELINED = 16
"""Whole requests that wait on a connection before reading stops."""

_MAX_FRAMING_FACTOR = 2
"""Bytes of a chunked body, with its framing, relative to the body alone."""


@attrs.frozen
class HttpLimits:
    """Bounds on what a caller may send.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Sizes.
    request_time : float
        Seconds from the first byte of a request to its last.
    idle_time : float
        Seconds that a connection may stay without a request, or with unread
        answers.
    """

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    request_time: float = 30.0
    idle_time: float = 75.0


ParsedRequest = tuple[str, str, dict[str, str], bytes]
"""Method, path, headers and body."""


class CallerProtocol(asyncio.Protocol):
    """Parses requests, begins one at a time, and writes replies in their order.

    Parameters
    ----------
    server : CallerServer
        Server that accepted the connection.

    Attributes
    ----------
    exchange : int
        Exchange under way; 0 where there is none.
    """

    def __init__(self, server: "CallerServer") -> None:
        self.server = server
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.parser = httptools.HttpRequestParser(self)
        self.exchange = 0
        self._waiting: deque[tuple[ParsedRequest, bool]] = deque()
        self._is_head_method = False
        self._is_last = False
        self._is_stopping = False
        self._can_write = True
        self._is_reading = True
        self._refusal = ""
        self._fault = ""
        self._active_at = 0.0
        self._request_began_at = 0.0
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._framed_size = 0
        self._is_in_head = True
        self._is_kept = True
        self._max_header_bytes = self.server.limits.max_header_bytes

    @property
    def peer(self) -> str:
        """Address of the caller; costs a system call."""
        peer = self.transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else "-"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it where there are too many."""
        self.transport = transport  # type: ignore[assignment]
        self._active_at = asyncio.get_running_loop().time()
        if not self.server.add(self):
            self._refuse("overloaded")

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the exchange under way as abandoned."""
        self.server.remove(self)
        self._waiting.clear()
        if self.exchange:
            self.server.lost(self.exchange)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a fault is refused after the replies still due."""
        if self._refusal:
            return
        if not self._request_began_at:
            self._request_began_at = asyncio.get_running_loop().time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._go_on_without_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._refuse(self._fault or "malformed_request")
        else:
            self._check_framing(len(data))

    def _go_on_without_upgrade(self, rest: bytes) -> None:
        """Serve the request over HTTP/1.1, as a server may."""
        self.parser = httptools.HttpRequestParser(self)
        if rest:
            self.data_received(rest)

    def _check_framing(self, received: int) -> None:
        """Bound what the parser takes in without handing it on."""
        self._framed_size += received
        limits = self.server.limits
        limit = limits.max_header_bytes
        if not self._is_in_head:
            limit = _MAX_FRAMING_FACTOR * limits.max_body_bytes
        if self._framed_size > limit + received:
            self._refuse("request_too_large")

    def on_message_begin(self) -> None:
        """Forget the request before."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request's target."""
        self._url += url
        self._check_size(len(url), self.server.limits.max_header_bytes)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        self._size += len(name) + len(value)
        if self._size > self._max_header_bytes:
            self._fault = "request_too_large"
            raise ValueError("request too large")
        if self._is_in_head:
            add_header(self._headers, name, value)

    def on_headers_complete(self) -> None:
        """Decide on keeping the connection, and on going on with the body."""
        self._size = 0
        self._framed_size = 0
        self._is_in_head = False
        self._is_kept = self.parser.should_keep_alive()
        is_awaited = self._headers.get("expect", "").lower() == "100-continue"
        if is_awaited and not self.exchange:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._check_size(len(body), self.server.limits.max_body_bytes)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Begin the whole request, or let it wait for the reply before it."""
        method = self.parser.get_method().decode("latin-1")
        path = self._url.decode("latin-1")
        request = (method, path, self._headers, b"".join(self._body))
        self._waiting.append((request, self._is_kept))
        self._is_in_head = True
        self._framed_size = 0
        self._request_began_at = 0.0
        self._begin_next()

    def _check_size(self, added: int, limit: int) -> None:
        self._size += added
        if self._size > limit:
            self._fault = "request_too_large"
            raise ValueError("request too large")

    def _begin_next(self) -> None:
        self._pace_reading()
        if self.exchange or not self._waiting or not self._can_write:
            return
        request, is_kept = self._waiting.popleft()
        self._is_last = not is_kept
        self._is_head_method = request[0] == "HEAD"
        self.server.begin(self, request)

    def _pace_reading(self) -> None:
        should_read = len(self._waiting) < MAX_PIPELINED and self._can_write
        if should_read == self._is_reading or self.transport.is_closing():
            return
        self._is_reading = should_read
        if should_read:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def reply(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write the reply of the exchange under way."""
        self.exchange = 0
        self._active_at = asyncio.get_running_loop().time()
        has_more = self._waiting or self._refusal
        is_leaving = self._is_stopping or self.server.is_leaving
        is_last = self._is_last or (is_leaving and not has_more)
        self.transport.write(
            response_bytes(status, headers, body, is_last, self._is_head_method)
        )
        if is_last:
            self.transport.close()
        elif self._waiting:
            self._begin_next()
        elif self._refusal:
            self._write_refusal()

    def close_when_idle(self) -> None:
        """Close after the replies that are due."""
        self._is_stopping = True
        if not (self.exchange or self._waiting or self._request_began_at):
            self.transport.close()

    def check_timeouts(self, now: float) -> None:
        """Refuse a request that stalls, and close a connection that idles."""
        began_at = self._request_began_at
        if (
            began_at
            and now - began_at > self.server.limits.request_time
            and not self._refusal
        ):
            self._refuse("malformed_request")
        is_idle = not self.exchange and not (self._waiting and self._can_write)
        if is_idle and now - self._active_at > self.server.limits.idle_time:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Begin and read nothing while the caller does not read."""
        self._can_write = False
        self._pace_reading()

    def resume_writing(self) -> None:
        """Go on."""
        self._can_write = True
        self._begin_next()

    def _refuse(self, reason: str) -> None:
        self._refusal = reason
        if not self.exchange and not self._waiting:
            self._write_refusal()

    def _write_refusal(self) -> None:
        reply = self.server.on_bad_input(self._refusal)
        self.transport.write(response_bytes(*reply, is_last=True))
        self.transport.close()
