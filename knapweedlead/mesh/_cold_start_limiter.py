"""Bound on the calls that a cold backend server receives."""

from collections import deque
from typing import ClassVar

from knapweedlead.parameters import Constraint, Interval, check_parameters

WINDOW = 1.1
"""Seconds: the second over which the bound holds, and the way to the server."""


class ColdStartLimiter:
    """Lets a number of calls a second through, counted over a sliding window.

    Answers the load of a server that has just started, or that turned cold while
    it was running: it bears a small rate and crashes well above it.

    Parameters
    ----------
    share : float
        Part of the rate that the server bears which is used.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "share": Interval(float, 0.1, 1.5)
    }

    def __init__(self, share: float = 1.0) -> None:
        self.share = share
        check_parameters(self)
        self._started_at: deque[float] = deque()

    def record_start(self, now: float) -> None:
        """Count a call that was passed to the server, cold or not."""
        started_at = self._started_at
        started_at.append(now)
        while started_at[0] <= now - WINDOW:
            started_at.popleft()

    def has_capacity(self, rate: float, now: float) -> bool:
        """Return whether one more call fits under a rate in calls a second."""
        started_at = self._started_at
        while started_at and started_at[0] <= now - WINDOW:
            started_at.popleft()
        return len(started_at) + 1 <= rate * self.share

    def capacity_at(self, now: float) -> float:
        """Return the time at which the oldest call leaves the window."""
        return self._started_at[0] + WINDOW if self._started_at else now
