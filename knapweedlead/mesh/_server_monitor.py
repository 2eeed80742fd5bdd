"""What a guard believes of the backend server beside it, and on what evidence."""

import math

from knapweedlead.mesh._calls import Reason
from knapweedlead.mesh._reports import BackendServer, ServerReport

SERVICE_TIME_SMOOTHING = 0.05
"""Weight of the newest call in the mean service time; about 20 calls of memory."""
INITIAL_SERVICE_TIME = 0.05
"""Seconds assumed before the first call has ended."""
FAILURE_SMOOTHING = 0.06
"""Weight of the newest call in the share of calls that failed."""
UNRESPONSIVE_AFTER = 4.0
"""Seconds without a heartbeat after which a server that answers nothing counts as
gone; over two heartbeats and the second that an acknowledgement may take."""
STALL_TIME = 0.5
STALL_SERVICE_TIMES = 4.0
STALL_CALLS = 3
"""A server with that many calls counts as stalled when it has answered none for this
time and for so many mean service times; it gets no more until it is heard of."""


class ServerMonitor:
    """State of the backend server, from its heartbeats and its answers.

    Parameters
    ----------
    service : str
        Service that the backend server is to belong to.

    Attributes
    ----------
    server : BackendServer
        As last reported.
    service_time : float
        Mean seconds for a call.
    has_timed : bool
        Whether a call of this start has ended.
    failure_share : float
        Part of the recent calls that failed or were rejected.
    is_evacuated : bool
        Whether operators have taken the data centre out.
    is_stopping : bool
        Whether the daemon takes no new calls.
    is_configured : bool
        Whether a configuration is known.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.server = BackendServer()
        self.service_time = INITIAL_SERVICE_TIME
        self.has_service_time = False
        self.failure_share = 0.0
        self.is_evacuated = False
        self.is_stopping = False
        self.is_configured = False
        self._unreachable_at = -math.inf
        self._readmitted_at = -math.inf
        self._answered_at = -math.inf
        self._is_stalled = False

    # Evidence.

    def take_report(self, report: ServerReport, now: float) -> bool:
        """Take a heartbeat; return whether it was new."""
        before = self.server.report
        if not self.server.take(report, now):
            return False
        if before is None or before.instance != report.instance:
            self.failure_share = 0.0
            self.has_service_time = False
        self._is_stalled = False
        return True

    def set_evacuated(self, is_evacuated: bool, now: float) -> None:
        """Note whether the data centre is out."""
        if self.is_evacuated and not is_evacuated:
            self._readmitted_at = now
        self.is_evacuated = is_evacuated

    def record_answer(self, now: float) -> bool:
        """Note that the server answered; return whether it had counted as stalled."""
        self._answered_at = now
        was_stalled, self._is_stalled = self._is_stalled, False
        return was_stalled

    def record_unreachable(self, at: float) -> None:
        """Note that no server, or another start of it, is at the address."""
        self._unreachable_at = max(self._unreachable_at, at)

    def update_stalled(self, running: int, oldest_start: float, now: float) -> bool:
        """Note a server that answers none of its calls; return whether it is news.

        Parameters
        ----------
        running : int
            Calls at the server.
        oldest_start : float
            Time at which the oldest of them was sent.
        now : float
        """
        if self._is_stalled or running < STALL_CALLS:
            return False
        patience = max(STALL_TIME, STALL_SERVICE_TIMES * self.service_time)
        heard_at = max(self._answered_at, self.server.heard_at)
        self._is_stalled = now - max(heard_at, oldest_start) > patience
        return self._is_stalled

    def record_service_time(self, elapsed: float) -> None:
        """Note how long a call took."""
        if not self.has_service_time:
            self.has_service_time = True
            self.service_time = elapsed
        self.service_time += SERVICE_TIME_SMOOTHING * (elapsed - self.service_time)

    def record_outcome(self, is_failure: bool) -> None:
        """Note whether a call failed or was rejected."""
        self.failure_share += FAILURE_SMOOTHING * (is_failure - self.failure_share)

    # Conclusions.

    def closed_reason(self, now: float) -> Reason | None:
        """Return why the backend server takes no calls, or None."""
        server = self.server
        if self.is_stopping:
            return Reason.DRAINING
        if self.is_evacuated:
            return Reason.OUT_OF_SERVICE
        if server.report is None or not self.is_configured:
            return Reason.NO_BACKEND_SERVER
        if server.has_left:
            return Reason.DRAINING
        if server.heard_at <= self._unreachable_at:
            return Reason.UNREACHABLE
        if server.report.service != self.service:
            return Reason.NO_BACKEND_SERVER
        if now - max(server.heard_at, self._answered_at) > UNRESPONSIVE_AFTER:
            return Reason.UNREACHABLE
        return Reason.UNREACHABLE if self._is_stalled else None

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is, or may be, in a cold start.

        After its data centre was taken back it counts as cold until it has
        reported its state.
        """
        return self.server.is_cold(now) or self.server.heard_at <= self._readmitted_at

    @property
    def limit(self) -> int:
        """Calls that the backend server takes at once."""
        report = self.server.report
        return 0 if report is None else report.slots
