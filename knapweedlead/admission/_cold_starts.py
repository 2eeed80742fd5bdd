"""Concurrency limits during the cold start of a backend server."""

from typing import ClassVar, Protocol

from knapweedlead.admission._calls import Sample
from knapweedlead.parameters import Constraint, Interval
from knapweedlead.registries import Registry

MAX_SLOTS = 100_000
MAX_COLD_SECONDS = 3600.0


class ColdStart(Protocol):
    """A policy that lowers the limit during a cold start."""

    parameter_constraints: ClassVar[dict[str, Constraint]]

    cold_slots: int
    cold_start_s: float

    @property
    def state(self) -> str:
        """Current state of ``backend_server.json``."""

    @property
    def limit(self) -> int:
        """Calls that may run concurrently."""

    def fire(self, event: str, now: float) -> None:
        """Apply an event of ``backend_server.json``."""

    def observe(self, sample: Sample, now: float) -> None:
        """Update the state from the result of a call."""

    def advance(self, now: float) -> None:
        """Apply the transitions that are due at `now`."""


COLD_STARTS: Registry[ColdStart] = Registry("cold start")


@COLD_STARTS.register("none")
class NoColdStart:
    """Treats the backend server as warm at all times.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server can run concurrently, warm and cold.
    cold_start_s : float
        Duration of a cold start in seconds.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "slots": Interval(int, 1, MAX_SLOTS, "calls"),
        "cold_slots": Interval(int, 1, MAX_SLOTS, "calls"),
        "cold_start_s": Interval(float, 0.0, MAX_COLD_SECONDS, "s"),
    }

    def __init__(self, slots: int, cold_slots: int, cold_start_s: float) -> None:
        self.slots = slots
        self.cold_slots = cold_slots
        self.cold_start_s = cold_start_s

    @property
    def state(self) -> str:
        """Always ``warm``."""
        return "warm"

    @property
    def limit(self) -> int:
        """The greatest allowed number of slots, so that no limit applies."""
        return MAX_SLOTS

    def fire(self, event: str, now: float) -> None:
        """Ignore the event."""

    def observe(self, sample: Sample, now: float) -> None:
        """Ignore the sample."""

    def advance(self, now: float) -> None:
        """Do nothing."""
