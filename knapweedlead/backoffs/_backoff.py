"""Delay policies for retries."""

import random
from typing import ClassVar, Protocol

from knapweedlead.parameters import Constraint, Interval, check_parameters
from knapweedlead.registries import Registry


class Backoff(Protocol):
    """A policy for the delay before a retry."""

    def delay(self, retry: int, rng: random.Random) -> float:
        """Return the delay in seconds before retry number `retry`, counted from 1."""


BACKOFFS: Registry[Backoff] = Registry("backoff")


@BACKOFFS.register("none")
class NoBackoff:
    """Baseline: retries without a delay."""

    def delay(self, retry: int, rng: random.Random) -> float:
        """Return 0."""
        return 0.0


@BACKOFFS.register("full_jitter")
class FullJitter:
    """Exponential backoff with full jitter.

    The delay is uniform between 0 and a limit that doubles with each retry.

    Parameters
    ----------
    base_s : float
        Limit of the first delay, in seconds.
    max_s : float
        Upper bound of the limit, in seconds.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "base_s": Interval(float, 0.0, 60.0, "s"),
        "max_s": Interval(float, 0.0, 60.0, "s"),
    }

    def __init__(self, base_s: float = 0.02, max_s: float = 1.0) -> None:
        self.base_s = base_s
        self.max_s = max_s
        check_parameters(self)

    def delay(self, retry: int, rng: random.Random) -> float:
        """Return a delay in seconds, uniform between 0 and the limit."""
        limit = min(self.max_s, self.base_s * 2.0 ** (retry - 1))
        return rng.uniform(0.0, limit)
