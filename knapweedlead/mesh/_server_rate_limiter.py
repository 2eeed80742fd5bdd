"""Spacing of the calls to a backend server that limits its rate."""

import math
from typing import ClassVar

from knapweedlead.parameters import Constraint, Interval, check_parameters

_ROUNDING = 1e-9


class ServerRateLimiter:
    """Token bucket for the calls to one backend server.

    The server states the rate at which it accepts calls from all callers together. Only
    the daemon beside it sends calls to it, so that the rate needs no agreement.

    Parameters
    ----------
    burst_time : float
        Seconds of the rate that may accumulate while no call is sent.
    min_rate : float
        Calls per second that are sent at any limit. Without them, the daemon would not
        learn that a limit of zero has ended.

    Attributes
    ----------
    rate : float
        Calls per second; infinite for no limit.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "burst_time": Interval(float, 0.0, 1.0),
        "min_rate": Interval(float, 0.01, 1.0),
    }

    def __init__(self, burst_time: float = 0.25, min_rate: float = 0.5) -> None:
        self.burst_time = burst_time
        self.min_rate = min_rate
        check_parameters(self)
        self.rate = math.inf
        self._tokens = 0.0
        self._refilled_at = -math.inf

    def set_rate(self, rate: float, now: float) -> None:
        """Set the rate in calls per second; a limit begins with no tokens."""
        if self.rate < math.inf:
            self._refill(now)
        else:
            self._tokens = 0.0
            self._refilled_at = now
        self.rate = max(self.min_rate, rate)

    def has_capacity(self, now: float) -> bool:
        """Return whether a call may be sent."""
        if self.rate == math.inf:
            return True
        self._refill(now)
        return self._tokens >= 1.0 - _ROUNDING

    def record_start(self, now: float) -> None:
        """Count a call sent to the server."""
        if self.rate < math.inf:
            self._refill(now)
            self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        capacity = max(1.0, self.rate * self.burst_time)
        earned = (now - self._refilled_at) * self.rate
        self._tokens = min(capacity, self._tokens + earned)
        self._refilled_at = now
