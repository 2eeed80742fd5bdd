"""Regression bounds of the cost of slots and once claims."""

from benchmarks.ownership._measure import measure
from benchmarks.ownership._once import measure as measure_once


def test_store_calls_do_not_grow_with_the_fleet() -> None:
    small, large = measure(6), measure(24)
    assert large.writes_per_s <= 1.2 * small.writes_per_s
    assert large.reads_per_s <= 1.2 * small.reads_per_s + 24 * 0.1


def test_heartbeats_stay_a_small_part_of_the_control_budget() -> None:
    assert measure(6).bytes_per_s <= 15_000 / 4


def test_only_durable_claims_write_to_the_store() -> None:
    assert measure_once(is_durable=False).store_writes == 0.0
    assert measure_once(is_durable=True).store_writes == 1.0
