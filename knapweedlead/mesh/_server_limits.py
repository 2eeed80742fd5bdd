"""All limits on the calls that the local backend server receives."""

import math

from knapweedlead.mesh._cold_start_limiter import WINDOW, ColdStartLimiter
from knapweedlead.mesh._reports import ServerReport
from knapweedlead.mesh._server_monitor import UNPROVEN_LIMIT, ServerMonitor
from knapweedlead.mesh._server_rate_limiter import ServerRateLimiter
from knapweedlead.mesh._unproven_limiter import UnprovenLimiter


class ServerLimits:
    """Decides whether one more call may be sent to the backend server.

    Combines its slots, its rate in a cold start, the rate limit that its answers state,
    and the limit on calls before its first answer. An earlier process may have sent
    calls to a server whose history is not known; such a server receives none in its
    cold start during the first window of this process.

    Parameters
    ----------
    monitor : ServerMonitor
    started_at : float
        Start of this process.

    Attributes
    ----------
    cold_rate : float
        Calls per second that the server receives in a cold start.
    """

    def __init__(self, monitor: ServerMonitor, started_at: float) -> None:
        self.monitor = monitor
        self.cold_rate = math.inf
        self._cold_start = ColdStartLimiter()
        self._cold_from = started_at + WINDOW
        self._rate = ServerRateLimiter()
        self._unproven = UnprovenLimiter(UNPROVEN_LIMIT)

    @property
    def is_rate_limited(self) -> bool:
        """Whether the backend server limits the rate at which it accepts calls."""
        return self._rate.rate < math.inf

    @property
    def throughput(self) -> float:
        """Calls per second that the backend server can process now."""
        throughput = self.monitor.concurrency / self.monitor.service_time
        return min(self._rate.rate, throughput)

    def update(self, previous: ServerReport | None, now: float) -> None:
        """Follow the monitor after a report or a notice.

        Parameters
        ----------
        previous : ServerReport or None
            Report that was the latest one before.
        now : float
        """
        report = self.monitor.server.report
        if report is not None and (previous is None or previous.start != report.start):
            self._unproven.reset(now)
        self._rate.set_rate(self.monitor.rate_limit, now)

    def has_capacity(self, running: int, now: float) -> bool:
        """Return whether one more call may be sent beside `running` ones."""
        if running >= self.monitor.concurrency:
            return False
        if not self.monitor.is_proven and not self._unproven.has_capacity(now):
            return False
        if not self._rate.has_capacity(now):
            return False
        return not self.monitor.is_cold(now) or self._has_cold_capacity(now)

    def _has_cold_capacity(self, now: float) -> bool:
        """Return whether a server in a cold start may receive one more call."""
        if now < self._cold_from and not self.monitor.is_history_known:
            return False
        return self._cold_start.has_capacity(self.cold_rate, now)

    def record_start(self, now: float) -> None:
        """Count a call sent to the server."""
        self._cold_start.record_start(now)
        self._rate.record_start(now)
        if not self.monitor.is_proven:
            self._unproven.record_start(now)

    def started_within(self, seconds: float, now: float) -> int:
        """Return the number of calls sent to the server in the last `seconds`.

        Calls are remembered for the window of the cold-start limit.
        """
        return self._cold_start.started_within(seconds, now)
