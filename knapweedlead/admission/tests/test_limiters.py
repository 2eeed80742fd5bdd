"""The adaptive limit in front of a server whose capacity changes."""

import random

import pytest

from knapweedlead.admission import AdaptiveLimiter, Sample

SLOTS = 100


def observe_samples(limiter, capacity, seconds, start, rng, sensitivity=1.0):
    """Observe samples of a server that slows down in proportion to excess calls.

    Returns the time after the last sample, in seconds.
    """
    now = start
    while now < start + seconds:
        in_flight = limiter.limit
        contention = max(1.0, in_flight / capacity) ** sensitivity
        slowdown = contention * rng.lognormvariate(0.0, 0.4)
        limiter.observe(Sample(slowdown, False, in_flight, now), now)
        now += 0.002
    return now


@pytest.mark.parametrize("capacity", [20, 40, 60])
def test_limit_follows_the_capacity_of_the_server_down_and_up(capacity):
    limiter, rng = AdaptiveLimiter(SLOTS), random.Random(1)
    now = observe_samples(limiter, SLOTS, 3.0, 0.0, rng)
    assert limiter.limit == SLOTS
    now = observe_samples(limiter, capacity, 5.0, now, rng)
    assert 0.8 * capacity <= limiter.limit <= 1.8 * capacity
    observe_samples(limiter, SLOTS, 8.0, now, rng)
    assert limiter.limit >= 0.9 * SLOTS


def test_limit_is_restored_if_slowness_does_not_depend_on_it():
    limiter, rng = AdaptiveLimiter(SLOTS), random.Random(2)
    now = 0.0
    limits = []
    while now < 20.0:
        slowdown = 2.5 * rng.lognormvariate(0.0, 0.4)
        limiter.observe(Sample(slowdown, False, limiter.limit, now), now)
        limits.append(limiter.limit)
        now += 0.002
    assert min(limits[len(limits) // 2 :]) >= 0.9 * SLOTS


def test_failures_lower_the_limit_to_a_minimum_above_zero():
    limiter = AdaptiveLimiter(SLOTS)
    for step in range(20_000):
        limiter.observe(Sample(0.1, True, limiter.limit, step * 0.01), step * 0.01)
    assert limiter.limit == 5
