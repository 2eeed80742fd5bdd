"""Carries admitted calls to the own backend server."""

from collections.abc import Callable

from knapweedlead.http import BackendServerClient, HttpAnswer
from knapweedlead.mesh import Failure, Guard, Reason, ServerAnswer, Ticket
from knapweedlead.platform import (
    REQUEST_ID,
    is_declined,
    is_misdirected,
    is_sealed,
    server_request,
)

TIMEOUT_MARGIN = 0.2
"""Seconds beyond a call's deadline in which the server may still answer itself."""
MAX_CONNECTIONS = 2048

_FIRST_FAILURE_STATUS = 300


class ServerRunner:
    """Runs tickets and reports to the guard how they ended.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the backend server.
    clock : callable
        Returns the present time.
    """

    def __init__(self, address: str, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.guard: Guard = None  # type: ignore[assignment]
        self.client = BackendServerClient(
            address,
            MAX_CONNECTIONS,
            self._answered,
            self._failed,
            echo_header=REQUEST_ID,
            accepts_unframed=True,
        )
        self._ticket_by_run: dict[int, Ticket] = {}

    def run(self, ticket: Ticket, instance: str, remaining: float) -> None:
        """Send a call."""
        self._ticket_by_run[ticket.run] = ticket
        data = server_request(
            ticket.head, ticket.body, ticket.account, instance, remaining
        )
        timeout = remaining + TIMEOUT_MARGIN
        self.client.send(
            ticket.run, data, ticket.is_head_method, timeout, ticket.request_id
        )

    def cancel(self, ticket: Ticket) -> None:
        """Drop the connection of a call."""
        self.client.cancel(ticket.run)

    def _answered(self, run: int, answer: HttpAnswer) -> None:
        ticket = self._ticket_by_run.pop(run)
        now = self.clock()
        status = answer.status
        if is_misdirected(status):
            self.guard.misdirected(ticket, now)
        elif is_declined(answer.headers):
            self.guard.rejected(ticket, _retry_after(answer.headers), now)
        elif is_whole(answer):
            whole = ServerAnswer(status, answer.headers, answer.body)
            self.guard.answered(ticket, whole, now)
        else:
            failure = Failure(Reason.BROKEN_ANSWER, True, True)
            self.guard.failed(ticket, failure, now)

    def _failed(self, run: int, was_sent: bool, detail: str) -> None:
        ticket = self._ticket_by_run.pop(run)
        now = self.clock()
        if detail == "timeout":
            failure = Failure(Reason.DEADLINE, True, True)
        elif ticket.is_cancelled:
            failure = Failure(Reason.CANCELLED, was_sent, was_sent)
        elif was_sent:
            failure = Failure(Reason.FAILED, True, True)
        else:
            failure = Failure(Reason.UNREACHABLE, False)
        self.guard.failed(ticket, failure, now)


def is_whole(answer: HttpAnswer) -> bool:
    """Return whether an answer may be passed on as the backend server's own."""
    if "content-encoding" in answer.headers:
        return False
    return is_sealed(answer.headers) or answer.status >= _FIRST_FAILURE_STATUS


def _retry_after(headers: dict[str, str]) -> float:
    try:
        return max(0.0, float(headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
