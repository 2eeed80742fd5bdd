"""Regression bounds of routing, as ratios to random routing."""

from benchmarks.routing._measure import SERVICE_S, measure_spread, new_member_share

MAX_FAILING_SERVER_SHARE = 0.05
"""Share of calls to a server that fails fast, as a ratio to random routing."""
MAX_LATENCY_RATIO = 0.4
"""Mean latency with one slow server of three, as a ratio to random routing."""
MAX_NEW_MEMBER_SHARE = 0.35
"""Share of calls to a newly joined server, as a ratio to random routing."""


def test_server_that_fails_fast_receives_a_fraction_of_its_random_share() -> None:
    baseline = measure_spread("random", "none", 0.0005, 500)
    adaptive = measure_spread("two_choices", "outlier", 0.0005, 500)
    assert adaptive.faulty_share <= MAX_FAILING_SERVER_SHARE * baseline.faulty_share
    assert adaptive.answered_share > 0.98


def test_one_slow_server_does_not_dominate_the_latency() -> None:
    baseline = measure_spread("random", "none", 10 * SERVICE_S, 200)
    adaptive = measure_spread("two_choices", "outlier", 10 * SERVICE_S, 200)
    assert adaptive.mean_ms <= MAX_LATENCY_RATIO * baseline.mean_ms


def test_new_member_receives_a_fraction_of_its_random_share() -> None:
    baseline = new_member_share("random", 1.0)
    adaptive = new_member_share("two_choices", 1.0)
    assert adaptive <= MAX_NEW_MEMBER_SHARE * baseline
