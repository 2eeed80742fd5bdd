"""Retry budgets, the retry policy, backoff and the retries of callers."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.errors import ParameterError
from knapweedlead.requests import Outcome, RefusalReason, RetryReason
from knapweedlead.retries import (
    BACKOFFS,
    RETRY_BUDGETS,
    CallerRetryCredits,
    FailedAttempt,
    RetryPolicy,
)


@given(
    rate=st.integers(1, 2000), seconds=st.integers(1, 60), failing=st.floats(0.0, 1.0)
)
def test_retries_never_exceed_the_share_of_successes_and_the_reserve(
    rate, seconds, failing
):
    budget = RETRY_BUDGETS.create("success_share")
    rng = random.Random(1)
    successes = retries = 0
    for number in range(min(rate * seconds, 5000)):
        now = number / rate
        if rng.random() < failing:
            retries += budget.try_withdraw(now)
        else:
            successes += 1
            budget.deposit(now)
    elapsed = min(rate * seconds, 5000) / rate
    assert retries <= 0.1 * successes + 10 + elapsed


def test_budget_allows_a_burst_of_retries_to_a_busy_service_only():
    budget = RETRY_BUDGETS.create("success_share")
    for number in range(5000):
        budget.deposit(number / 1000)
    assert sum(budget.try_withdraw(5.0) for _ in range(200)) == 200
    quiet = RETRY_BUDGETS.create("success_share")
    assert sum(quiet.try_withdraw(5.0) for _ in range(200)) == 10


def failed(**fields):
    values = {
        "service": "wear",
        "reason": RefusalReason.BACKEND_SERVER_FAILED,
        "outcome": Outcome.UNKNOWN,
        "is_idempotent": True,
        "credits": 1,
        "attempt": 1,
        "deadline": 10.0,
    }
    return FailedAttempt(**{**values, **fields})


@pytest.mark.parametrize(
    ("fields", "is_retried"),
    [
        ({}, True),
        ({"is_idempotent": False}, False),
        ({"is_idempotent": False, "outcome": Outcome.NOT_RUN}, True),
        ({"credits": 0}, False),
        ({"deadline": 0.0}, False),
        ({"reason": RefusalReason.INVALID_KEY, "outcome": Outcome.NOT_RUN}, False),
        ({"reason": RefusalReason.CANCELLED, "outcome": Outcome.NOT_RUN}, False),
        ({"retry_after_ms": 20_000}, False),
    ],
)
def test_attempt_is_retried_only_if_safe_allowed_and_in_time(fields, is_retried):
    policy = RetryPolicy("keep_one", "none", "unlimited", random.Random(1))
    assert (policy.decide(failed(**fields), 1.0) is not None) is is_retried


def test_refusal_by_a_draining_server_is_redirected_without_delay_or_budget():
    policy = RetryPolicy("keep_one", "full_jitter", "success_share", random.Random(1))
    refusal = failed(reason=RefusalReason.DRAINING, outcome=Outcome.NOT_RUN)
    retries = [policy.decide(refusal, 1.0) for _ in range(100)]
    assert {(r.at, r.reason) for r in retries} == {(1.0, RetryReason.DRAINING)}


def test_backoff_is_uniform_below_a_limit_that_doubles():
    backoff = BACKOFFS.create("full_jitter")
    rng = random.Random(1)
    for retry, limit in [(1, 0.02), (2, 0.04), (5, 0.32), (20, 1.0)]:
        delays = [backoff.delay(retry, rng) for _ in range(400)]
        assert max(delays) <= limit
        assert min(delays) < 0.1 * limit
        assert max(delays) > 0.9 * limit


def test_error_names_the_parameter_out_of_range():
    with pytest.raises(ParameterError, match="share"):
        RETRY_BUDGETS.create("success_share", share=2.0)


def test_failed_requests_expire_after_the_window_and_beyond_the_capacity():
    ledger = CallerRetryCredits(window_s=10.0, capacity=2)
    ledger.record_failure("a", 1, 0.0)
    assert ledger.credits_for("a", 5, 1.0) == 0
    assert ledger.credits_for("a", 5, 10.0) == 5
    for key in ("b", "c", "d"):
        ledger.record_failure(key, 0, 20.0)
    assert ledger.credits_for("b", 5, 21.0) == 5
    assert ledger.credits_for("c", 5, 21.0) is None
    ledger.record_success("c")
    assert ledger.credits_for("c", 5, 21.0) == 5
