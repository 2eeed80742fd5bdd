"""Regression bounds of the escrowed meter; runs are seeded and reproducible."""

import pytest

from benchmarks.rates._measure import SCENARIOS, measure

CONTROL_BYTES_PER_S = 15_000

MAX_WRONGFUL_SHARE = {
    "one hot entry": 0.001,
    "moving between data centres": 0.001,
    "small rate": 0.0019,
    "large rate": 0.001,
    "five times the rate": 0.001,
    "owner lost": 0.125,
    "store down for 10 minutes": 0.0025,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_wrongful_refusals_stay_rare_and_the_rate_is_not_exceeded(name: str) -> None:
    figures = measure(name, "escrowed")
    assert figures.max_excess == 0.0
    assert figures.wrongful_share <= MAX_WRONGFUL_SHARE[name]
    assert figures.bytes_per_s <= CONTROL_BYTES_PER_S / 2


def test_baselines_refuse_far_more_or_exceed_the_rate() -> None:
    hot = "one hot entry"
    assert measure(hot, "divided").wrongful_share >= 0.5
    assert measure("five times the rate", "local").max_excess > 1000.0
