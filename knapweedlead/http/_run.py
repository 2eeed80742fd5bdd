"""One connection to a backend server, which processes one run at a time."""

import asyncio
import re
from typing import TYPE_CHECKING

import httptools

from knapweedlead.checks import FIRST_FINAL_STATUS, FIRST_INTERIM_STATUS, LAST_STATUS
from knapweedlead.http._answers import (
    HttpAnswer,
    announces_body,
    is_close_delimited,
    keep_alive_timeout,
)
from knapweedlead.http._body import BodyBuffer
from knapweedlead.http._headers import (
    HEADER_OBJECT_BYTES,
    HeaderCollector,
    has_plain_transfer,
)
from knapweedlead.http._steps import PART_BYTES, SteppedProtocol

if TYPE_CHECKING:
    from knapweedlead.http._client import BackendServerClient

MAX_ANSWER_BYTES = 6 * 1024 * 1024
"""Size limit of an answer with its headers, unless the client has its own; the answer
must fit into a message on a link."""
MAX_HEAD_BYTES = 64 * 1024
"""Size limit of all bytes up to the end of the headers, with interim responses, and of
the bytes after that which add nothing to the body, such as trailers."""
MAX_DISCARDED_ANSWERS = 8
"""Answers with another request ID that are discarded during one run."""

CONNECTION_LOST = "connection lost"
"""Cause of a failure if the server closed the connection before its answer."""
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?: [^\r\n]*)?$")
"""Status line at the end of a line that began as something else."""


