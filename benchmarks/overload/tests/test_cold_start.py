"""A backend server turns cold under load."""

from benchmarks.overload import stories
from benchmarks.overload.variants import PRESENT

LONGER_COLD_SECONDS = 1.5 * stories.COLD_SECONDS
"""A cold start that lasts longer than the settings say."""


def test_announced_cold_start_receives_no_more_than_it_bears():
    assert stories.cold_start("static, fair", True).overruns > 0
    assert stories.cold_start(PRESENT, True).overruns == 0


def test_announced_cold_start_costs_no_requests():
    assert stories.cold_start(PRESENT, True).served >= 0.99


def test_unannounced_turn_to_cold_is_noticed_before_it_repeats():
    figures = stories.cold_start(PRESENT, False)
    assert figures.seconds_cold <= 2.0 * stories.COLD_SECONDS
    assert figures.overruns <= stories.cold_start("adaptive, step", False).overruns / 2


def test_cold_start_that_outlasts_its_settings_is_not_knocked_over_for_long():
    step = stories.cold_start("adaptive, step", True, LONGER_COLD_SECONDS)
    ramp = stories.cold_start(PRESENT, True, LONGER_COLD_SECONDS)
    assert step.seconds_cold >= stories.COLD_LIMIT_SECONDS
    assert ramp.seconds_cold <= 3.0 * LONGER_COLD_SECONDS
    assert ramp.overruns <= 0.2 * step.overruns
