"""Credits of requests that callers repeat on their own."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import ClassVar

from knapweedlead.parameters import Constraint, Interval, check_parameters


class RepeatLedger:
    """Remembers the credits left by requests that failed.

    A caller that repeats a failed request goes on with the credits that the
    failed one left, and its repeat costs one. Only this daemon's callers are
    known here, and only for the window.

    Parameters
    ----------
    window_s : float
        Seconds after a failure for which a repeat counts.
    capacity : int
        Failed requests remembered; the oldest go first.
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

    def credits_for(self, key: Hashable, fresh: int, now: float) -> int | None:
        """Return the credits of a request, or None for a repeat too many.

        Parameters
        ----------
        key : hashable
            Names the request, the same for its repeats.
        fresh : int
            Credits of a request that is no repeat.
        now : float
            Seconds, monotonic.
        """
        failure = self._failure_by_key.get(key)
        if failure is None or failure[0] <= now:
            return fresh
        left = failure[1] - 1
        return left if left >= 0 else None

    def note_failure(self, key: Hashable, left: int, now: float) -> None:
        """Remember a request that may have run and failed.

        Parameters
        ----------
        key : hashable
            Names the request.
        left : int
            Credits that the request did not use.
        now : float
            Seconds, monotonic.
        """
        failure = self._failure_by_key.pop(key, None)
        is_known = failure is not None and failure[0] > now
        until = failure[0] if is_known and failure else now + self.window_s
        self._failure_by_key[key] = (until, left)
        while len(self._failure_by_key) > self.capacity:
            self._failure_by_key.popitem(last=False)

    def note_success(self, key: Hashable) -> None:
        """Forget a request that was answered."""
        self._failure_by_key.pop(key, None)
