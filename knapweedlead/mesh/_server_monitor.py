"""Availability of the local backend server, from its heartbeats and answers."""

import math

from knapweedlead.mesh._calls import Reason
from knapweedlead.mesh._reports import BackendServer, ServerReport
from knapweedlead.mesh._server_notices import ServerNotice

SERVICE_TIME_SMOOTHING = 0.05
"""Weight of the newest call in the mean service time, which covers about 20 calls."""
INITIAL_SERVICE_TIME = 0.05
"""Seconds assumed until the first call has ended."""
FAILURE_SMOOTHING = 0.06
"""Weight of the newest call in the share of failed calls."""
UNRESPONSIVE_AFTER = 4.0
"""Seconds without a heartbeat or an answer after which a server counts as unreachable;
more than two heartbeat periods and the second that an acknowledgement may take."""
STALL_TIME = 0.5
STALL_SERVICE_TIMES = 4.0
STALL_CALLS = 3
"""A server with at least `STALL_CALLS` running calls counts as stalled if it has sent
no answer or heartbeat for `STALL_TIME` seconds and for `STALL_SERVICE_TIMES` mean
service times. It receives no calls until its next answer or heartbeat."""
UNPROVEN_LIMIT = 4
"""Calls that run concurrently until the first answer of a server, or the first one to
this daemon, and that are sent without a pause until then. Only an answer tells whether
the server limits its rate or leaves."""
MAX_CLOCK_LEAD = 60.0
"""Seconds by which the start of a server may lie in the future of this machine's clock,
which may have been set back."""
KNOWN_AGE_SHARE = 1.0 / 3.0
"""Age of a server, as a fraction of the heartbeat period, up to which its first
heartbeat at this process shows that no earlier process knew the server: an earlier one
would have acknowledged a heartbeat, after which the next follows a period later."""


