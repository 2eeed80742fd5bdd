"""A limit that adapts to the latency and failures of a backend server."""

import math
import statistics
from typing import ClassVar

from knapweedlead.admission._calls import Sample
from knapweedlead.admission._limiters import LIMITERS, MAX_SLOTS
from knapweedlead.parameters import Constraint, Interval

MIN_WINDOW_SECONDS = 0.2
"""Least time between two changes of the limit."""

MIN_WINDOW_SAMPLES = 16
"""Least number of samples between two changes of the limit."""

MAX_WINDOW_SAMPLES = 1024
"""Samples kept of a window; later ones are ignored."""

SLOWDOWN_THRESHOLD = 1.3
"""Median slowdown above which two consecutive windows lower the limit."""

SEVERE_SLOWDOWN = 2.0
"""Median slowdown above which one window lowers the limit."""

MAX_FAILURE_SHARE = 0.1
"""Share of failures above which a window lowers the limit."""

MIN_DECREASE_FACTOR = 0.7
"""Factor of the largest decrease by one window."""

MAX_DECREASE_FACTOR = 0.9
"""Factor of a decrease for failures, and of the smallest decrease for slow calls."""

INCREASE_SHARE = 0.1
"""Share of the slots by which one window raises the limit, at least by one call."""

MIN_LIMIT_SHARE = 0.05
"""Share of the slots below which the limit does not fall."""

MIN_UTILISATION = 0.8
"""Share of the limit that must have been in flight before the limit rises."""

TRIAL_LIMIT_FACTOR = 0.75
"""Share of the initial limit at which the effect of a trial decrease is checked."""

TRIAL_SLOWDOWN_FACTOR = 0.9
"""Largest share of the initial slowdown that may remain after an effective trial."""


@LIMITERS.register("adaptive")
class AdaptiveLimiter:
    """Lowers the limit while lower concurrency makes calls faster.

    A slowdown that persists under a lower limit is not caused by concurrency. It
    becomes the new reference, and the former limit is restored.

    Parameters
    ----------
    slots : int
        Calls that the backend server can run concurrently at full capacity.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "slots": Interval(int, 1, MAX_SLOTS, "calls")
    }

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._limit = float(slots)
        self._opened_at: float | None = None
        self._changed_at = -math.inf
        self._slowdowns: list[float] = []
        self._failures = 0
        self._max_in_flight = 0
        self._was_slow = False
        self._reference = 1.0
        self._trial: tuple[float, float] | None = None

    @property
    def limit(self) -> int:
        """Calls that may run concurrently."""
        return max(1, round(self._limit))

    def observe(self, sample: Sample, now: float) -> None:
        """Add the result of a call, and update the limit when a window is complete.

        Calls that started before the last decrease are ignored.
        """
        if self._opened_at is None:
            self._opened_at = now
        if sample.started_at < self._changed_at:
            return
        if len(self._slowdowns) < MAX_WINDOW_SAMPLES:
            self._slowdowns.append(sample.slowdown)
            self._failures += sample.is_failure
        self._max_in_flight = max(self._max_in_flight, sample.in_flight)
        is_long = now - self._opened_at >= MIN_WINDOW_SECONDS
        if is_long and len(self._slowdowns) >= MIN_WINDOW_SAMPLES:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        self._opened_at = now
        before = self._limit
        slowdown = statistics.median(self._slowdowns)
        failure_share = self._failures / len(self._slowdowns)
        if failure_share > MAX_FAILURE_SHARE:
            self._lower(MAX_DECREASE_FACTOR)
        elif slowdown <= SLOWDOWN_THRESHOLD * self._reference:
            self._recover(slowdown)
        elif self._was_slow or slowdown > SEVERE_SLOWDOWN * self._reference:
            self._try_decrease(slowdown)
        self._was_slow = slowdown > SLOWDOWN_THRESHOLD * self._reference
        self._slowdowns.clear()
        self._failures = 0
        self._max_in_flight = 0
        if self._limit < before:
            self._changed_at = now

    def _try_decrease(self, slowdown: float) -> None:
        if self._trial is None:
            self._trial = (self._limit, slowdown)
        limit_before, slowdown_before = self._trial
        if self._limit <= limit_before * TRIAL_LIMIT_FACTOR:
            self._trial = None
            if slowdown > slowdown_before * TRIAL_SLOWDOWN_FACTOR:
                self._reference = slowdown
                self._limit = limit_before
                return
        excess = slowdown / (SLOWDOWN_THRESHOLD * self._reference)
        self._lower(min(MAX_DECREASE_FACTOR, 1.0 / excess))

    def _lower(self, factor: float) -> None:
        floor = max(1.0, MIN_LIMIT_SHARE * self.slots)
        lowered = self._limit * max(MIN_DECREASE_FACTOR, factor)
        self._limit = max(floor, lowered)

    def _recover(self, slowdown: float) -> None:
        self._trial = None
        self._reference = max(1.0, min(self._reference, slowdown))
        if self._max_in_flight >= MIN_UTILISATION * self._limit:
            step = max(1.0, INCREASE_SHARE * self.slots)
            self._limit = min(float(self.slots), self._limit + step)
