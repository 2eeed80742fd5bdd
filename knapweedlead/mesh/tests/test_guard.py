"""Guarantees of the guard: which calls the local backend server receives."""

import math

import pytest

from knapweedlead.mesh import Failure, Reason, ServerNotice
from knapweedlead.mesh.tests.harness import (
    OK,
    GuardHarness,
    make_configuration,
    make_report,
)


def test_no_more_calls_run_than_the_server_has_slots():
    harness = GuardHarness()
    for _ in range(5):
        harness.offer(100.0)
    assert len(harness.runner.started) == 2
    harness.guard.answered(harness.runner.started[0], OK, 100.1)
    assert len(harness.runner.started) == 3


def test_draining_server_receives_no_calls():
    harness = GuardHarness()
    harness.guard.apply_report(make_report(sequence=2, is_draining=True), 100.5)
    harness.offer(100.6)
    assert harness.runner.started == []
    assert harness.sender.failures[0][1] == Failure(Reason.DRAINING, False)


def test_queued_calls_are_refused_as_not_run_when_the_server_drains():
    harness = GuardHarness()
    for _ in range(3):
        harness.offer(100.0)
    harness.guard.record_leave("i-1", 100.1)
    ((_, failure),) = harness.sender.failures
    assert failure.reason is Reason.DRAINING
    assert not failure.may_have_run


def test_server_that_states_in_an_answer_that_it_leaves_receives_no_calls():
    harness = GuardHarness(slots=1)
    ticket = harness.offer(100.0)
    harness.offer(100.0)
    harness.guard.answered(ticket, OK, 100.1, ServerNotice(math.inf, True))
    harness.guard.apply_report(make_report(sequence=2), 100.2)
    harness.offer(100.3)
    assert harness.runner.started == [ticket]
    reasons = [failure.reason for _, failure in harness.sender.failures]
    assert reasons == [Reason.DRAINING, Reason.DRAINING]


def test_next_start_of_a_server_that_stated_that_it_leaves_receives_calls():
    harness = GuardHarness()
    ticket = harness.offer(100.0)
    harness.guard.answered(ticket, OK, 100.1, ServerNotice(math.inf, True))
    harness.guard.apply_report(make_report(born=2000), 103.0)
    harness.offer(103.1)
    assert len(harness.runner.started) == 2


def test_entries_learn_that_a_server_leaves_before_they_pass_on_the_answer():
    events = []
    harness = GuardHarness()
    harness.guard.on_change = lambda: events.append("state")
    harness.sender.answered = lambda ticket, answer: events.append("answer")
    ticket = harness.offer(100.0)
    harness.guard.answered(ticket, OK, 100.1, ServerNotice(math.inf, True))
    assert events == ["state", "answer"]


def test_late_heartbeat_of_an_earlier_start_is_ignored():
    harness = GuardHarness()
    harness.guard.apply_report(make_report(instance="i-2", born=2000), 101.0)
    is_applied = harness.guard.apply_report(
        make_report(sequence=9, is_draining=True), 101.1
    )
    assert not is_applied
    assert harness.guard.state(101.2).instance == "i-2"
    assert harness.guard.state(101.2).is_open


def test_heartbeat_out_of_order_is_ignored():
    harness = GuardHarness(sequence=5)
    assert not harness.guard.apply_report(make_report(sequence=4, slots=99), 100.1)
    assert harness.guard.limit == 2


def test_new_start_under_the_same_name_is_open_again():
    harness = GuardHarness()
    harness.guard.record_leave("i-1", 100.1)
    harness.guard.apply_report(make_report(born=2000), 105.0)
    assert harness.guard.state(105.0).is_open


def test_cold_server_receives_no_more_than_its_rate_in_any_second():
    harness = GuardHarness(slots=1000, cold_remaining=30.0)
    started_at = []
    for step in range(3000):
        now = 100.0 + step * 0.003
        before = len(harness.runner.started)
        harness.offer(now)
        if len(harness.runner.started) > before:
            started_at.append(now)
            harness.guard.answered(harness.runner.started[-1], OK, now + 0.001)
    for start in started_at:
        assert sum(start <= at < start + 1.0 for at in started_at) <= 40


