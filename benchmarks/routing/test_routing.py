"""Regression bounds of routing, as ratios to the blind baselines."""

from benchmarks.routing._measure import SERVICE_S, share_of_newcomer, spread

MAX_SHARE_OF_BLACK_HOLE = 0.05
"""Of the share that a blind choice sends to a server that fails fast."""
MAX_LATENCY_RATIO = 0.4
"""Mean latency with one slow server of three, to that of a blind choice."""
MAX_SHARE_OF_NEWCOMER = 0.35
"""Of the share that a blind choice sends to a member newly seen."""


def test_server_that_fails_fast_draws_a_small_part_of_its_blind_share() -> None:
    blind = spread("random", "none", 0.0005, 500)
    ours = spread("two_choices", "outlier", 0.0005, 500)
    assert ours.odd_share <= MAX_SHARE_OF_BLACK_HOLE * blind.odd_share
    assert ours.answered_share > 0.98


def test_one_slow_server_does_not_set_the_latency() -> None:
    blind = spread("random", "none", 10 * SERVICE_S, 200)
    ours = spread("two_choices", "outlier", 10 * SERVICE_S, 200)
    assert ours.mean_ms <= MAX_LATENCY_RATIO * blind.mean_ms


def test_member_newly_seen_is_sent_a_small_part_of_its_blind_share() -> None:
    blind = share_of_newcomer("random", 1.0)
    ours = share_of_newcomer("two_choices", 1.0)
    assert ours <= MAX_SHARE_OF_NEWCOMER * blind
