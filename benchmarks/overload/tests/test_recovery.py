"""Metastability: goodput recovers without intervention once the trigger has ended."""

import math

import pytest

from benchmarks.overload import measurements
from benchmarks.overload.variants import CURRENT

MODELS = sorted(measurements.MODEL_BY_NAME)

MAX_RECOVERY_SECONDS = 10.0


@pytest.mark.parametrize("model", MODELS)
def test_goodput_recovers_without_intervention_after_the_trigger(model):
    figures = measurements.metastability(model, CURRENT)
    assert figures.seconds <= MAX_RECOVERY_SECONDS
    assert figures.after >= 0.95 * figures.before


def test_goodput_recovers_although_slow_servers_were_classified_as_cold():
    figures = measurements.metastability(
        "granite-span", CURRENT, cold_start_s=4.0, slowdown=6.0
    )
    assert figures.seconds <= MAX_RECOVERY_SECONDS
    assert figures.after >= 0.95 * figures.before


@pytest.mark.parametrize("model", MODELS)
def test_uncontrolled_baseline_does_not_recover(model):
    figures = measurements.metastability(model, "uncontrolled")
    assert figures.before >= 0.95
    assert math.isinf(figures.seconds)
    assert figures.after < 0.5


@pytest.mark.parametrize("model", MODELS)
def test_control_wastes_a_fraction_of_the_work_of_the_baseline(model):
    current = measurements.metastability(model, CURRENT).wasted
    assert current <= 0.5 * measurements.metastability(model, "uncontrolled").wasted
