"""Regression bounds of membership, as ratios to the targets and by size."""

import pytest

from benchmarks.control import TARGET_BYTES_PER_S
from benchmarks.membership._measure import (
    Heartbeats,
    measure_detection,
    measure_heartbeats,
)

SMALL, LARGE = 20, 80
MAX_BYTES_RATIO = 0.05
MAX_GROWTH = 1.5
"""Bound on what four times the fleet costs a daemon, or the store."""
MAX_CRASH_SECONDS = 5.0
MAX_FREEZE_SECONDS = 12.0


@pytest.fixture(scope="module")
def heartbeats() -> dict[int, Heartbeats]:
    return {count: measure_heartbeats(count, 1) for count in (SMALL, LARGE)}


def test_heartbeats_stay_far_below_the_budget(
    heartbeats: dict[int, Heartbeats],
) -> None:
    largest = heartbeats[LARGE]
    assert largest.most_bytes_per_s / TARGET_BYTES_PER_S < MAX_BYTES_RATIO


def test_cost_of_a_daemon_does_not_grow_with_the_fleet(
    heartbeats: dict[int, Heartbeats],
) -> None:
    growth = heartbeats[LARGE].bytes_per_s / heartbeats[SMALL].bytes_per_s
    assert growth < MAX_GROWTH


def test_calls_to_the_store_do_not_grow_with_the_fleet(
    heartbeats: dict[int, Heartbeats],
) -> None:
    growth = heartbeats[LARGE].store_calls_per_s / heartbeats[SMALL].store_calls_per_s
    assert growth < MAX_GROWTH


@pytest.mark.parametrize(
    ("is_crash", "bound"), [(True, MAX_CRASH_SECONDS), (False, MAX_FREEZE_SECONDS)]
)
def test_lost_member_is_known_everywhere_in_time(is_crash: bool, bound: float) -> None:
    found = measure_detection(SMALL, 1, is_crash)
    assert max(one.last for one in found) < bound