def test_restarted_daemon_does_not_repeat_the_burst_to_a_cold_server():
    started_at = []
    for process_start in (99.0, 101.0):
        harness = GuardHarness(
            now=process_start + 0.2,
            started_at=process_start,
            slots=1000,
            cold_remaining=30.0,
        )
        for step in range(180):
            now = process_start + 0.2 + 0.01 * step
            before = len(harness.runner.started)
            harness.offer(now)
            for ticket in harness.runner.started[before:]:
                started_at.append(now)
                harness.guard.answered(ticket, OK, now + 0.005)
    for start in started_at:
        assert sum(start <= at < start + 1.0 for at in started_at) <= 40


def play_first_second(harness, process_start):
    """Offer 100 calls a second; return the times in the first second they are sent."""
    started_at = []
    for step in range(100):
        now = process_start + 0.01 * step
        before = len(harness.runner.started)
        harness.offer(now)
        for ticket in harness.runner.started[before:]:
            started_at.append(now - process_start)
            harness.guard.answered(ticket, OK, now + 0.005)
    return started_at


def test_callers_wait_a_second_for_a_cold_server_that_no_earlier_process_knew():
    harness = GuardHarness(started_at=100.0, age=0.3, slots=47, cold_remaining=3.0)
    started_at = play_first_second(harness, 100.0)
    assert len(started_at) == 40
    assert started_at[0] == 0.0


@pytest.mark.parametrize(
    ("age", "heartbeat_period"),
    [
        (0.8, 1.5),
        (0.3, 0.5),
        (20.0, 1.5),
        (-0.5, 1.5),
        (math.inf, 1.5),
        (math.nan, 1.5),
    ],
)
def test_cold_server_that_an_earlier_process_may_have_known_is_sent_a_second_burst(
    age, heartbeat_period
):
    harness = GuardHarness(
        started_at=100.0,
        age=age,
        heartbeat_period=heartbeat_period,
        slots=47,
        cold_remaining=3.0,
    )
    assert not play_first_second(harness, 100.0)


def test_server_that_becomes_cold_is_limited_with_earlier_calls_counted():
    harness = GuardHarness(slots=1000)
    for _ in range(100):
        harness.offer(100.0)
    harness.guard.apply_report(make_report(sequence=2, cold_remaining=5.0), 100.2)
    harness.offer(100.3)
    assert len(harness.runner.started) == 100


def test_server_of_a_returned_data_centre_counts_as_cold_until_it_reports():
    harness = GuardHarness()
    configuration = make_configuration()
    harness.guard.apply_configuration(configuration, frozenset({"north"}), 101.0)
    harness.offer(101.1)
    assert harness.sender.failures[0][1].reason is Reason.OUT_OF_SERVICE
    harness.guard.apply_configuration(configuration, frozenset(), 102.0)
    assert harness.guard.is_cold(102.1)
    harness.guard.apply_report(make_report(sequence=2), 102.5)
    assert not harness.guard.is_cold(102.6)


def test_server_that_refuses_connections_receives_no_calls_until_it_reports():
    harness = GuardHarness()
    ticket = harness.offer(100.0)
    harness.guard.failed(ticket, Failure(Reason.UNREACHABLE, False), 100.1)
    harness.offer(100.2)
    assert len(harness.runner.started) == 1
    harness.guard.apply_report(make_report(sequence=2), 101.0)
    harness.offer(101.1)
    assert len(harness.runner.started) == 2


def test_server_without_heartbeats_is_closed():
    harness = GuardHarness()
    assert harness.guard.state(103.0).is_open
    assert not harness.guard.state(105.0).is_open


def test_server_that_answers_stays_open_while_its_heartbeats_are_late():
    harness = GuardHarness()
    ticket = harness.offer(103.0)
    harness.guard.answered(ticket, OK, 103.1)
    assert harness.guard.state(106.0).is_open


