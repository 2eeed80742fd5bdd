"""Regression bounds of membership, relative to targets and fleet size."""

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
"""Bound on the growth of cost per daemon, or at the store, at four times the size."""
MAX_CRASH_SECONDS = 5.0
MAX_FREEZE_SECONDS = 12.0


@pytest.fixture(scope="module")
def heartbeats() -> dict[int, Heartbeats]:
    return {count: measure_heartbeats(count, 1) for count in (SMALL, LARGE)}


def test_heartbeats_stay_far_below_the_traffic_budget(
    heartbeats: dict[int, Heartbeats],
) -> None:
    largest = heartbeats[LARGE]
    assert largest.max_bytes_per_s / TARGET_BYTES_PER_S < MAX_BYTES_RATIO


def test_cost_per_daemon_does_not_grow_with_the_fleet(
    heartbeats: dict[int, Heartbeats],
) -> None:
    growth = heartbeats[LARGE].bytes_per_s / heartbeats[SMALL].bytes_per_s
    assert growth < MAX_GROWTH


def test_store_calls_do_not_grow_with_the_fleet(
    heartbeats: dict[int, Heartbeats],
) -> None:
    growth = heartbeats[LARGE].store_calls_per_s / heartbeats[SMALL].store_calls_per_s
    assert growth < MAX_GROWTH


@pytest.mark.parametrize(
    ("is_crash", "bound"), [(True, MAX_CRASH_SECONDS), (False, MAX_FREEZE_SECONDS)]
)
def test_lost_member_is_detected_by_all_daemons_in_time(
    is_crash: bool, bound: float
) -> None:
    detections = measure_detection(SMALL, 1, is_crash)
    assert max(detection.last_s for detection in detections) < bound
