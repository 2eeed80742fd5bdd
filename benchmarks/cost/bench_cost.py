"""Regression bounds of the cost of a call, as ratios to the targets."""

from collections.abc import Iterator

import pytest

from benchmarks.cost._measure import (
    TARGET_P99_SECONDS,
    TARGET_PROCESSOR_SECONDS,
    Cost,
    measure_cost,
)
from benchmarks.cost._paths import Paths

RATE = 170.0
SECONDS = 6.0

MAX_PROCESSOR_RATIO = 3.0
MAX_LATENCY_RATIO = 4.0


@pytest.fixture(scope="module")
def cost() -> Iterator[Cost]:
    with Paths() as paths:
        yield measure_cost(paths, RATE, SECONDS)


def test_every_call_is_answered(cost: Cost) -> None:
    assert cost.direct.failed == cost.relay.failed == cost.daemons.failed == 0


def test_entry_stays_within_its_ratio_of_processor_time(cost: Cost) -> None:
    assert cost.entry_processor / TARGET_PROCESSOR_SECONDS < MAX_PROCESSOR_RATIO


def test_guard_stays_within_its_ratio_of_processor_time(cost: Cost) -> None:
    assert cost.guard_processor / TARGET_PROCESSOR_SECONDS < MAX_PROCESSOR_RATIO


def test_latency_added_over_bare_relays_stays_within_its_ratio(cost: Cost) -> None:
    assert cost.added_p99_over_relay / TARGET_P99_SECONDS < MAX_LATENCY_RATIO
