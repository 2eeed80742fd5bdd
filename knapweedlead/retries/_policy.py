"""Decides whether and when a failed attempt is retried."""

import random

import attrs

from knapweedlead.backoffs import BACKOFFS, Backoff
from knapweedlead.requests import Outcome, RefusalReason, RetryReason
from knapweedlead.retries._budget import RETRY_BUDGETS, RetryBudget
from knapweedlead.retries._credits import CREDIT_POLICIES, CreditPolicy

_MS_PER_S = 1000

RETRY_REASON_BY_REFUSAL = {
    RefusalReason.OVERLOADED: RetryReason.OVERLOADED,
    RefusalReason.QUEUE_TIMEOUT: RetryReason.OVERLOADED,
    RefusalReason.COLD: RetryReason.COLD,
    RefusalReason.DRAINING: RetryReason.DRAINING,
    RefusalReason.OUT_OF_SERVICE: RetryReason.DRAINING,
    RefusalReason.CONFIGURATION_UNKNOWN: RetryReason.UNREACHABLE,
    RefusalReason.CONFIGURATION_STALE: RetryReason.UNREACHABLE,
    RefusalReason.BACKEND_SERVER_UNREACHABLE: RetryReason.UNREACHABLE,
    RefusalReason.LINK_LOST: RetryReason.LINK_LOST,
    RefusalReason.BACKEND_SERVER_FAILED: RetryReason.FAILED,
    RefusalReason.BROKEN_ANSWER: RetryReason.BROKEN_ANSWER,
}
"""Refusals after which another attempt may succeed; all others end the call."""

_REDIRECTED_REASONS = frozenset(
    {
        RefusalReason.DRAINING,
        RefusalReason.OUT_OF_SERVICE,
        RefusalReason.CONFIGURATION_UNKNOWN,
        RefusalReason.CONFIGURATION_STALE,
    }
)
"""Refusals independent of load: retried on another server without a delay."""


@attrs.frozen
class FailedAttempt:
    """An attempt that ended without an answer.

    Parameters
    ----------
    service : str
        Target service.
    reason : RefusalReason
        Why the attempt failed.
    outcome : Outcome
        Whether the attempt may have run.
    is_idempotent : bool
        Whether the call may be executed more than once.
    credits : int
        Retry credits that the call has left.
    attempt : int
        Number of the attempt, counted from 1.
    deadline : float
        Deadline of the call, in seconds on the same clock as ``now``.
    retry_after_ms : int
        Minimum delay given in the refusal, in milliseconds; 0 for none.
    """

    service: str
    reason: RefusalReason
    outcome: Outcome
    is_idempotent: bool
    credits: int
    attempt: int
    deadline: float
    retry_after_ms: int = 0


@attrs.frozen
class Retry:
    """Time and reason of a retry.

    Parameters
    ----------
    at : float
        When to send the retry, in seconds on the same clock as ``now``.
    reason : RetryReason
        Why the attempt is retried.
    """

    at: float
    reason: RetryReason


class RetryPolicy:
    """Decides on the retries of a daemon's entry.

    Parameters
    ----------
    credit_policy, backoff, budget : str
        Registered names of the policies.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self, credit_policy: str, backoff: str, budget: str, rng: random.Random
    ) -> None:
        self.credits: CreditPolicy = CREDIT_POLICIES.create(credit_policy)
        self.backoff: Backoff = BACKOFFS.create(backoff)
        self.budget = budget
        self.rng = rng
        self._budget_by_service: dict[str, RetryBudget] = {}

    def record_success(self, service: str, now: float) -> None:
        """Add a successful call to the retry budget of its service."""
        self._budget_of(service).deposit(now)

    def decide(self, failed: FailedAttempt, now: float) -> Retry | None:
        """Return the retry of a failed attempt, or None if the call ends.

        A retry needs a credit, time before the deadline, and either an attempt that
        was not run or an idempotent call. A retry that is not redirected to
        another server at once also spends from the retry budget of the service.
        """
        reason = RETRY_REASON_BY_REFUSAL.get(failed.reason)
        if reason is None or failed.credits < 1:
            return None
        if failed.outcome is not Outcome.NOT_RUN and not failed.is_idempotent:
            return None
        is_redirected = failed.reason in _REDIRECTED_REASONS
        at = now if is_redirected else now + self._delay(failed)
        if at >= failed.deadline:
            return None
        if not is_redirected and not self._budget_of(failed.service).try_withdraw(now):
            return None
        return Retry(at, reason)

    def _delay(self, failed: FailedAttempt) -> float:
        delay = self.backoff.delay(failed.attempt, self.rng)
        return max(delay, failed.retry_after_ms / _MS_PER_S)

    def _budget_of(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RETRY_BUDGETS.create(self.budget)
            self._budget_by_service[service] = budget
        return budget
