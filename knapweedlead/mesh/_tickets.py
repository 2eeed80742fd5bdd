"""Calls at a guard, and the interfaces that the guard depends on."""

import math
from typing import TYPE_CHECKING, Protocol

import attrs

from knapweedlead.mesh._calls import AttemptTimes, Failure, ServerAnswer
from knapweedlead.mesh._server_notices import ServerNotice

if TYPE_CHECKING:
    from knapweedlead.mesh._guard import Guard
    from knapweedlead.mesh._quarantine import Quarantined, ServerEnd


@attrs.define(eq=False)
class Ticket:
    """A call at the guard.

    Parameters
    ----------
    number : int
        Assigned by the entry; unique among the calls of that entry.
    sender : Sender
        Receives the outcome of the call.
    request_id, service, route, account : str
    priority : int
    is_idempotent : bool
    deadline : float
        Time after which the result is no longer needed.
    head, body : bytes
        Request to send to the backend server.
    is_head_method : bool

    Attributes
    ----------
    arrived_at, started_at : float
        Times at which the call arrived at the guard and was sent to the server.
    run : int
        Assigned by the guard.
    server_start : tuple of (str, int)
        Start of the backend server to which the call was sent.
    is_running, is_cancelled : bool
    """

    number: int
    sender: "Sender"
    request_id: str
    service: str
    route: str
    account: str
    priority: int
    is_idempotent: bool
    deadline: float
    head: bytes
    body: bytes
    is_head_method: bool = False
    arrived_at: float = 0.0
    started_at: float = 0.0
    run: int = 0
    server_start: tuple[str, int] = ("", 0)
    is_running: bool = False
    is_cancelled: bool = False

    def times(self, now: float) -> AttemptTimes:
        """Return the queue time and run time of a call that ends now."""
        return AttemptTimes(self.started_at - self.arrived_at, now - self.started_at)


class Sender(Protocol):
    """Receives the outcomes of calls."""

    def answered(self, ticket: Ticket, answer: ServerAnswer) -> None:
        """Receive a complete answer of the backend server."""

    def failed(self, ticket: Ticket, failure: Failure) -> None:
        """Receive the failure of a call without an answer."""


class Runner(Protocol):
    """Sends calls to the backend server and reports their outcomes."""

    def run(self, ticket: Ticket, instance: str, remaining: float) -> None:
        """Send a call and report its outcome to the guard, e.g. by `Guard.answered`."""

    def cancel(self, ticket: Ticket) -> None:
        """Close the connection of a call; `Guard.failed` follows."""


class GuardRecorder(Protocol):
    """Counts and logs the outcomes of calls at a guard."""

    def fault(self, step: str, error: BaseException) -> None:
        """Record an unexpected exception."""

    def attempt_started(self, ticket: Ticket) -> None:
        """Record a call that was sent to the backend server."""

    def server_noticed(
        self, ticket: Ticket, notice: ServerNotice, guard: "Guard"
    ) -> None:
        """Record that an answer changed what is known about the backend server."""

    def server_ended(self, end: "ServerEnd", quarantined: "list[Quarantined]") -> None:
        """Record that the backend server ended, and what is quarantined therefore."""

    def attempt_failed(self, ticket: Ticket, failure: Failure, guard: "Guard") -> None:
        """Record a call that ended without an answer."""

    def attempt_answered(
        self, ticket: Ticket, answer: ServerAnswer, now: float
    ) -> None:
        """Record an answer of the backend server."""


@attrs.frozen
class ServerState:
    """State of a backend server that its guard announces to entries.

    Parameters
    ----------
    instance, service : str
    is_open : bool
        Whether the backend server accepts calls.
    running, queued, limit : int
        Calls at the server, calls in the guard's queue, and calls that the server
        processes concurrently.
    service_time : float
        Smoothed mean seconds per call; 0.0 until the first call has ended.
    is_cold : bool
    failure_share : float
        Smoothed fraction of calls that failed or were rejected.
    rate_limit : float
        Calls per second that the server accepts; infinite for no limit.
    born : int
        Start time of the instance in milliseconds since the epoch; 0 if unknown.
    is_leaving : bool
        Whether this start of the server drains or leaves.
    """

    instance: str = ""
    service: str = ""
    is_open: bool = False
    running: int = 0
    queued: int = 0
    limit: int = 0
    service_time: float = 0.0
    is_cold: bool = False
    failure_share: float = 0.0
    rate_limit: float = math.inf
    born: int = 0
    is_leaving: bool = False

    @property
    def capacity(self) -> float:
        """Calls that may run concurrently without exceeding `limit` or `rate_limit`."""
        if self.rate_limit == math.inf or self.service_time <= 0.0:
            return self.limit
        return min(self.limit, self.rate_limit * self.service_time)
