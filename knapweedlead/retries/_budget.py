"""Budgets that limit the retries from an entry to a service."""

import math
from typing import ClassVar, Protocol

from knapweedlead.parameters import Constraint, Interval, check_parameters
from knapweedlead.registries import Registry


class RetryBudget(Protocol):
    """Limits the retries to one service."""

    def deposit(self, now: float) -> None:
        """Record a successful call."""

    def try_withdraw(self, now: float) -> bool:
        """Return whether a retry may be sent; if so, deduct it from the budget."""


RETRY_BUDGETS: Registry[RetryBudget] = Registry("retry budget")


@RETRY_BUDGETS.register("unlimited")
class Unlimited:
    """Baseline: allows every retry."""

    def deposit(self, now: float) -> None:
        """Ignore the success."""

    def try_withdraw(self, now: float) -> bool:
        """Allow the retry."""
        return True


@RETRY_BUDGETS.register("success_share")
class SuccessShare:
    """Allows retries up to a share of the recent successes plus a small reserve.

    Parameters
    ----------
    share : float
        Retries earned by each success.
    memory_s : float
        Time constant in seconds; earned retries decay to 1/e in this time.
    reserve : float
        Retries allowed without any success, for services with little traffic.
    refill_per_s : float
        Retries added to the reserve per second, up to `reserve`.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "share": Interval(float, 0.0, 1.0),
        "memory_s": Interval(float, 0.1, 3600.0, "s"),
        "reserve": Interval(float, 1.0, 10_000.0, "retries"),
        "refill_per_s": Interval(float, 0.0, 1000.0, "retries/s"),
    }

    def __init__(
        self,
        share: float = 0.1,
        memory_s: float = 5.0,
        reserve: float = 10.0,
        refill_per_s: float = 1.0,
    ) -> None:
        self.share = share
        self.memory_s = memory_s
        self.reserve = reserve
        self.refill_per_s = refill_per_s
        check_parameters(self)
        self._earned = 0.0
        self._reserved = reserve
        self._updated_at: float | None = None

    def deposit(self, now: float) -> None:
        """Add `share` of a retry for a successful call."""
        self._advance(now)
        self._earned += self.share

    def try_withdraw(self, now: float) -> bool:
        """Spend an earned retry, else a reserved one; return False if none is left."""
        self._advance(now)
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._reserved >= 1.0:
            self._reserved -= 1.0
            return True
        return False

    def _advance(self, now: float) -> None:
        elapsed = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        self._earned *= math.exp(-elapsed / self.memory_s)
        refilled = self._reserved + elapsed * self.refill_per_s
        self._reserved = min(self.reserve, refilled)
