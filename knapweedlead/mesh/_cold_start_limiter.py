"""Rate limit for calls to a cold backend server."""

from collections import deque
from typing import ClassVar

from knapweedlead.parameters import Constraint, Interval, check_parameters

WINDOW = 1.1
"""Length of the sliding window in seconds: the one second for which the limit must
hold, and the transit time to the server."""


class ColdStartLimiter:
    """Limits the rate of calls, counted over a sliding window.

    Protects a server that has just started, or that has become cold while it was
    running: such a server sustains a low rate and crashes well above it.

    Parameters
    ----------
    share : float
        Fraction of the sustainable rate that is used.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "share": Interval(float, 0.1, 1.5)
    }

    def __init__(self, share: float = 1.0) -> None:
        self.share = share
        check_parameters(self)
        self._started_at: deque[float] = deque()

    def record_start(self, now: float) -> None:
        """Count a call sent to the server; also required while the server is warm."""
        started_at = self._started_at
        started_at.append(now)
        while started_at[0] <= now - WINDOW:
            started_at.popleft()

    def started_within(self, seconds: float, now: float) -> int:
        """Return the number of calls sent in the last `seconds`, at most `WINDOW`."""
        return sum(now - at < seconds for at in self._started_at)

    def has_capacity(self, rate: float, now: float) -> bool:
        """Return whether one more call is allowed at a rate in calls per second."""
        started_at = self._started_at
        while started_at and started_at[0] <= now - WINDOW:
            started_at.popleft()
        return len(started_at) + 1 <= rate * self.share
