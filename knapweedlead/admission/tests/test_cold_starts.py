"""Announced and unannounced cold starts, and the ramp that follows them."""

import pytest

from knapweedlead.admission import COLD_STARTS, RampColdStart, Sample

SLOTS, COLD_SLOTS, COLD_SECONDS = 150, 4, 10.0

FAST_SAMPLE = Sample(1.0, False, 1, 0.0)
SLOW_SAMPLE = Sample(5.0, False, 1, 0.0)
FAILED_SAMPLE = Sample(0.1, True, 1, 0.0)


def observe_limits(policy, start, seconds):
    limits = []
    for step in range(round(seconds * 10)):
        now = start + step / 10
        policy.advance(now)
        policy.observe(FAST_SAMPLE, now)
        limits.append(policy.limit)
    return limits


@pytest.mark.parametrize("name", ["step", "ramp"])
def test_limit_equals_the_cold_slots_during_the_announced_time(name):
    policy = COLD_STARTS.create(
        name, slots=SLOTS, cold_slots=COLD_SLOTS, cold_start_s=COLD_SECONDS
    )
    policy.fire("start_seen", 0.0)
    assert set(observe_limits(policy, 0.0, COLD_SECONDS)) == {COLD_SLOTS}


def test_ramp_raises_the_limit_by_at_most_half_per_step():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    limits = observe_limits(policy, 0.0, 20.0)
    assert limits[-1] == SLOTS
    assert all(b <= a * 1.5 + 1 for a, b in zip(limits, limits[1:], strict=False))
    assert policy.state == "warm"


def test_restart_during_a_cold_start_restarts_its_time():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    policy.fire("start_seen", 9.0)
    policy.advance(18.9)
    assert policy.limit == COLD_SLOTS


@pytest.mark.parametrize("bad", [SLOW_SAMPLE, FAILED_SAMPLE])
def test_sudden_slowness_or_failures_begin_an_unannounced_cold_start(bad):
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    for _ in range(100):
        policy.observe(FAST_SAMPLE, 0.0)
    for _ in range(12):
        policy.observe(bad, 1.0)
    assert policy.state == "cold"
    assert policy.limit == COLD_SLOTS


def test_one_slow_call_in_three_begins_no_cold_start():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    for step in range(300):
        policy.observe(SLOW_SAMPLE if step % 3 == 0 else FAST_SAMPLE, step / 100)
    assert policy.state == "warm"


def test_ramp_steps_back_when_calls_slow_down():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    observe_limits(policy, 0.0, 12.0)
    before = policy.limit
    for step in range(8):
        policy.observe(SLOW_SAMPLE if step % 2 else FAST_SAMPLE, 12.0)
    policy.advance(13.0)
    assert COLD_SLOTS <= policy.limit <= before // 2
    assert policy.state == "ramping"


def test_ramp_does_not_raise_the_limit_without_calls():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    for step in range(1000):
        policy.advance(step / 10)
    assert (policy.state, policy.limit) == ("ramping", COLD_SLOTS)


def test_failures_in_the_ramp_restart_the_cold_start_for_twice_as_long():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    policy.advance(10.0)
    for _ in range(2):
        policy.observe(FAILED_SAMPLE, 10.2)
    policy.advance(10.5)
    assert policy.state == "cold"
    policy.advance(30.4)
    assert policy.state == "cold"
    policy.advance(30.5)
    assert policy.state == "ramping"


def test_drain_keeps_the_limit_of_the_cold_start():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    policy.fire("drain_requested", 1.0)
    policy.advance(100.0)
    assert (policy.state, policy.limit) == ("draining", COLD_SLOTS)
    policy.fire("work_finished", 101.0)
    assert policy.state == "drained"


def test_cold_start_time_of_zero_disables_cold_starts():
    policy = RampColdStart(SLOTS, COLD_SLOTS, 0.0)
    policy.fire("start_seen", 0.0)
    assert policy.limit == SLOTS
