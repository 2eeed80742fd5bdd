"""Regression bounds of the escrowed meter; every run is seeded and exact."""

import pytest

from benchmarks.rates._measure import SCENARIOS, measure

CONTROL_BYTES_PER_S = 15_000

MOST_WRONGFUL_SHARE = {
    "one hot entry": 0.001,
    "moving between data centres": 0.001,
    "small rate": 0.0019,
    "large rate": 0.001,
    "five times the rate": 0.001,
    "owner lost": 0.125,
    "store gone for 10 minutes": 0.0025,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_wrongful_refusals_stay_rare_and_the_rate_holds(name: str) -> None:
    figures = measure(name, "escrowed")
    assert figures.over_rate == 0.0
    assert figures.wrongful_share <= MOST_WRONGFUL_SHARE[name]
    assert figures.bytes_per_s <= CONTROL_BYTES_PER_S / 2


def test_baselines_refuse_far_more_or_break_the_rate() -> None:
    hot = "one hot entry"
    assert measure(hot, "divided").wrongful_share >= 0.5
    assert measure("five times the rate", "local").over_rate > 1000.0
