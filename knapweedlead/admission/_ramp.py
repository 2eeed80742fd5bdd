"""Cold start policies that follow the state chart of the backend server."""

from collections import deque

from knapweedlead.admission._calls import Sample
from knapweedlead.admission._cold_starts import COLD_STARTS, NoColdStart
from knapweedlead.statecharts import Statechart

SLOW_CALL_SLOWDOWN = 3.0
"""Slowdown from which a call counts as slow."""

RECENT_SAMPLES = 16
"""Latest calls among which slow and failed ones are counted."""

COLD_SHARE = 0.75
"""Share of slow or failed calls at which the backend server counts as cold again."""

FREQUENT_SHARE = 0.25
"""Share from which slow or failed calls count as frequent in a ramp."""

RAMP_STEP_SECONDS = 0.5
"""Time between two steps of a ramp."""

RAMP_FACTOR = 1.5
"""Factor by which one step raises the limit, at least by one call."""

MAX_COLD_TIME_FACTOR = 8.0
"""Greatest factor by which failed ramps extend a cold start."""

MIN_FREQUENT = 2
"""Least number of slow or failed calls that count as frequent in a ramp."""

STEP_SAMPLES_PER_SLOT = 0.1
"""Ended calls required per slot of the limit before a step raises the limit."""

STEP_BACK_FACTOR = 0.5
"""Factor by which a step back lowers the limit."""

_CHART = Statechart.load("knapweedlead.admission", "backend_server.json")


@COLD_STARTS.register("step")
class StepColdStart(NoColdStart):
    """Keeps the cold limit for the cold start time, then allows all slots at once.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server can run concurrently, warm and cold.
    cold_start_s : float
        Duration of a cold start in seconds; 0 disables cold starts.
    """

    def __init__(self, slots: int, cold_slots: int, cold_start_s: float) -> None:
        super().__init__(slots, cold_slots, cold_start_s)
        self._state = _CHART.initial
        self._limit = float(slots)
        self._entered_at = 0.0
        self._cold_time_factor = 1.0

    @property
    def state(self) -> str:
        """Current state of ``backend_server.json``."""
        return self._state

    @property
    def limit(self) -> int:
        """Calls that may run concurrently."""
        if self._state == "cold":
            return min(self.cold_slots, self.slots)
        return max(1, int(self._limit))

    def fire(self, event: str, now: float) -> None:
        """Apply an event, if the current state accepts it.

        Another ``start_seen`` restarts the time of a cold start. If `cold_start_s`
        is 0, the events that begin a cold start are ignored.
        """
        if event in ("start_seen", "speed_lost") and self.cold_start_s <= 0.0:
            return
        if not _CHART.accepts(self._state, event):
            return
        self._update_cold_time(event)
        limit = float(self.limit)
        self._state = _CHART.advance(self._state, event)
        self._limit = limit
        self._entered_at = now

    def advance(self, now: float) -> None:
        """End a cold start whose time has elapsed."""
        if self._is_cold_over(now):
            self.fire("cold_elapsed", now)
            self._limit = float(self.slots)
            self.fire("slots_reached", now)

    def _is_cold_over(self, now: float) -> bool:
        cold_time = self.cold_start_s * self._cold_time_factor
        return self._state == "cold" and now - self._entered_at >= cold_time

    def _update_cold_time(self, event: str) -> None:
        """Double the cold start time when a ramp fails; reset it on warm or restart."""
        if event == "speed_lost" and self._state == "ramping":
            self._cold_time_factor = min(
                MAX_COLD_TIME_FACTOR, 2.0 * self._cold_time_factor
            )
        elif event in ("start_seen", "slots_reached"):
            self._cold_time_factor = 1.0


@COLD_STARTS.register("ramp")
class RampColdStart(StepColdStart):
    """Raises the limit step by step after a cold start while calls stay fast.

    A sudden loss of speed or a run of failures counts as an unannounced cold
    start. If slow calls are frequent during the ramp, the limit is lowered by
    one step; if failures are frequent, a cold start of twice the length begins.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server can run concurrently, warm and cold.
    cold_start_s : float
        Duration of a cold start in seconds; 0 disables cold starts.
    """

    def __init__(self, slots: int, cold_slots: int, cold_start_s: float) -> None:
        super().__init__(slots, cold_slots, cold_start_s)
        self._slow_or_failed: deque[bool] = deque(maxlen=RECENT_SAMPLES)
        self._failed: deque[bool] = deque(maxlen=RECENT_SAMPLES)
        self._next_step = 0.0

    def observe(self, sample: Sample, now: float) -> None:
        """Begin a cold start if most of the latest calls were slow or failed."""
        is_slow = sample.slowdown >= SLOW_CALL_SLOWDOWN
        self._slow_or_failed.append(sample.is_failure or is_slow)
        self._failed.append(sample.is_failure)
        if sum(self._slow_or_failed) >= COLD_SHARE * RECENT_SAMPLES:
            self._clear_samples()
            self.fire("speed_lost", now)

    def advance(self, now: float) -> None:
        """End a cold start whose time has elapsed, or perform a step of the ramp."""
        if self._is_cold_over(now):
            self.fire("cold_elapsed", now)
            self._clear_samples()
            self._next_step = now + RAMP_STEP_SECONDS
        elif self._state == "ramping" and now >= self._next_step:
            self._next_step = now + RAMP_STEP_SECONDS
            self._step(now)

    def _step(self, now: float) -> None:
        floor = min(self.cold_slots, self.slots)
        if _is_frequent(self._failed):
            self.fire("speed_lost", now)
        elif _is_frequent(self._slow_or_failed):
            self._limit = max(float(floor), self._limit * STEP_BACK_FACTOR)
        elif len(self._slow_or_failed) >= min(
            RECENT_SAMPLES, STEP_SAMPLES_PER_SLOT * self._limit
        ):
            self._raise_limit(now)
        else:
            return
        self._clear_samples()

    def _raise_limit(self, now: float) -> None:
        raised = max(self._limit + 1.0, self._limit * RAMP_FACTOR)
        self._limit = min(float(self.slots), raised)
        if self._limit >= self.slots:
            self.fire("slots_reached", now)

    def _clear_samples(self) -> None:
        self._slow_or_failed.clear()
        self._failed.clear()


def _is_frequent(flags: deque[bool]) -> bool:
    count = sum(flags)
    return count >= max(MIN_FREQUENT, FREQUENT_SHARE * len(flags))
