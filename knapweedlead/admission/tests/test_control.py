"""Admission control: slots, reserve, deadlines, typical times, refused priorities."""

from knapweedlead.admission import (
    NO_PRIORITY_REFUSED,
    AdmissionControl,
    CallMeasurement,
    QueuedCall,
    RouteTimes,
)

SLOTS = 80


def call(run, priority=5, account="crew", arrived_at=0.0, deadline=10.0):
    return QueuedCall(run, account, "wear", priority, 1.0, arrived_at, deadline)


def start_all(control, now=0.0):
    started = list(iter(lambda: control.dequeue(now), None))
    for queued in started:
        control.record_started(queued, now)
    return started


def measurement(seconds, has_children=False, self_s=None, is_answered=True):
    own = seconds if self_s is None else self_s
    return CallMeasurement("wear", own, seconds, has_children, False, is_answered)


def test_unimportant_calls_leave_reserved_slots_to_important_calls():
    control = AdmissionControl(SLOTS, 4, 0.0)
    control.offer(call(0, priority=0), 0.0)
    for run in range(1, 200):
        control.offer(call(run), 0.0)
    assert len(start_all(control)) == SLOTS - 2
    control.offer(call(500, priority=0), 0.0)
    assert [queued.run for queued in start_all(control)] == [500]


def test_no_slot_is_reserved_without_important_calls():
    control = AdmissionControl(SLOTS, 4, 0.0)
    for run in range(200):
        control.offer(call(run), 0.0)
    assert len(start_all(control)) == SLOTS


def test_call_with_less_than_the_typical_time_left_is_not_worth_starting():
    control = AdmissionControl(SLOTS, 4, 0.0)
    for run in range(400):
        now = run / 100
        control.offer(call(run), now)
        control.dequeue(now)
        control.end(run, measurement(0.1), now)
    late = call(1000, arrived_at=4.0, deadline=5.0)
    assert control.is_worth_starting(late, 4.0)
    assert not control.is_worth_starting(late, 4.95)


def test_call_that_just_arrived_is_worth_starting_on_a_slow_route():
    control = AdmissionControl(SLOTS, 4, 0.0)
    for run in range(200):
        now = run / 50
        control.offer(call(run), now)
        control.dequeue(now)
        control.end(run, measurement(30.0), now)
    assert control.is_worth_starting(call(1000, arrived_at=5.0, deadline=6.0), 5.0)


def test_slow_child_calls_do_not_lower_the_limit():
    control = AdmissionControl(SLOTS, 4, 10.0)
    for run in range(2000):
        now = run / 100
        child_s = 0.02 if run < 500 else 4.0
        control.offer(call(run, deadline=now + 10.0), now)
        control.dequeue(now)
        control.end(run, measurement(0.05 + child_s, True, self_s=0.05), now)
    assert control.limit == SLOTS
    assert not control.is_cold


def test_priority_is_reported_as_refused_only_while_none_of_it_is_started():
    control = AdmissionControl(20, 4, 0.0)
    for run in range(60):
        control.offer(call(run, priority=5), 0.0)
        start_all(control, 0.0)
    assert control.refused_priorities.threshold(0.1) == NO_PRIORITY_REFUSED
    for run in range(100, 160):
        control.offer(call(run, priority=1), 1.0)
    assert control.refused_priorities.threshold(1.1) == 1
    assert control.refused_priorities.threshold(2.0) == NO_PRIORITY_REFUSED


def test_typical_time_is_unaffected_by_one_slow_period():
    times = RouteTimes()
    for step in range(3000):
        now = step / 100
        times.add("wear", 0.5 if now > 24.0 else 0.05, now)
    assert times.typical("wear") == 0.05


def test_typical_time_is_unaffected_by_slowness_under_a_lowered_limit():
    times = RouteTimes()
    for step in range(20_000):
        now = step / 100
        is_limited = now > 10.0
        times.add("wear", 0.08 if is_limited else 0.05, now, is_limited)
    assert times.typical("wear") == 0.05


def test_number_of_tracked_routes_is_bounded():
    times = RouteTimes()
    for number in range(5000):
        times.add(f"route-{number}", 1.0, 0.0)
    assert len(times) <= 256
