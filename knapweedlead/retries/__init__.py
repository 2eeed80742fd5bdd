"""Retries: credits of a call tree, retry budgets, backoff, retries by callers."""

from knapweedlead.backoffs import BACKOFFS, Backoff
from knapweedlead.retries._budget import RETRY_BUDGETS, RetryBudget
from knapweedlead.retries._caller_retries import CallerRetryCredits
from knapweedlead.retries._credits import CREDIT_POLICIES, CreditPolicy
from knapweedlead.retries._policy import (
    RETRY_REASON_BY_REFUSAL,
    FailedAttempt,
    Retry,
    RetryPolicy,
)

__all__ = [
    "BACKOFFS",
    "CREDIT_POLICIES",
    "RETRY_BUDGETS",
    "RETRY_REASON_BY_REFUSAL",
    "Backoff",
    "CreditPolicy",
    "FailedAttempt",
    "CallerRetryCredits",
    "Retry",
    "RetryBudget",
    "RetryPolicy",
]