def test_stalled_server_receives_no_calls_until_it_answers():
    harness = GuardHarness(slots=10)
    tickets = [harness.offer(100.5) for _ in range(4)]
    harness.guard.tick(101.2)
    assert not harness.guard.state(101.2).is_open
    harness.guard.answered(tickets[0], OK, 101.3)
    assert harness.guard.state(101.3).is_open


def test_slow_server_does_not_count_as_stalled():
    harness = GuardHarness(slots=10)
    harness.guard.monitor.service_time = 0.5
    for _ in range(4):
        harness.offer(100.5)
    harness.guard.tick(102.0)
    assert harness.guard.state(102.0).is_open


def test_server_of_another_service_at_the_address_receives_no_calls():
    harness = GuardHarness()
    harness.guard.apply_report(make_report(service="other", born=2000), 100.1)
    harness.offer(100.2)
    assert harness.runner.started == []


def test_queued_call_past_its_deadline_is_refused_as_not_run():
    harness = GuardHarness()
    for _ in range(2):
        harness.offer(100.0)
    late = harness.offer(100.0, deadline=100.3)
    harness.guard.tick(100.4)
    assert harness.sender.failures == [
        (late, Failure(Reason.QUEUE_TIMEOUT, False, retry_after=0.0))
    ]


def test_important_call_is_started_before_an_earlier_one():
    harness = GuardHarness()
    first, _ = harness.offer(100.0), harness.offer(100.0)
    harness.offer(100.0, priority=20)
    important = harness.offer(100.0, priority=0)
    harness.guard.answered(first, OK, 100.1)
    assert harness.runner.started[-1] is important


def test_cancelled_call_frees_its_place_in_the_queue():
    harness = GuardHarness()
    first, _ = harness.offer(100.0), harness.offer(100.0)
    queued = harness.offer(100.0)
    harness.guard.cancel(queued, 100.1)
    harness.guard.answered(first, OK, 100.2)
    assert len(harness.runner.started) == 2
    assert harness.sender.failures == []


@pytest.mark.parametrize(("is_idempotent", "cancelled"), [(True, 1), (False, 0)])
def test_running_call_is_cancelled_only_if_it_is_idempotent(is_idempotent, cancelled):
    harness = GuardHarness()
    ticket = harness.offer(100.0, is_idempotent=is_idempotent)
    harness.guard.cancel(ticket, 100.1)
    assert len(harness.runner.cancelled) == cancelled


def test_full_queue_refuses_the_least_important_call():
    harness = GuardHarness(slots=1)
    harness.guard.monitor.service_time = 10.0
    harness.offer(100.0)
    tickets = [harness.offer(100.0, priority=30) for _ in range(4)]
    important = harness.offer(100.0, priority=0)
    ((refused, failure),) = harness.sender.failures
    assert refused in tickets
    assert failure.reason is Reason.OVERLOADED
    assert important.run in harness.guard.queued_by_run


def test_late_heartbeat_of_an_unknown_server_that_left_does_not_open_it():
    harness = GuardHarness()
    assert not harness.guard.record_leave("i-9", 100.1)
    late = make_report(instance="i-9", born=2000, sequence=23)
    harness.guard.apply_report(late, 102.3)
    harness.offer(102.4)
    assert harness.runner.started == []
    assert harness.sender.failures[0][1] == Failure(Reason.DRAINING, False)


def test_new_start_under_the_name_of_an_unknown_server_that_left_is_open():
    harness = GuardHarness()
    harness.guard.record_leave("i-9", 100.1)
    harness.guard.apply_report(
        make_report(instance="i-9", born=2000, sequence=1), 101.0
    )
    assert harness.guard.state(101.0).is_open


def test_number_of_recorded_leaves_of_unknown_servers_is_bounded():
    harness = GuardHarness()
    for number in range(1000):
        harness.guard.record_leave(f"i-{number + 10}", 100.0 + number)
    assert len(harness.guard.monitor.server.left_at_by_instance) <= 16
