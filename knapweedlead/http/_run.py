"""One connection to a backend server, with one run at a time."""

import asyncio
from typing import TYPE_CHECKING

import attrs
import httptools

from knapweedlead.http._headers import add_header

if TYPE_CHECKING:
    from knapweedlead.http._client import BackendServerClient

MAX_ANSWER_BYTES = 6 * 1024 * 1024
"""Size of an answer with its headers, below that of a message on a link."""

_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


@attrs.frozen
class HttpAnswer:
    """A whole answer; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


class RunProtocol(asyncio.Protocol):
    """Writes a request and collects its answer.

    An answer without a length ends with the connection. It is whole where the
    client accepts such answers and the other side closed in order; otherwise it
    counts as cut.

    Where a run names its request, answers that name another one are passed over:
    they are late answers to earlier requests on the connection.

    Parameters
    ----------
    client : BackendServerClient
        Pool that the connection belongs to.

    Attributes
    ----------
    is_lost : bool
        Whether the connection takes no further run.
    idle_since : float
        Time on the loop's clock at which the last run ended, in seconds.
    idle_limit : float
        Seconds for which the other side keeps an idle connection; 0 where it does
        not say.
    """

    def __init__(self, client: "BackendServerClient") -> None:
        self.client = client
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.parser = httptools.HttpResponseParser(self)
        self.is_lost = False
        self.idle_since = 0.0
        self.idle_limit = 0.0
        self.run = 0
        self._echo = ""
        self._is_head = False
        self._detail = "connection lost"
        self._timer: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._status = 0
        self._is_kept = True
        self._is_whole = False
        self._is_unframed = False
        self._has_excess = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]

    def begin(
        self, run: int, is_head: bool, data: bytes, timeout: float, echo: str = ""
    ) -> None:
        """Write the request of a run.

        Parameters
        ----------
        run : int
            Number of the run.
        is_head : bool
            Whether the answer has no body.
        data : bytes
            The whole request.
        timeout : float
            Seconds until the run is given up.
        echo : str
            What the answer's echo header must hold; empty where any answer will do.
        """
        self._reset()
        self.run = run
        self._echo = echo
        self._is_head = is_head
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout, self.abort, "timeout")
        self.transport.write(data)

    def abort(self, detail: str) -> None:
        """Drop the connection and fail its run."""
        self.is_lost = True
        self._detail = detail
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser and end the run once its answer is whole."""
        if not self.run:
            self.abort("bytes without a request")
            return
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self.abort("answer too large")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_whole:
                self.abort("malformed answer")
                return
            self._has_excess = True
        if self._is_whole:
            self._end()

    def on_message_begin(self) -> None:
        """Note bytes beyond the whole answer."""
        if self._is_whole:
            self._has_excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, unless it is a trailer or beyond the answer."""
        if not self._status and not self._is_whole:
            add_header(self._headers, name, value)

    def on_headers_complete(self) -> None:
        """Read the status; an answer to HEAD is whole here."""
        status = self.parser.get_status_code()
        if self._is_whole:
            return
        if status < _FIRST_FINAL_STATUS:
            self._headers = {}
            return
        self._status = status
        self._is_unframed = _is_unframed(status, self._headers) and not self._is_head
        self._is_kept = self.parser.should_keep_alive()
        if self._is_head:
            self._is_kept = False
            self._is_whole = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if not self._is_whole:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the final answer, or pass over one to another request."""
        if self._status and self._is_other():
            self.client.passed_over += 1
            self._reset()
        elif self._status:
            self._is_whole = True

    def _is_other(self) -> bool:
        echoed = self._headers.get(self.client.echo_header)
        return bool(self._echo) and echoed is not None and echoed != self._echo

    def eof_received(self) -> None:
        """End an answer that has no length."""
        can_end = self._is_unframed and self.client.accepts_unframed
        if self.run and can_end and not self._is_whole and not self._is_other():
            self._is_whole = True
            self._is_kept = False
            self._end()

    def _end(self) -> None:
        run, self.run = self.run, 0
        self._cancel_timer()
        self.idle_limit = _idle_limit(self._headers)
        answer = HttpAnswer(self._status, self._headers, b"".join(self._body))
        if self._has_excess or not self._is_kept:
            self.abort("closed")
        self.idle_since = asyncio.get_running_loop().time()
        self.client.finished(self, run, answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the run that has no whole answer."""
        self.is_lost = True
        self._cancel_timer()
        run, self.run = self.run, 0
        self.client.lost(self, run, self._detail)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


def _is_unframed(status: int, headers: dict[str, str]) -> bool:
    has_length = "content-length" in headers or "transfer-encoding" in headers
    return not has_length and status not in _STATUSES_WITHOUT_BODY


def _idle_limit(headers: dict[str, str]) -> float:
    """Return the seconds that a ``Keep-Alive`` header states; 0 for none."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return 0.0
