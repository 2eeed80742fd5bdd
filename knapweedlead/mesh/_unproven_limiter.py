"""Limit of the calls to a backend server before its first answer."""

from typing import ClassVar

from knapweedlead.parameters import Constraint, Interval, check_parameters


class UnprovenLimiter:
    """Limits the calls until an answer tells whether a server limits its rate.

    Only an answer tells. Calls that end without one, because their connections are
    closed or their callers leave, make room for others at a low rate only: the server
    may have stated a limit to an earlier process.

    Parameters
    ----------
    burst : int
        Calls that are sent without a pause.
    rate : float
        Further calls per second.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "burst": Interval(int, 1, 100),
        "rate": Interval(float, 0.01, 100.0),
    }

    def __init__(self, burst: int, rate: float = 1.0) -> None:
        self.burst = burst
        self.rate = rate
        check_parameters(self)
        self._tokens = float(burst)
        self._refilled_at = 0.0

    def reset(self, now: float) -> None:
        """Begin again, for a new start of the server."""
        self._tokens = float(self.burst)
        self._refilled_at = now

    def has_capacity(self, now: float) -> bool:
        """Return whether a call may be sent."""
        self._refill(now)
        return self._tokens >= 1.0

    def record_start(self, now: float) -> None:
        """Count a call sent to the server."""
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * self.rate
        self._tokens = min(self.burst, self._tokens + earned)
        self._refilled_at = now