class ServerMonitor:
    """State of the backend server, from its heartbeats and its answers.

    Parameters
    ----------
    service : str
        Service to which the backend server must belong.
    heartbeat_period : float
        Seconds between the heartbeats of the server.

    Attributes
    ----------
    server : BackendServer
        The server as last reported.
    service_time : float
        Smoothed mean seconds per call.
    has_service_time : bool
        Whether a call has been answered since the instance appeared.
    failure_share : float
        Smoothed fraction of calls that failed or were rejected.
    rate_limit : float
        Calls per second that the server last stated to accept; infinite for no limit.
    is_history_known : bool
        Whether no earlier process can have sent calls to the present start.
    is_proven : bool
        Whether it is known whether the server limits its rate: by an answer, or since
        its history is known and it follows no start that did.
    states_leaving : bool
        Whether an answer of the server stated that it leaves.
    is_evacuated : bool
        Whether operators have taken the data centre out of service.
    is_stopping : bool
        Whether the daemon is stopping and accepts no new calls.
    is_configured : bool
        Whether a configuration has been received.
    """

    def __init__(self, service: str, heartbeat_period: float) -> None:
        self.service = service
        self.heartbeat_period = heartbeat_period
        self.server = BackendServer()
        self.service_time = INITIAL_SERVICE_TIME
        self.has_service_time = False
        self.failure_share = 0.0
        self.rate_limit = math.inf
        self.is_history_known = False
        self.is_proven = False
        self.states_leaving = False
        self.is_evacuated = False
        self.is_stopping = False
        self.is_configured = False
        self._unreachable_at = -math.inf
        self._readmitted_at = -math.inf
        self._limited_at = -math.inf
        self._answered_at = -math.inf
        self._is_stalled = False
        self._is_implausible = False

    # Observations.

    def apply_report(
        self, report: ServerReport, now: float, age: float = math.inf
    ) -> bool:
        """Apply a heartbeat; return whether it was new.

        A start that is said to lie in the future replaces no server that sends
        heartbeats, and is replaced by any other start: it may be the entry of another
        writer, which would shut out the server for good.

        Parameters
        ----------
        report : ServerReport
        now : float
        age : float
            Seconds since the start of the server; infinite if unknown.
        """
        previous = self.server.report
        is_other_start = previous is not None and previous.start != report.start
        is_implausible = age < -MAX_CLOCK_LEAD
        if is_other_start:
            if is_implausible and now - self.server.reported_at <= UNRESPONSIVE_AFTER:
                return False
            if self._is_implausible and not is_implausible:
                left_at = self.server.left_at_by_instance
                departed = self.server.departed
                self.server = BackendServer(
                    left_at_by_instance=left_at, departed=departed
                )
        if not self.server.apply_report(report, now):
            return False
        if previous is None or is_other_start:
            self._is_implausible = is_implausible
            self.failure_share = 0.0
            self.has_service_time = False
            known_age = KNOWN_AGE_SHARE * self.heartbeat_period
            self.is_history_known = 0.0 <= age < known_age
            self.is_proven = self.is_history_known and self.rate_limit == math.inf
            self.rate_limit = math.inf
            self.states_leaving = False
        self._is_stalled = False
        return True

    def set_evacuated(self, is_evacuated: bool, now: float) -> None:
        """Set whether the data centre is out of service."""
        if self.is_evacuated and not is_evacuated:
            self._readmitted_at = now
        self.is_evacuated = is_evacuated

    def record_answer(self, now: float) -> bool:
        """Record that the server answered; return whether it had been stalled."""
        self._answered_at = now
        was_stalled, self._is_stalled = self._is_stalled, False
        return was_stalled

    def record_notice(self, notice: ServerNotice, sent_at: float, now: float) -> bool:
        """Record what an answer states; return whether it differs from before.

        Answers may arrive out of order. The limit therefore ends only with an answer to
        a call that was sent after the server had stated the limit. A server that has
        stated that it leaves does not return before its next start.

        Parameters
        ----------
        notice : ServerNotice
        sent_at : float
            Time at which the answered call was sent.
        now : float
        """
        is_leaving = notice.is_leaving or self.states_leaving
        was_leaving, self.states_leaving = self.states_leaving, is_leaving
        is_proven = self.is_proven or notice.rate_limit is not None
        was_proven, self.is_proven = self.is_proven, is_proven
        is_limit_changed = self._record_rate_limit(notice.rate_limit, sent_at, now)
        return is_limit_changed or is_leaving != was_leaving or is_proven != was_proven

    def _record_rate_limit(
        self, limit: float | None, sent_at: float, now: float
    ) -> bool:
        """Update the rate limit, unless it is unknown; return whether it changed."""
        if limit is None or limit == self.rate_limit:
            return False
        if limit == math.inf and sent_at <= self._limited_at:
            return False
        if self.rate_limit == math.inf:
            self._limited_at = now
        self.rate_limit = limit
        return True

    def record_unreachable(self, at: float) -> None:
        """Record that no server, or another instance, is at the address."""
        self._unreachable_at = max(self._unreachable_at, at)

    def update_stalled(self, running: int, oldest_start: float, now: float) -> bool:
        """Detect a stalled server; return whether the state changed to stalled.

        Parameters
        ----------
        running : int
            Number of calls running at the server.
        oldest_start : float
            Time at which the oldest of these calls was sent.
        now : float
        """
        if self._is_stalled or running < STALL_CALLS:
            return False
        stall_time = max(STALL_TIME, STALL_SERVICE_TIMES * self.service_time)
        last_sign_at = max(self._answered_at, self.server.reported_at)
        self._is_stalled = now - max(last_sign_at, oldest_start) > stall_time
        return self._is_stalled

    def record_service_time(self, elapsed: float) -> None:
        """Update the mean service time with the duration of a call in seconds."""
        if not self.has_service_time:
            self.has_service_time = True
            self.service_time = elapsed
        self.service_time += SERVICE_TIME_SMOOTHING * (elapsed - self.service_time)

    def record_outcome(self, is_failure: bool) -> None:
        """Update the failure share with the outcome of a call."""
        self.failure_share += FAILURE_SMOOTHING * (is_failure - self.failure_share)

    # Derived state.

    @property
    def is_leaving(self) -> bool:
        """Whether the server drains or leaves, by any source."""
        return self.server.has_left or self.states_leaving

    def closed_reason(self, now: float) -> Reason | None:
        """Return why the backend server accepts no calls; None if it accepts calls."""
        server = self.server
        if self.is_stopping:
            return Reason.DRAINING
        if self.is_evacuated:
            return Reason.OUT_OF_SERVICE
        if server.report is None or not self.is_configured:
            return Reason.NO_BACKEND_SERVER
        if self.is_leaving:
            return Reason.DRAINING
        if server.reported_at <= self._unreachable_at:
            return Reason.UNREACHABLE
        if server.report.service != self.service:
            return Reason.NO_BACKEND_SERVER
        if now - max(server.reported_at, self._answered_at) > UNRESPONSIVE_AFTER:
            return Reason.UNREACHABLE
        return Reason.UNREACHABLE if self._is_stalled else None

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is, or may be, in a cold start.

        After its data centre has returned to service, the server counts as cold until
        its next heartbeat.
        """
        return (
            self.server.is_cold(now) or self.server.reported_at <= self._readmitted_at
        )

    @property
    def limit(self) -> int:
        """Number of calls that the backend server processes concurrently."""
        report = self.server.report
        return 0 if report is None else report.slots

    @property
    def concurrency(self) -> int:
        """Number of calls that may run at the backend server now."""
        return self.limit if self.is_proven else min(self.limit, UNPROVEN_LIMIT)
