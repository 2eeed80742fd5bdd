"""A limit that follows the measured speed and failures of a backend server."""

import math
import statistics
from typing import ClassVar

from knapweedlead.admission._calls import Sample
from knapweedlead.admission._limiters import LIMITERS, MAX_SLOTS
from knapweedlead.parameters import Constraint, Interval

WINDOW_SECONDS = 0.2
"""Least time between two changes of the limit."""

WINDOW_SAMPLES = 16
"""Least samples between two changes of the limit."""

MAX_WINDOW_SAMPLES = 1024
"""Samples kept of a window."""

TOLERATED_SLOWDOWN = 1.3
"""Median slowdown above which two windows in a row lower the limit."""

CERTAIN_SLOWDOWN = 2.0
"""Median slowdown above which one window lowers the limit."""

TOLERATED_FAILURES = 0.1
"""Share of failures above which the limit falls."""

LARGEST_DECREASE = 0.7
"""Least factor by which one window lowers the limit."""

USUAL_DECREASE = 0.9
"""Greatest factor by which a slow window lowers the limit."""

INCREASE_SHARE = 0.1
"""Share of the slots by which one window raises the limit."""

FLOOR_SHARE = 0.05
"""Share of the slots below which the limit does not fall."""

USED_SHARE = 0.8
"""Share of the limit that must have been used before it rises."""

TRIAL_DECREASE = 0.75
"""Factor of the limit after which a decrease must have shown an effect."""

TRIAL_EFFECT = 0.9
"""Factor of the slowdown below which a decrease counts as having helped."""


@LIMITERS.register("adaptive")
class AdaptiveLimiter:
    """Lowers the limit while fewer calls at once make each of them faster.

    A slowdown that does not fall although the limit did has another cause than
    the calls at once; it is then taken as usual, and the limit rises again.

    Parameters
    ----------
    slots : int
        Calls that the backend server runs at once at its best.
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
        self._most_in_flight = 0
        self._is_slow = False
        self._reference = 1.0
        self._trial: tuple[float, float] | None = None

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return max(1, round(self._limit))

    def observe(self, sample: Sample, now: float) -> None:
        """Take up how a call fared; a full window may change the limit.

        Calls that started under the limit before do not count.
        """
        if self._opened_at is None:
            self._opened_at = now
        if sample.started_at < self._changed_at:
            return
        if len(self._slowdowns) < MAX_WINDOW_SAMPLES:
            self._slowdowns.append(sample.slowdown)
            self._failures += sample.is_failure
        self._most_in_flight = max(self._most_in_flight, sample.in_flight)
        is_long = now - self._opened_at >= WINDOW_SECONDS
        if is_long and len(self._slowdowns) >= WINDOW_SAMPLES:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        self._opened_at = now
        before = self._limit
        slowdown = statistics.median(self._slowdowns)
        failures = self._failures / len(self._slowdowns)
        if failures > TOLERATED_FAILURES:
            self._lower(USUAL_DECREASE)
        elif slowdown <= TOLERATED_SLOWDOWN * self._reference:
            self._settle(slowdown)
        elif self._is_slow or slowdown > CERTAIN_SLOWDOWN * self._reference:
            self._lower_on_trial(slowdown)
        self._is_slow = slowdown > TOLERATED_SLOWDOWN * self._reference
        self._slowdowns.clear()
        self._failures = 0
        self._most_in_flight = 0
        if self._limit < before:
            self._changed_at = now

    def _lower_on_trial(self, slowdown: float) -> None:
        if self._trial is None:
            self._trial = (self._limit, slowdown)
        limit_before, slowdown_before = self._trial
        if self._limit <= limit_before * TRIAL_DECREASE:
            self._trial = None
            if slowdown > slowdown_before * TRIAL_EFFECT:
                self._reference = slowdown
                self._limit = limit_before
                return
        excess = slowdown / (TOLERATED_SLOWDOWN * self._reference)
        self._lower(min(USUAL_DECREASE, 1.0 / excess))

    def _lower(self, factor: float) -> None:
        floor = max(1.0, FLOOR_SHARE * self.slots)
        lowered = self._limit * max(LARGEST_DECREASE, factor)
        self._limit = max(floor, lowered)

    def _settle(self, slowdown: float) -> None:
        self._trial = None
        self._reference = max(1.0, min(self._reference, slowdown))
        if self._most_in_flight >= USED_SHARE * self._limit:
            step = max(1.0, INCREASE_SHARE * self.slots)
            self._limit = min(float(self.slots), self._limit + step)
