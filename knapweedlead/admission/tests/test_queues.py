"""Queues: order, fair shares, and which calls are displaced."""

import itertools
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.admission import QUEUES, PriorityFairQueue, QueuedCall

CAPACITY = 32


def call(run, account="crew", priority=5, weight=1.0, deadline=10.0):
    return QueuedCall(run, account, "wear", priority, weight, 0.0, deadline)


def pop_all(queue):
    popped = iter(lambda: queue.pop(0.0), None)
    return list(popped)


def test_important_call_displaces_the_least_important_one_of_a_full_queue():
    queue = PriorityFairQueue()
    for run in range(CAPACITY):
        queue.push(call(run, priority=9 if run == 3 else 5), CAPACITY, 0.0)
    displaced = queue.push(call(99, priority=0), CAPACITY, 0.0)
    assert displaced.run == 3
    assert queue.pop(0.0).run == 99


def test_important_call_is_not_displaced_while_a_less_important_one_is_queued():
    queue = PriorityFairQueue()
    runs = itertools.count()
    displaced = [
        queue.push(call(next(runs), priority=p), CAPACITY, 0.0)
        for p in [0, 5, 9] * 10 + [5] * 500 + [0] * 21
    ]
    refused = [queued for queued in displaced if queued is not None]
    assert {queued.priority for queued in refused} == {5, 9}
    assert all(queued.priority == 0 for queued in pop_all(queue)[:31])


def test_flood_of_one_account_displaces_no_calls_of_other_accounts():
    queue = PriorityFairQueue()
    for run in range(500):
        queue.push(call(run, "flood"), CAPACITY, 0.0)
    displaced = [queue.push(call(1000 + n, "quiet"), CAPACITY, 0.0) for n in range(10)]
    assert {queued.account for queued in displaced} == {"flood"}
    first = Counter(queued.account for queued in pop_all(queue)[:20])
    assert first["quiet"] == 10


@given(
    st.lists(st.sampled_from([0.5, 1.0, 2.0, 3.0]), min_size=2, max_size=5),
    st.integers(40, 200),
)
def test_backlogged_accounts_are_served_by_weight(weights, pops):
    queue = PriorityFairQueue()
    runs = itertools.count()
    for name, weight in enumerate(weights):
        for _ in range(pops):
            queue.push(call(next(runs), str(name), weight=weight), 10_000, 0.0)
    served = Counter(queue.pop(0.0).account for _ in range(pops))
    for name, weight in enumerate(weights):
        share = pops * weight / sum(weights)
        assert abs(served[str(name)] - share) <= len(weights) + 1


def test_idle_account_accumulates_no_share():
    queue = PriorityFairQueue()
    runs = itertools.count()
    for _ in range(100):
        queue.push(call(next(runs), "busy"), 1000, 0.0)
        queue.pop(0.0)
    for _ in range(50):
        queue.push(call(next(runs), "busy"), 1000, 0.0)
        queue.push(call(next(runs), "idle"), 1000, 0.0)
    served = Counter(queue.pop(0.0).account for _ in range(20))
    assert abs(served["idle"] - served["busy"]) <= 2


operations = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(0, 9), st.sampled_from("abc")),
        st.tuples(st.just("pop"), st.just(0), st.just("")),
        st.tuples(st.just("drop"), st.integers(0, 9), st.just("")),
    ),
    max_size=150,
)


@pytest.mark.parametrize("name", sorted(QUEUES.by_name))
@given(operations)
def test_each_call_leaves_a_queue_exactly_once(name, steps):
    queue = QUEUES.create(name)
    pushed, removed = [], []
    for run, (step, priority, account) in enumerate(steps):
        if step == "push":
            pushed.append(run)
            displaced = queue.push(call(run, account, priority), 8, 0.0)
            removed += [displaced] if displaced else []
        elif step == "pop":
            popped = queue.pop(0.0)
            removed += [popped] if popped else []
        else:
            removed += queue.remove_where(lambda c, p=priority: c.priority == p)
        assert len(queue) <= 8
    removed += pop_all(queue)
    assert len(queue) == 0
    assert sorted(queued.run for queued in removed) == pushed
