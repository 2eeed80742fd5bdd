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
        limit = float(self.limit)
        self._state = _CHART.advance(self._state, event)
        self._limit = limit
        self._entered_at = now

    def advance(self, now: float) -> None:
        """End a cold start whose time has passed."""
        if self._state == "cold" and now - self._entered_at >= self.cold_start_s:
            self.fire("cold_elapsed", now)
            self._limit = float(self.slots)
            self.fire("slots_reached", now)


@COLD_STARTS.register("ramp")
class RampColdStart(StepColdStart):
    """Raises the limit step by step after a cold start, as the calls fare well.

    A sudden loss of speed or a run of failures counts as an unannounced turn to
    cold. A few slow calls during the ramp make it step back.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server runs at once, warm and cold.
    cold_start_s : float
        Seconds that a cold start lasts; 0 means that there is none.
    """

    def __init__(self, slots: int, cold_slots: int, cold_start_s: float) -> None:
        super().__init__(slots, cold_slots, cold_start_s)
        self._evidence: deque[bool] = deque(maxlen=EVIDENCE_SAMPLES)
        self._next_step = 0.0

    def observe(self, sample: Sample, now: float) -> None:
        """Turn cold at evidence of lost speed."""
        is_lost = sample.is_failure or sample.slowdown >= LOST_SLOWDOWN
        self._evidence.append(is_lost)
        is_enough = len(self._evidence) == EVIDENCE_SAMPLES
        if is_enough and self._lost_share() >= LOST_SHARE:
            self._evidence.clear()
            self.fire("speed_lost", now)

    def advance(self, now: float) -> None:
        """End a cold start whose time has passed, or take a step of the ramp."""
        if self._state == "cold" and now - self._entered_at >= self.cold_start_s:
            self.fire("cold_elapsed", now)
            self._evidence.clear()
            self._next_step = now + RAMP_STEP_SECONDS
        elif self._state == "ramping" and now >= self._next_step:
            self._next_step = now + RAMP_STEP_SECONDS
            self._step(now)

    def _step(self, now: float) -> None:
        if self._lost_share() >= WORRYING_SHARE:
            floor = float(min(self.cold_slots, self.slots))
            self._limit = max(floor, self._limit * STEP_BACK_FACTOR)
            self._evidence.clear()
            return
        raised = max(self._limit + 1.0, self._limit * RAMP_FACTOR)
        self._limit = min(float(self.slots), raised)
        if self._limit >= self.slots:
            self.fire("slots_reached", now)

    def _lost_share(self) -> float:
        if not self._evidence:
            return 0.0
        return sum(self._evidence) / len(self._evidence)
