"""HTTP listeners of the daemon: callers, heartbeats, readiness, metrics."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any, Protocol

from result import Err

from knapweedlead.http import CallerServer, HttpLimits, HttpRequest
from knapweedlead.mesh import Call, Reason, RequestLimits, ServerAnswer, ServerReport
from knapweedlead.platform import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    answer_headers,
    decode_call,
    decode_heartbeat,
)
from knapweedlead.sidecar._recorder import MeshRecorder

REQUEST_MEMORY_SHARE = 0.25
"""Fraction of the process's memory for requests that are not answered yet. A body is
copied up to twice more while it is sent to a peer or to the backend server."""
RESPONSE_MEMORY_SHARE = 0.125
"""Fraction of the process's memory for responses that callers have not read."""
OVERLOADED_RETRY_AFTER = 1.0
"""Seconds after which a caller that was refused for want of memory may return."""

_JSON = {"content-type": "application/json"}
_STATUS_BY_BAD_INPUT = {
    "malformed_request": 400,
    "request_too_large": 413,
    "overloaded": 503,
}


class CallHost(Protocol):
    """Receives the calls of the caller listener."""

    recorder: MeshRecorder

    def handle_call(self, exchange: int, call: Call) -> None:
        """Handle a call; the answer is sent on the same exchange."""

    def handle_disconnect(self, exchange: int) -> None:
        """Abandon the call of a caller that has disconnected."""


class CallerListener:
    """Receives calls over HTTP and delivers their answers.

    Parameters
    ----------
    host : CallHost
    local_service : str
        Service of the local backend server.
    memory : int
        Bytes that the process may use.
    """

    def __init__(self, host: CallHost, local_service: str, memory: int) -> None:
        self.host = host
        self.local_service = local_service
        self.server = CallerServer(
            self._on_request,
            host.handle_disconnect,
            self._on_bad_input,
            max_request_memory=int(REQUEST_MEMORY_SHARE * memory),
            max_response_memory=int(RESPONSE_MEMORY_SHARE * memory),
            on_unread_response=self._on_unread_response,
        )

    def set_limits(self, limits: RequestLimits) -> None:
        """Set the size and time limits of requests."""
        self.server.limits = HttpLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            request_timeout=max(limits.header_timeout, HttpLimits().request_timeout),
            idle_timeout=limits.idle_timeout,
        )

    def _on_request(self, request: HttpRequest) -> None:
        decoded = decode_call(
            request.method,
            request.path,
            request.headers,
            request.body,
            self.local_service,
        )
        if isinstance(decoded, Err):
            self.host.recorder.bad_input("caller", str(decoded.err_value))
            self.refuse(request.exchange, 400, Reason.MALFORMED, 0.0)
        else:
            self.host.handle_call(request.exchange, decoded.ok_value)

    def _on_bad_input(self, reason: str) -> tuple[int, dict[str, str], bytes]:
        self.host.recorder.bad_input("caller", reason)
        headers = {}
        if reason == "overloaded":
            headers["retry-after"] = f"{OVERLOADED_RETRY_AFTER:.3f}"
        return _STATUS_BY_BAD_INPUT[reason], headers, b""

    def _on_unread_response(self, peer: str) -> None:
        self.host.recorder.bad_input("caller", f"unread response to {peer}")

    def answer(self, exchange: Any, answer: ServerAnswer) -> None:
        """Send a backend server's answer to the caller."""
        headers = answer_headers(answer.headers)
        self.server.reply(exchange, answer.status, headers, answer.body)

    def refuse(
        self, exchange: Any, status: int, reason: Reason, retry_after: float
    ) -> None:
        """Send a refusal, or a failure that was produced by the daemon itself."""
        headers = {"content-type": "application/problem+json"}
        if retry_after and status in (429, 503):
            headers["retry-after"] = f"{retry_after:.3f}"
        self.server.reply(exchange, status, headers, _problem(status, reason))


class HeartbeatHost(Protocol):
    """Receives the reports of the local backend server."""

    recorder: MeshRecorder

    def handle_heartbeat(self, report: ServerReport) -> Awaitable[bool] | None:
        """Handle a heartbeat.

        Returns
        -------
        awaitable of bool or None
            Whether the leave that it states is recorded, if it has to be awaited.
        """

    def handle_deregistration(self, instance: str) -> Awaitable[bool] | None:
        """Handle the deregistration of one start of the backend server.

        Returns the same as `handle_heartbeat`.
        """


class HeartbeatListener:
    """Receives heartbeats and deregistrations; the HTTP answer acknowledges them.

    The acknowledgement is written after the frames that tell peers what was received,
    so that a daemon that is killed right after it has told them. A leave is
    acknowledged once it is recorded where it outlives all daemons, and refused with
    status 503 if that takes too long; the server sends it again.
    """

    def __init__(self, host: HeartbeatHost) -> None:
        self.host = host
        self.server = CallerServer(self._on_request, _ignore, self._on_bad_input)
        self._tasks: set[asyncio.Task[None]] = set()

    def _on_request(self, request: HttpRequest) -> None:
        outcome = self._outcome_of(request)
        if isinstance(outcome, int):
            loop = asyncio.get_running_loop()
            loop.call_soon(self._reply, request.exchange, outcome)
        else:
            task = asyncio.ensure_future(self._acknowledge(request.exchange, outcome))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _acknowledge(self, exchange: Any, recorded: Awaitable[bool]) -> None:
        status = 503
        try:
            status = 200 if await recorded else 503
        finally:
            self._reply(exchange, status)

    def _reply(self, exchange: Any, status: int) -> None:
        self.server.reply(exchange, status, _JSON, b"{}")

    def _outcome_of(self, request: HttpRequest) -> int | Awaitable[bool]:
        """Return the status of the answer, or what it depends on."""
        path = request.path.partition("?")[0]
        if request.method == "POST" and path.startswith(HEARTBEAT_PATH):
            instance = path.removeprefix(HEARTBEAT_PATH)
            decoded = decode_heartbeat(instance, request.body)
            if isinstance(decoded, Err):
                self.host.recorder.bad_input("heartbeat", str(decoded.err_value))
                return 400
            return self.host.handle_heartbeat(decoded.ok_value) or 200
        if request.method == "POST" and path.startswith(DEREGISTER_PATH):
            instance = path.removeprefix(DEREGISTER_PATH)
            return self.host.handle_deregistration(instance) or 200
        return 404

    def _on_bad_input(self, reason: str) -> tuple[int, dict[str, str], bytes]:
        self.host.recorder.bad_input("heartbeat", reason)
        return _STATUS_BY_BAD_INPUT[reason], {}, b""


class StatusListener:
    """Answers any request with the status and body that a function returns."""

    def __init__(self, read: Callable[[], tuple[int, bytes]]) -> None:
        self.read = read
        self.server = CallerServer(self._on_request, _ignore, _bad_status_input)

    def _on_request(self, request: HttpRequest) -> None:
        status, body = self.read()
        headers = {"content-type": "text/plain; version=0.0.4"}
        self.server.reply(request.exchange, status, headers, body)


@lru_cache
def _problem(status: int, reason: Reason) -> bytes:
    """Return the body of a problem document."""
    return json.dumps({"type": reason.value, "status": status}).encode()


def _ignore(exchange: int) -> None:
    """Ignore a disconnect: requests are answered at once, so no request is pending."""


def _bad_status_input(reason: str) -> tuple[int, dict[str, str], bytes]:
    return _STATUS_BY_BAD_INPUT[reason], {}, b""
