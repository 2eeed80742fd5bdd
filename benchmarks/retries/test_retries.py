"""Regression bounds of retries: number of attempts and share of requests answered."""

from benchmarks.retries._measure import attempts_at_deepest, gain_under_partial_failure

CREDITS = 2
MIN_GAIN = 0.3
"""Increase in the share of requests answered that retries achieve."""
MAX_ATTEMPTS_PER_REQUEST = 1.5


def test_escrowed_credits_keep_attempts_at_one_plus_r_unlike_the_baseline() -> None:
    assert attempts_at_deepest("per_hop", 6, 1) == 64
    assert attempts_at_deepest("keep_one", 6, 1) <= 2
    assert attempts_at_deepest("keep_one", 21, CREDITS) <= 1 + CREDITS


def test_retries_answer_most_failing_requests_at_few_attempts() -> None:
    without = gain_under_partial_failure("keep_one", 0, requests=150)
    gain = gain_under_partial_failure("keep_one", CREDITS, requests=150)
    assert gain.answered_share - without.answered_share >= MIN_GAIN
    assert gain.attempts_per_request <= MAX_ATTEMPTS_PER_REQUEST
