"""The adaptive limit against a server whose capacity falls."""

import random

import pytest

from knapweedlead.admission import AdaptiveLimiter, Sample

SLOTS = 100


def feed(limiter, capacity, seconds, start, rng, sensitivity=1.0):
    """Feed samples of a server that slows down in proportion above capacity."""
    now = start
    while now < start + seconds:
        in_flight = limiter.limit
        crowding = max(1.0, in_flight / capacity) ** sensitivity
        slowdown = crowding * rng.lognormvariate(0.0, 0.4)
        limiter.observe(Sample(slowdown, False, in_flight, now), now)
        now += 0.002
    return now


@pytest.mark.parametrize("capacity", [20, 40, 60])
def test_limit_falls_to_what_a_weakened_server_bears_and_rises_again(capacity):
    limiter, rng = AdaptiveLimiter(SLOTS), random.Random(1)
    now = feed(limiter, SLOTS, 3.0, 0.0, rng)
    assert limiter.limit == SLOTS
    now = feed(limiter, capacity, 5.0, now, rng)
    assert 0.8 * capacity <= limiter.limit <= 1.8 * capacity
    feed(limiter, SLOTS, 8.0, now, rng)
    assert limiter.limit >= 0.9 * SLOTS


def test_slowness_that_fewer_calls_do_not_mend_keeps_the_limit():
    limiter, rng = AdaptiveLimiter(SLOTS), random.Random(2)
    now = 0.0
    limits = []
    while now < 20.0:
        slowdown = 2.5 * rng.lognormvariate(0.0, 0.4)
        limiter.observe(Sample(slowdown, False, limiter.limit, now), now)
        limits.append(limiter.limit)
        now += 0.002
    assert min(limits[len(limits) // 2 :]) >= 0.9 * SLOTS


def test_failures_lower_the_limit_but_never_to_nothing():
    limiter = AdaptiveLimiter(SLOTS)
    for step in range(20_000):
        limiter.observe(Sample(0.1, True, limiter.limit, step * 0.01), step * 0.01)
    assert limiter.limit == 5
