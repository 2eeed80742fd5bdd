"""Budget for retries over restarts of daemons."""

from knapweedlead.mesh import RetryBudget

DAEMONS = 15
RESTARTS = 3
SHARE = 0.05
CAP = 12.5
"""The part of one hop, a quarter of what the fleet is allowed."""
ALLOWED_EXTRA = 50
"""Retries of the whole fleet beyond its share of the first attempts."""


def spend(budget):
    """Retry until the budget is used up; return the number of retries."""
    return sum(budget.try_acquire("lines") for _ in range(100))


def test_daemons_that_restart_before_they_know_the_fleet_do_not_repeat_its_allowance():
    started = (RetryBudget(SHARE, CAP) for _ in range(DAEMONS * RESTARTS))
    assert sum(map(spend, started)) <= ALLOWED_EXTRA


def test_retries_accumulate_up_to_the_part_of_one_daemon():
    budget = RetryBudget(SHARE, CAP)
    budget.daemon_count = 5
    for _ in range(1000):
        budget.record_first_attempt("lines")
    assert spend(budget) == int(CAP / 5)


def test_each_first_attempt_earns_its_share_of_a_retry():
    budget = RetryBudget(0.25, CAP)
    spend(budget)
    for _ in range(8):
        budget.record_first_attempt("lines")
    assert spend(budget) == 2
