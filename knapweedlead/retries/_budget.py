"""Budgets that bound the retries an entry sends to a service."""

from typing import ClassVar, Protocol

from knapweedlead.parameters import Constraint, Interval, check_parameters
from knapweedlead.registries import Registry


class RetryBudget(Protocol):
    """Bounds the retries towards one service."""

    def deposit(self, now: float) -> None:
        """Note a call that succeeded."""

    def withdraw(self, now: float) -> bool:
        """Return whether one more retry may be sent, and count it."""


RETRY_BUDGETS: Registry[RetryBudget] = Registry("retry budget")


@RETRY_BUDGETS.register("unlimited")
class Unlimited:
    """Baseline: never holds a retry back."""

    def deposit(self, now: float) -> None:
        """Ignore the success."""

    def withdraw(self, now: float) -> bool:
        """Allow the retry."""
        return True


@RETRY_BUDGETS.register("success_share")
class SuccessShare:
    """Allows retries up to a share of the successes.

    Parameters
    ----------
    share : float
        Retries earned by each success.
    reserve : float
        Retries that may be saved up, and that are there at the start.
    refill_per_s : float
        Retries earned each second without a success, for quiet services.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "share": Interval(float, 0.0, 1.0),
        "reserve": Interval(float, 1.0, 10_000.0, "retries"),
        "refill_per_s": Interval(float, 0.0, 1000.0, "retries/s"),
    }

    def __init__(
        self, share: float = 0.1, reserve: float = 10.0, refill_per_s: float = 1.0
    ) -> None:
        self.share = share
        self.reserve = reserve
        self.refill_per_s = refill_per_s
        check_parameters(self)
        self._balance = reserve
        self._updated_at: float | None = None

    def deposit(self, now: float) -> None:
        """Earn a share of a retry."""
        self._balance = min(self.reserve, self._balance + self.share)

    def withdraw(self, now: float) -> bool:
        """Spend one retry if there is one."""
        self._refill(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self._balance = min(self.reserve, self._balance + elapsed * self.refill_per_s)
