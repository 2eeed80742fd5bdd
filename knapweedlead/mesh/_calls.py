"""Calls at entries and guards, and their outcomes."""

import enum
from collections.abc import Callable

import attrs


@attrs.define(eq=False)
class Call:
    """A complete, decoded request of a caller.

    Parameters
    ----------
    request_id : str
        Set by the caller; differs between its attempts.
    host, path : str
        Select the route; the path has no query.
    caller_timeout : float
        Seconds for which the caller waits; infinite if the request sets no limit.
    key : str or None
        Key of a client account.
    encode_head : callable
        Returns the request line and headers to forward, without the blank line;
        called only for calls that are sent.
    body : bytes
        The complete body.
    is_head_method : bool
        Whether the method is HEAD, so that the answer has no body.
    """

    request_id: str
    host: str
    path: str
    caller_timeout: float
    key: str | None
    encode_head: Callable[[], bytes]
    body: bytes
    is_head_method: bool = False
    _head: bytes = attrs.field(default=b"", init=False)

    @property
    def head(self) -> bytes:
        """Request line and headers to forward, encoded on first use."""
        if not self._head:
            self._head = self.encode_head()
        return self._head


@attrs.frozen
class ServerAnswer:
    """A complete answer of a backend server; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class AttemptTimes:
    """Time that an attempt spent in the queue and at the server, in seconds.

    Parameters
    ----------
    waited : float
        Time in the guard's queue.
    ran : float
        Time at the backend server.
    """

    waited: float = 0.0
    ran: float = 0.0


class Reason(enum.Enum):
    """Why a call was refused or failed; each value is a counter label."""

    MALFORMED = "malformed_request"
    NO_CONFIGURATION = "configuration_unknown"
    STALE_CONFIGURATION = "configuration_stale"
    INVALID_CONFIGURATION = "configuration_invalid"
    UNKNOWN_ROUTE = "unknown_route"
    INVALID_KEY = "invalid_key"
    RATE_EXCEEDED = "rate_exceeded"
    SHED = "shed"
    OVERLOADED = "overloaded"
    SERVER_RATE_LIMITED = "backend_server_rate_limited"
    QUEUE_TIMEOUT = "queue_timeout"
    COLD = "cold"
    DRAINING = "draining"
    STOPPING = "stopping"
    OUT_OF_SERVICE = "out_of_service"
    NO_BACKEND_SERVER = "no_backend_server"
    UNREACHABLE = "backend_server_unreachable"
    QUARANTINED = "quarantined"
    FAULT = "fault"
    REJECTED = "rejected_by_backend_server"
    FAILED = "backend_server_failed"
    BROKEN_ANSWER = "broken_answer"
    LINK_LOST = "link_lost"
    DEADLINE = "deadline_exceeded"
    CANCELLED = "cancelled"


@attrs.frozen
class Failure:
    """Outcome of an attempt without an answer.

    Parameters
    ----------
    reason : Reason
    may_have_run : bool
        Whether the backend server may have started to process the call.
    was_sent : bool
        Whether the call reached the backend server, which may have rejected it.
    retry_after : float
        Seconds after which another attempt may succeed; 0 if unknown.
    """

    reason: Reason
    may_have_run: bool
    was_sent: bool = False
    retry_after: float = 0.0
