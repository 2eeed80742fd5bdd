"""A cold start of a backend server under load."""

from benchmarks.overload import measurements
from benchmarks.overload.variants import CURRENT

LONGER_COLD_SECONDS = 1.5 * measurements.COLD_SECONDS
"""Exceeds the cold start duration in the settings."""


def test_announced_cold_start_receives_no_more_than_its_cold_capacity():
    assert measurements.cold_start("static, fair", True).overruns > 0
    assert measurements.cold_start(CURRENT, True).overruns == 0


def test_announced_cold_start_fails_no_requests():
    assert measurements.cold_start(CURRENT, True).served >= 0.99


def test_unannounced_cold_start_is_detected_before_it_recurs():
    figures = measurements.cold_start(CURRENT, False)
    assert figures.seconds_cold <= 2.0 * measurements.COLD_SECONDS
    assert (
        figures.overruns
        <= measurements.cold_start("adaptive, step", False).overruns / 2
    )


def test_cold_start_longer_than_its_setting_recovers_under_load():
    step = measurements.cold_start("adaptive, step", True, LONGER_COLD_SECONDS)
    ramp = measurements.cold_start(CURRENT, True, LONGER_COLD_SECONDS)
    assert step.seconds_cold >= measurements.COLD_LIMIT_SECONDS
    assert ramp.seconds_cold <= 3.0 * LONGER_COLD_SECONDS
    assert ramp.overruns <= 0.2 * step.overruns
