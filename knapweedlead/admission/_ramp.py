"""Cold starts that the state chart of the backend server describes."""

from collections import deque

from knapweedlead.admission._calls import Sample
from knapweedlead.admission._cold_starts import COLD_STARTS, NoColdStart
from knapweedlead.statecharts import Statechart

LOST_SLOWDOWN = 3.0
"""Slowdown from which a call counts as evidence of lost speed."""

EVIDENCE_SAMPLES = 16
"""Latest calls among which evidence of lost speed is counted."""

LOST_SHARE = 0.75
"""Share of evidence at which the backend server counts as cold again."""

WORRYING_SHARE = 0.25
"""Share of evidence at which a ramp steps back."""

RAMP_STEP_SECONDS = 0.5
"""Time between two steps of a ramp."""

RAMP_FACTOR = 1.5
"""Factor by which one step raises the limit."""

MAX_HOLD_FACTOR = 8.0
"""Greatest factor by which failed ramps lengthen a cold start."""

MIN_LOST = 2
"""Calls that fared ill at which a ramp may step back."""

EVIDENCE_PER_SLOT = 0.1
"""Calls for each slot of the limit that must have fared well before a step."""

STEP_BACK_FACTOR = 0.5
"""Factor by which a step back lowers the limit."""

_CHART = Statechart.load("knapweedlead.admission", "backend_server.json")


@COLD_STARTS.register("step")
class StepColdStart(NoColdStart):
    """Holds the cold limit for the announced time, then allows all slots at once.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server runs at once, warm and cold.
    cold_start_s : float
        Seconds that a cold start lasts; 0 means that there is none.
    """

    def __init__(self, slots: int, cold_slots: int, cold_start_s: float) -> None:
        super().__init__(slots, cold_slots, cold_start_s)
        self._state = _CHART.initial
        self._limit = float(slots)
        self._entered_at = 0.0
        self._hold_factor = 1.0

    @property
    def state(self) -> str:
        """A state of ``backend_server.json``."""
        return self._state

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        if self._state == "cold":
            return min(self.cold_slots, self.slots)
        return max(1, int(self._limit))

    def fire(self, event: str, now: float) -> None:
        """Take up an event; a cold start begins again with each sign of one."""
        if event in ("start_seen", "speed_lost") and self.cold_start_s <= 0.0:
            return
        if not _CHART.accepts(self._state, event):
            return
        self._set_hold(event)
        limit = float(self.limit)
        self._state = _CHART.advance(self._state, event)
        self._limit = limit
        self._entered_at = now

    def advance(self, now: float) -> None:
        """End a cold start whose time has passed."""
        if self._is_cold_over(now):
            self.fire("cold_elapsed", now)
            self._limit = float(self.slots)
            self.fire("slots_reached", now)

    def _is_cold_over(self, now: float) -> bool:
        hold = self.cold_start_s * self._hold_factor
        return self._state == "cold" and now - self._entered_at >= hold

    def _set_hold(self, event: str) -> None:
        """Double the time of a cold start that begins again out of its ramp."""
        if event == "speed_lost" and self._state == "ramping":
            self._hold_factor = min(MAX_HOLD_FACTOR, 2.0 * self._hold_factor)
        elif event in ("start_seen", "slots_reached"):
            self._hold_factor = 1.0


@COLD_STARTS.register("ramp")
class RampColdStart(StepColdStart):
    """Raises the limit step by step after a cold start, as the calls fare well.

    A sudden loss of speed or a run of failures counts as an unannounced turn to
    cold. Slow calls during the ramp make it step back; failures begin the cold
    start again, for twice as long.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server runs at once, warm and cold.
    cold_start_s : float
        Seconds that a cold start lasts; 0 means that there is none.
    """

    def __init__(self, slots: int, cold_slots: int, cold_start_s: float) -> None:
        super().__init__(slots, cold_slots, cold_start_s)
        self._lost: deque[bool] = deque(maxlen=EVIDENCE_SAMPLES)
        self._failed: deque[bool] = deque(maxlen=EVIDENCE_SAMPLES)
        self._next_step = 0.0

    def observe(self, sample: Sample, now: float) -> None:
        """Turn cold at evidence of lost speed."""
        is_slow = sample.slowdown >= LOST_SLOWDOWN
        self._lost.append(sample.is_failure or is_slow)
        self._failed.append(sample.is_failure)
        if sum(self._lost) >= LOST_SHARE * EVIDENCE_SAMPLES:
            self._forget()
            self.fire("speed_lost", now)

    def advance(self, now: float) -> None:
        """End a cold start whose time has passed, or take a step of the ramp."""
        if self._is_cold_over(now):
            self.fire("cold_elapsed", now)
            self._forget()
            self._next_step = now + RAMP_STEP_SECONDS
        elif self._state == "ramping" and now >= self._next_step:
            self._next_step = now + RAMP_STEP_SECONDS
            self._step(now)

    def _step(self, now: float) -> None:
        floor = min(self.cold_slots, self.slots)
        if _is_worrying(self._failed):
            self.fire("speed_lost", now)
        elif _is_worrying(self._lost):
            self._limit = max(float(floor), self._limit * STEP_BACK_FACTOR)
        elif len(self._lost) >= min(EVIDENCE_SAMPLES, EVIDENCE_PER_SLOT * self._limit):
            self._raise(now)
        else:
            return
        self._forget()

    def _raise(self, now: float) -> None:
        raised = max(self._limit + 1.0, self._limit * RAMP_FACTOR)
        self._limit = min(float(self.slots), raised)
        if self._limit >= self.slots:
            self.fire("slots_reached", now)

    def _forget(self) -> None:
        self._lost.clear()
        self._failed.clear()


def _is_worrying(evidence: deque[bool]) -> bool:
    ill = sum(evidence)
    return ill >= max(MIN_LOST, WORRYING_SHARE * len(evidence))
