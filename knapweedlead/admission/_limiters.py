"""Limits on the calls that run at once on a backend server."""

from typing import ClassVar, Protocol

from knapweedlead.admission._calls import Sample
from knapweedlead.parameters import Constraint, Interval
from knapweedlead.registries import Registry

MAX_SLOTS = 100_000


class Limiter(Protocol):
    """A policy that says how many calls may run at once."""

    parameter_constraints: ClassVar[dict[str, Constraint]]

    @property
    def limit(self) -> int:
        """Calls that may run at once, at least 1."""

    def observe(self, sample: Sample, now: float) -> None:
        """Take up how a call fared."""


LIMITERS: Registry[Limiter] = Registry("limiter")


@LIMITERS.register("static")
class StaticLimiter:
    """Allows as many calls as the backend server has slots, whatever it does.

    Parameters
    ----------
    slots : int
        Calls that the backend server runs at once.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "slots": Interval(int, 1, MAX_SLOTS, "calls")
    }

    def __init__(self, slots: int) -> None:
        self.slots = slots

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self.slots

    def observe(self, sample: Sample, now: float) -> None:
        """Take no notice."""


@LIMITERS.register("none")
class NoLimiter:
    """Sets no limit: the baseline without control.

    Parameters
    ----------
    slots : int
        Not heeded.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "slots": Interval(int, 1, MAX_SLOTS, "calls")
    }

    def __init__(self, slots: int) -> None:
        self.slots = slots

    @property
    def limit(self) -> int:
        """More calls than any backend server has slots."""
        return MAX_SLOTS

    def observe(self, sample: Sample, now: float) -> None:
        """Take no notice."""
