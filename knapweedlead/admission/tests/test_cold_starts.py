"""Cold starts: announced, unannounced, and the ramp after them."""

import pytest

from knapweedlead.admission import COLD_STARTS, RampColdStart, Sample

SLOTS, COLD_SLOTS, COLD_SECONDS = 150, 4, 10.0

GOOD = Sample(1.0, False, 1, 0.0)
SLOW = Sample(5.0, False, 1, 0.0)
FAILED = Sample(0.1, True, 1, 0.0)


def limits_over(policy, start, seconds):
    limits = []
    for step in range(round(seconds * 10)):
        now = start + step / 10
        policy.advance(now)
        policy.observe(GOOD, now)
        limits.append(policy.limit)
    return limits


@pytest.mark.parametrize("name", ["step", "ramp"])
def test_limit_is_the_cold_capacity_for_the_announced_time(name):
    policy = COLD_STARTS.create(
        name, slots=SLOTS, cold_slots=COLD_SLOTS, cold_start_s=COLD_SECONDS
    )
    policy.fire("start_seen", 0.0)
    assert set(limits_over(policy, 0.0, COLD_SECONDS)) == {COLD_SLOTS}


def test_ramp_never_doubles_the_limit_within_a_step():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    limits = limits_over(policy, 0.0, 20.0)
    assert limits[-1] == SLOTS
    assert all(b <= a * 1.5 + 1 for a, b in zip(limits, limits[1:], strict=False))
    assert policy.state == "warm"


def test_new_start_during_a_cold_start_begins_it_again():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    policy.fire("start_seen", 9.0)
    policy.advance(18.9)
    assert policy.limit == COLD_SLOTS


@pytest.mark.parametrize("bad", [SLOW, FAILED])
def test_sudden_loss_of_speed_counts_as_an_unannounced_turn_to_cold(bad):
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    for _ in range(100):
        policy.observe(GOOD, 0.0)
    for _ in range(12):
        policy.observe(bad, 1.0)
    assert policy.state == "cold"
    assert policy.limit == COLD_SLOTS


def test_one_slow_call_in_three_does_not_count_as_a_turn_to_cold():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    for step in range(300):
        policy.observe(SLOW if step % 3 == 0 else GOOD, step / 100)
    assert policy.state == "warm"


def test_ramp_steps_back_when_calls_slow_down():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    limits_over(policy, 0.0, 12.0)
    before = policy.limit
    for step in range(8):
        policy.observe(SLOW if step % 2 else GOOD, 12.0)
    policy.advance(13.0)
    assert COLD_SLOTS <= policy.limit <= before // 2
    assert policy.state == "ramping"


def test_ramp_waits_for_calls_that_show_what_the_server_bears():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    for step in range(1000):
        policy.advance(step / 10)
    assert (policy.state, policy.limit) == ("ramping", COLD_SLOTS)


def test_failures_in_the_ramp_begin_the_cold_start_again_for_twice_as_long():
    policy = RampColdStart(SLOTS, COLD_SLOTS, COLD_SECONDS)
    policy.fire("start_seen", 0.0)
    policy.advance(10.0)
    for _ in range(2):
        policy.observe(FAILED, 10.2)
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


def test_no_cold_time_means_no_cold_start():
    policy = RampColdStart(SLOTS, COLD_SLOTS, 0.0)
    policy.fire("start_seen", 0.0)
    assert policy.limit == SLOTS
