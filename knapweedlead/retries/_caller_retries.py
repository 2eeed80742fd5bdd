"""Credits of requests that callers retry themselves."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import ClassVar

from knapweedlead.parameters import Constraint, Interval, check_parameters


class CallerRetryCredits:
    """Tracks the credits left by failed requests, for retries by their callers.

    A retry by the caller continues with the credits that the failed request left,
    minus one for the retry itself. Covers only requests received by the local
    daemon, within the window.

    Parameters
    ----------
    window_s : float
        Seconds after the first failure within which a retry is recognised.
    capacity : int
        Failed requests tracked; the least recently failed are evicted first.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "window_s": Interval(float, 0.0, 3600.0, "s"),
        "capacity": Interval(int, 1, 1_000_000, "requests"),
    }

    def __init__(self, window_s: float = 10.0, capacity: int = 4096) -> None:
        self.window_s = window_s
        self.capacity = capacity
        check_parameters(self)
        self._failure_by_key: OrderedDict[Hashable, tuple[float, int]] = OrderedDict()

    def credits_for(self, key: Hashable, initial: int, now: float) -> int | None:
        """Return the credits of a request, or None if its retries are exhausted.

        Parameters
        ----------
        key : hashable
            Identifies the request; equal for its retries.
        initial : int
            Credits of a request that is not a retry.
        now : float
            Seconds, monotonic.
        """
        failure = self._failure_by_key.get(key)
        if failure is None or failure[0] <= now:
            return initial
        left = failure[1] - 1
        return left if left >= 0 else None

    def record_failure(self, key: Hashable, left: int, now: float) -> None:
        """Record a failed request that may have run.

        The window starts with the first failure; further failures do not
        extend the window.

        Parameters
        ----------
        key : hashable
            Identifies the request.
        left : int
            Credits that the request left unused.
        now : float
            Seconds, monotonic.
        """
        failure = self._failure_by_key.pop(key, None)
        is_known = failure is not None and failure[0] > now
        expires_at = failure[0] if is_known and failure else now + self.window_s
        self._failure_by_key[key] = (expires_at, left)
        while len(self._failure_by_key) > self.capacity:
            self._failure_by_key.popitem(last=False)

    def record_success(self, key: Hashable) -> None:
        """Discard the record of a request that was answered."""
        self._failure_by_key.pop(key, None)
