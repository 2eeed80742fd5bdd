"""Repetition of the daemon's steps."""

import asyncio

from knapweedlead.sidecar._periodic import PeriodicSteps

PERIOD = 0.001


async def test_exception_ends_the_repetition_of_a_step():
    faults = []
    times = []
    steps = PeriodicSteps(lambda: 5.0, lambda name, error: faults.append((name, error)))

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
    steps = PeriodicSteps(lambda: 5.0, lambda name, error: None)
    steps.start("checked", PERIOD, times.append)
    await asyncio.sleep(5 * PERIOD)
    steps.cancel()
    count = len(times)
    await asyncio.sleep(5 * PERIOD)
    assert 0 < count == len(times)
