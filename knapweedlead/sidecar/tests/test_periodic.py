"""Repetition of the daemon's steps."""

import asyncio

import pytest

from knapweedlead.sidecar._periodic import PeriodicSteps

PERIOD = 0.001


async def test_exception_ends_the_repetition_of_a_step():
    faults = []
    times = []
    steps = PeriodicSteps(
        lambda: 5.0,
        lambda name, error: faults.append((name, error)),
        lambda name, took, late: None,
    )

    def fail_first(now):
        times.append(now)
        if len(times) == 1:
            raise ValueError("first")

    steps.start("checked", PERIOD, fail_first)
    while len(times) < 3:
        await asyncio.sleep(PERIOD)
    steps.cancel()
    assert [(name, str(error)) for name, error in faults] == [("checked", "first")]
    assert set(times) == {5.0}


async def test_cancelled_steps_are_not_repeated():
    times = []
    steps = PeriodicSteps(
        lambda: 5.0, lambda name, error: None, lambda name, took, late: None
    )
    steps.start("checked", PERIOD, times.append)
    await asyncio.sleep(5 * PERIOD)
    steps.cancel()
    count = len(times)
    await asyncio.sleep(5 * PERIOD)
    assert 0 < count == len(times)


async def test_step_that_occupies_the_event_loop_is_reported_with_its_duration():
    # Guards against a daemon that stands still without a line that tells in which step.
    now = 5.0
    slow = []
    times = []
    other_times = []

    def occupy_once(at):
        nonlocal now
        times.append(at)
        now += 2.0 * (len(times) == 2)

    steps = PeriodicSteps(
        lambda: now,
        lambda name, error: None,
        lambda name, took, late: slow.append((name, took, late)),
    )
    steps.start("busy", PERIOD, occupy_once)
    steps.start("other", 3 * PERIOD, other_times.append)
    while min(len(times), len(other_times)) < 5:
        await asyncio.sleep(PERIOD)
    steps.cancel()
    by_step = {name: (took, late) for name, took, late in slow}
    assert by_step["busy"][0] == pytest.approx(2.0)
    assert by_step["other"][1] == pytest.approx(2.0, abs=10 * PERIOD)
    assert len(slow) == 2
