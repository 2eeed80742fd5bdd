"""Metastability: goodput returns by itself after its trigger has ended."""

import math

import pytest

from benchmarks.overload import stories
from benchmarks.overload.variants import PRESENT

MODELS = sorted(stories.MODEL_BY_NAME)

MAX_RECOVERY_SECONDS = 10.0


@pytest.mark.parametrize("model", MODELS)
def test_goodput_returns_by_itself_after_the_trigger(model):
    figures = stories.metastability(model, PRESENT)
    assert figures.seconds <= MAX_RECOVERY_SECONDS
    assert figures.after >= 0.95 * figures.before


def test_goodput_returns_although_slow_servers_were_taken_for_cold():
    figures = stories.metastability(
        "granite-span", PRESENT, cold_start_s=4.0, slowdown=6.0
    )
    assert figures.seconds <= MAX_RECOVERY_SECONDS
    assert figures.after >= 0.95 * figures.before


@pytest.mark.parametrize("model", MODELS)
def test_uncontrolled_baseline_stays_down(model):
    figures = stories.metastability(model, "uncontrolled")
    assert figures.before >= 0.95
    assert math.isinf(figures.seconds)
    assert figures.after < 0.5


@pytest.mark.parametrize("model", MODELS)
def test_control_wastes_a_fraction_of_the_work_of_the_baseline(model):
    present = stories.metastability(model, PRESENT).wasted
    assert present <= 0.5 * stories.metastability(model, "uncontrolled").wasted