class RunProtocol(SteppedProtocol):
    """Sends a request and parses its answer.

    The body of an answer without a length is delimited by the end of the connection.
    Such an answer is complete if the client accepts close-delimited answers and the
    server closed the connection in an orderly way; otherwise it counts as truncated.

    If a run has a request ID, answers with a different ID are discarded: they are
    late answers to earlier requests on the connection. An answer without an ID could be
    one too, unless the run is the first one of the connection. Such an answer fails its
    run, and a connection whose server names no ID serves one run only.

    A faulty server may send the beginning of another answer before the answer to the
    run. The status line of the answer then ends up in the reason or in a header of the
    other one, whose status and headers say nothing about the run. Such a run fails, as
    does one whose answer has a status that HTTP does not define (RFC 9110, section 15).

    Parameters
    ----------
    client : BackendServerClient
        Pool that the connection belongs to.

    Attributes
    ----------
    is_closed : bool
        Whether the connection can accept no further run.
    idle_since : float
        Event loop time at which the last run ended, in seconds.
    idle_timeout : float
        Seconds for which the server keeps an idle connection open; 0 if unknown.
    """

    __slots__ = (
        "_body",
        "_detail",
        "_discarded",
        "_fault",
        "_fields",
        "_has_extra_bytes",
        "_has_final_head",
        "_has_progressed",
        "_has_served",
        "_headers",
        "_is_close_delimited",
        "_is_complete",
        "_is_head",
        "_is_input_held",
        "_is_late",
        "_is_paused",
        "_keeps_alive",
        "_reason",
        "_received_headers",
        "_request_id",
        "_size",
        "_size_beside_body",
        "_status",
        "_timer",
        "client",
        "idle_since",
        "idle_timeout",
        "is_closed",
        "parser",
        "run",
        "transport",
    )

    def __init__(self, client: "BackendServerClient") -> None:
        super().__init__()
        self.client = client
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.parser = httptools.HttpResponseParser(self)
        self.is_closed = False
        self.idle_since = 0.0
        self.idle_timeout = 0.0
        self.run = 0
        self._request_id = ""
        self._has_served = False
        self._is_head = False
        self._discarded = 0
        self._is_paused = False
        self._is_input_held = False
        self._has_progressed = False
        self._received_headers = 0
        self._detail = CONNECTION_LOST
        self._timer: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self._fields = HeaderCollector()
        self._headers: dict[str, str] = {}
        self._body = BodyBuffer()
        self._size = 0
        self._size_beside_body = 0
        self._status = 0
        self._has_final_head = False
        self._is_late = False
        self._keeps_alive = True
        self._is_complete = False
        self._is_close_delimited = False
        self._has_extra_bytes = False
        self._fault = ""
        self._reason = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]

    def start(
        self, run: int, is_head: bool, data: bytes, timeout: float, request_id: str = ""
    ) -> None:
        """Start a run by writing its request.

        Parameters
        ----------
        run : int
            Identifier of the run.
        is_head : bool
            Whether the method is HEAD, so that the answer has no body.
        data : bytes
            Encoded request.
        timeout : float
            Seconds after which the run fails.
        request_id : str
            Request ID; answers with a different request ID are discarded. Empty to
            accept any answer.
        """
        self._reset()
        self.run = run
        self._request_id = request_id
        self._is_head = is_head
        self._discarded = 0
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout, self.abort, "timeout")
        self.transport.write(data)

    def abort(self, detail: str) -> None:
        """Close the connection, which fails its run."""
        self.is_closed = True
        self._drop_input()
        self._detail = detail
        self._release()
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse input, and finish the run when its answer is complete.

        Reading is paused while the rest of the input waits for a later step of the
        event loop.
        """
        if self._unparsed:
            self._parse_rest()
        if not self.run:
            self.abort("bytes without a request")
            return
        self._size += len(data)
        if self._size > self.client.max_answer_bytes:
            self.abort("answer too large")
            return
        self._is_input_held = len(data) > PART_BYTES
        if self._is_input_held:
            self.client.budget.hold(self, len(data))
        self._receive(data)

    def _end_step(self) -> None:
        if self._unparsed and not self._is_paused:
            self._is_paused = True
            self.transport.pause_reading()
        elif not self._unparsed and self._is_paused and not self.is_closed:
            self._is_paused = False
            self.transport.resume_reading()

    def _parse_part(self, data: bytes | memoryview) -> None:
        """Parse a part of the input; finish or fail the run if it decides that."""
        self._has_progressed = False
        self._received_headers = 0
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_complete:
                self.abort("malformed answer")
                return
            self._has_extra_bytes = True
        if self._fault:
            self.abort(self._fault)
        elif self._is_complete:
            if self._unparsed:
                self._has_extra_bytes = True
                self._drop_input()
            self._finish_run()
        else:
            self._check_limits(len(data))

    def _check_limits(self, received: int) -> None:
        """Fail a run if its answer, or all unfinished answers, take too much."""
        budget = self.client.budget
        held = self._received_headers * HEADER_OBJECT_BYTES
        budget.hold(self, held if self._is_input_held else held + received)
        if not self._has_progressed:
            self._size_beside_body += received
        if self._size_beside_body > MAX_HEAD_BYTES:
            self.abort("answer head or framing too large")
        elif self._discarded > MAX_DISCARDED_ANSWERS:
            self.abort("too many answers to other requests")
        elif budget.is_exceeded:
            budget.largest().abort("answers too large in total")

    def on_message_begin(self) -> None:
        """Record whether another message follows the complete answer."""
        self._events += 1
        self._reason = bytearray()
        if self._is_complete:
            self._has_extra_bytes = True

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason in the status line."""
        self._reason.extend(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, unless it is a trailer or follows the answer."""
        self._events += 1
        if not self._has_final_head and not self._is_complete:
            if b"HTTP/" in value:
                self._check_joined(value)
            self._fields.add(name, value)
            self._received_headers += 1

    def _check_joined(self, text: bytes | bytearray) -> None:
        """Fail the run if a reason or a header ends in the status line of an answer."""
        if _STATUS_LINE.search(text):
            self._fault = "answer joined with another one"

    def on_headers_complete(self) -> None:
        """Read the status; skip interim responses, and complete the answer to HEAD."""
        status = self.parser.get_status_code()
        if self._is_complete:
            return
        if b"HTTP/" in self._reason:
            self._check_joined(self._reason)
        self._headers = self._fields.take()
        if FIRST_INTERIM_STATUS <= status < FIRST_FINAL_STATUS:
            if announces_body(self._headers):
                self._fault = "interim response with a body"
            return
        self._status = status
        self._has_final_head = True
        self._is_late = self._answers_other_request()
        if not self._is_late:
            self._check_head()
        self._is_close_delimited = (
            is_close_delimited(status, self._headers) and not self._is_head
        )
        self._keeps_alive = self.parser.should_keep_alive()
        if self._is_head and not self._is_late:
            self._keeps_alive = False
            self._is_complete = True

    def _check_head(self) -> None:
        """Fail the run if its answer cannot be passed on as it is."""
        if not FIRST_FINAL_STATUS <= self._status <= LAST_STATUS:
            self._fault = "undefined status"
        elif not self._is_head and not has_plain_transfer(self._headers):
            self._fault = "unsupported transfer coding"

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._events += 1
        self._has_progressed = True
        if not self._is_complete:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the final answer as complete.

        An answer with a different request ID is discarded instead.
        """
        if self._is_late:
            self.client.discarded_answers += 1
            self._discarded += 1
            self._has_progressed = True
            self._release()
            self._reset()
            self._size = len(self._unparsed)
            self.client.budget.hold(self, self._size)
        elif self._has_final_head:
            self._is_complete = True

    def _answers_other_request(self) -> bool:
        return self._names_request() and (
            self._headers[self.client.request_id_header] != self._request_id
        )

    def _names_request(self) -> bool:
        """Return whether the answer to a run with a request ID has a request ID."""
        return bool(self._request_id) and self.client.request_id_header in self._headers

    @property
    def _is_unattributable(self) -> bool:
        """Whether the answer may belong to an earlier run of the connection."""
        return bool(self._request_id) and self._has_served and not self._names_request()

    def eof_received(self) -> None:
        """Complete an answer that is delimited by the end of the connection."""
        accepts_end = self._is_close_delimited and self.client.accepts_close_delimited
        if (
            self.run
            and accepts_end
            and not self._is_complete
            and not self._answers_other_request()
        ):
            self._is_complete = True
            self._keeps_alive = False
            self._finish_run()

    def _finish_run(self) -> None:
        if self._is_unattributable:
            self.client.discarded_answers += 1
            self.abort("answer without a request ID")
            return
        run, self.run = self.run, 0
        if self._request_id and not self._names_request():
            self._keeps_alive = False
        self._has_served = True
        self._cancel_timer()
        self.idle_timeout = keep_alive_timeout(self._headers)
        answer = HttpAnswer(self._status, self._headers, self._body.take())
        self._release()
        if self._has_extra_bytes or not self._keeps_alive:
            self.abort("closed")
        self.idle_since = asyncio.get_running_loop().time()
        self.client.run_finished(self, run, answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the run in progress, if any."""
        self.is_closed = True
        self._drop_input()
        self._cancel_timer()
        self._release()
        run, self.run = self.run, 0
        self.client.connection_closed(self, run, self._detail)

    def _release(self) -> None:
        """Give up the memory of the answer."""
        self._fields = HeaderCollector()
        self._headers = {}
        self._body = BodyBuffer()
        self.client.budget.release(self)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
