"""Removal of queued calls, e.g. of callers who disconnect."""

import random
import time

import pytest

from knapweedlead.admission import QUEUES, QueuedCall

MANY = 4000
MAX_SECONDS = 0.1
"""Processor time for the removal of all calls of a long queue."""


def make_call(run, account="a", priority=1):
    return QueuedCall(run, account, "r", priority, 1.0, 0.0, 9.0)


@pytest.fixture(params=sorted(QUEUES.by_name))
def queue(request):
    return QUEUES.create(request.param)


def test_removed_calls_are_not_served_and_the_others_are(queue):
    rng = random.Random(3)
    calls = [make_call(n, rng.choice("abc"), rng.randrange(3)) for n in range(200)]
    for call in calls:
        assert queue.push(call, 1000, 0.0) is None
    removed = rng.sample(calls, 100)
    for call in removed:
        assert queue.remove(call.run) == call
        assert queue.remove(call.run) is None
    assert len(queue) == 100
    assert {queue.pop(0.0) for _ in range(100)} == set(calls) - set(removed)
    assert queue.pop(0.0) is None


def test_disconnect_of_all_callers_does_not_occupy_the_event_loop(queue):
    # Guards against a scan of the whole queue for each caller who disconnects.
    for run in range(MANY):
        queue.push(make_call(run, f"a{run % 8}"), MANY, 0.0)
    started_at = time.process_time()
    for run in reversed(range(MANY)):
        queue.remove(run)
    assert time.process_time() - started_at < MAX_SECONDS
    assert len(queue) == 0


def test_long_queue_is_served_in_time_proportional_to_its_length(queue):
    for run in range(MANY):
        queue.push(make_call(run), MANY, 0.0)
    started_at = time.process_time()
    served = [queue.pop(0.0).run for _ in range(MANY)]
    assert time.process_time() - started_at < MAX_SECONDS
    assert served == list(range(MANY))


def test_full_queue_stays_within_its_capacity_after_removals(queue):
    for run in range(10):
        queue.push(make_call(run), 10, 0.0)
    assert queue.push(make_call(10), 10, 0.0) is not None
    queue.remove(3)
    assert queue.push(make_call(11), 10, 0.0) is None
    assert len(queue) == 10
