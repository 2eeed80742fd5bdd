"""Sends admitted calls to the local backend server."""

from collections.abc import Callable

from knapweedlead.http import REFUSED, BackendServerClient, HttpAnswer
from knapweedlead.mesh import Failure, Guard, Reason, ServerAnswer, Ticket
from knapweedlead.platform import (
    REQUEST_ID,
    decode_server_notice,
    is_declined,
    is_misdirected,
    is_sealed,
    server_request,
)

TIMEOUT_MARGIN = 0.2
"""Seconds after a call's deadline for which the server's answer is still awaited."""
MAX_CONNECTIONS = 2048

_FIRST_FAILURE_STATUS = 300


class ServerRunner:
    """Runs tickets on the backend server and reports their outcomes to the guard.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the backend server.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(self, address: str, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.guard: Guard = None  # type: ignore[assignment]
        self.client = BackendServerClient(
            address,
            MAX_CONNECTIONS,
            self._on_answer,
            self._on_failure,
            request_id_header=REQUEST_ID,
            accepts_close_delimited=True,
            on_disconnected=self._on_disconnected,
        )
        self._ticket_by_run: dict[int, Ticket] = {}

    def run(self, ticket: Ticket, instance: str, remaining: float) -> None:
        """Send a call, addressed to the start `instance` of the backend server."""
        self._ticket_by_run[ticket.run] = ticket
        data = server_request(
            ticket.head, ticket.body, ticket.account, instance, remaining
        )
        timeout = remaining + TIMEOUT_MARGIN
        self.client.send(
            ticket.run, data, ticket.is_head_method, timeout, ticket.request_id
        )

    def cancel(self, ticket: Ticket) -> None:
        """Close the connection on which a call runs."""
        self.client.cancel(ticket.run)

    def _on_answer(self, run: int, answer: HttpAnswer) -> None:
        ticket = self._ticket_by_run.pop(run)
        try:
            self._report_answer(ticket, answer)
        except Exception as error:
            self.guard.handle_fault(ticket, error)

    def _report_answer(self, ticket: Ticket, answer: HttpAnswer) -> None:
        now = self.clock()
        status = answer.status
        notice = decode_server_notice(answer.headers)
        if is_misdirected(status):
            self.guard.misdirected(ticket, now)
        elif is_declined(answer.headers):
            self.guard.rejected(ticket, _retry_after(answer.headers), now, notice)
        elif is_forwardable(answer):
            server_answer = ServerAnswer(status, answer.headers, answer.body)
            self.guard.answered(ticket, server_answer, now, notice)
        else:
            failure = Failure(Reason.BROKEN_ANSWER, True, True)
            self.guard.failed(ticket, failure, now)

    def _on_failure(self, run: int, was_sent: bool, detail: str) -> None:
        ticket = self._ticket_by_run.pop(run)
        try:
            self._report_failure(ticket, was_sent, detail)
        except Exception as error:
            self.guard.handle_fault(ticket, error)

    def _on_disconnected(self) -> None:
        """Check whether the server has ended if runs were lost with its connections."""
        if self.guard.has_lost_runs:
            self.client.check_listening(self._on_refused)

    def _on_refused(self) -> None:
        self.guard.record_refused_connection(self.clock())

    def _report_failure(self, ticket: Ticket, was_sent: bool, detail: str) -> None:
        now = self.clock()
        if detail == "timeout":
            failure = Failure(Reason.DEADLINE, True, True)
        elif ticket.is_cancelled:
            failure = Failure(Reason.CANCELLED, was_sent, was_sent)
        elif was_sent:
            failure = Failure(Reason.FAILED, True, True)
        else:
            failure = Failure(Reason.UNREACHABLE, False)
            if detail == REFUSED:
                self._on_refused()
        self.guard.failed(ticket, failure, now)


def is_forwardable(answer: HttpAnswer) -> bool:
    """Return whether an answer comes from the backend server and may be forwarded.

    An answer with a status below 300 must carry the backend server's seal. An answer
    with a content encoding is never forwarded.
    """
    if "content-encoding" in answer.headers:
        return False
    return is_sealed(answer.headers) or answer.status >= _FIRST_FAILURE_STATUS


def _retry_after(headers: dict[str, str]) -> float:
    try:
        return max(0.0, float(headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
