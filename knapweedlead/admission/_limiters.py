"""Concurrency limits of a backend server."""

from typing import ClassVar, Protocol

from knapweedlead.admission._calls import Sample
from knapweedlead.parameters import Constraint, Interval
from knapweedlead.registries import Registry

MAX_SLOTS = 100_000


class Limiter(Protocol):
    """A policy that limits how many calls run concurrently."""

    parameter_constraints: ClassVar[dict[str, Constraint]]

    @property
    def limit(self) -> int:
        """Calls that may run concurrently, at least 1."""

    def observe(self, sample: Sample, now: float) -> None:
        """Update the limit from the result of a call."""


LIMITERS: Registry[Limiter] = Registry("limiter")


@LIMITERS.register("static")
class StaticLimiter:
    """Allows as many calls as the backend server has slots, and ignores the samples.

    Parameters
    ----------
    slots : int
        Calls that the backend server can run concurrently.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "slots": Interval(int, 1, MAX_SLOTS, "calls")
    }

    def __init__(self, slots: int) -> None:
        self.slots = slots

    @property
    def limit(self) -> int:
        """Calls that may run concurrently."""
        return self.slots

    def observe(self, sample: Sample, now: float) -> None:
        """Ignore the sample."""


@LIMITERS.register("none")
class NoLimiter:
    """Sets no limit; the baseline without concurrency control.

    Parameters
    ----------
    slots : int
        Ignored.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "slots": Interval(int, 1, MAX_SLOTS, "calls")
    }

    def __init__(self, slots: int) -> None:
        self.slots = slots

    @property
    def limit(self) -> int:
        """The greatest allowed number of slots, so that no limit applies."""
        return MAX_SLOTS

    def observe(self, sample: Sample, now: float) -> None:
        """Ignore the sample."""
