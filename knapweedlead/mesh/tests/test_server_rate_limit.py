"""Guarantees under a rate limit that the backend server states in its answers."""

import math

import pytest

from knapweedlead.errors import ParameterError
from knapweedlead.mesh import Failure, Reason, ServerNotice, ServerState
from knapweedlead.mesh._server_monitor import UNPROVEN_LIMIT
from knapweedlead.mesh._server_rate_limiter import ServerRateLimiter
from knapweedlead.mesh.tests.harness import OK, GuardHarness, make_report

STEP = 0.01
SERVICE_TIME = 0.1
NO_LIMIT = ServerNotice(math.inf)
FAILED = Failure(Reason.FAILED, True, True)


def limited(rate):
    """Return the notice of a server that limits its rate."""
    return ServerNotice(rate)


def play(harness, seconds, rate, now=100.0, offered=1):
    """Offer calls in each step; return the times at which calls were sent."""
    started_at = []
    answered = len(harness.runner.started)
    for _ in range(round(seconds / STEP)):
        now += STEP
        for _ in range(offered):
            harness.offer(now, deadline=now + 5.0)
        harness.guard.tick(now)
        started = harness.runner.started
        started_at += [t.started_at for t in started if t.started_at == now]
        while (
            answered < len(started)
            and started[answered].started_at <= now - SERVICE_TIME
        ):
            harness.guard.answered(started[answered], OK, now, limited(rate))
            answered += 1
    return started_at


def begin_limit(harness, rate, now=100.0):
    """Let the server state a limit in its first answer."""
    ticket = harness.offer(now - SERVICE_TIME)
    harness.guard.answered(ticket, OK, now, limited(rate))


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 7.5, 31.6, 90.0])
def test_server_over_its_stated_rate_limit(rate):
    harness = GuardHarness(slots=142)
    begin_limit(harness, rate)
    times = play(harness, 20.0, rate)
    for start in times:
        assert sum(start <= at < start + 4.0 for at in times) <= 1.5 * 4.0 * rate + 5
    assert len(times) >= 0.9 * 20.0 * min(rate, 1.0 / STEP)
    assert times, "the end of the limit could not be noticed"


def test_calls_beyond_the_rate_limit_are_refused_as_not_run_with_a_time_to_return():
    harness = GuardHarness(slots=142)
    begin_limit(harness, 10.0)
    for _ in range(20):
        harness.offer(100.01)
    failures = [failure for _, failure in harness.sender.failures]
    assert {failure.reason for failure in failures} == {Reason.SERVER_RATE_LIMITED}
    assert not any(f.may_have_run or f.was_sent for f in failures)
    assert 0.0 < failures[-1].retry_after <= 0.5


def test_important_calls_are_sent_first_under_a_rate_limit():
    harness = GuardHarness(slots=142)
    begin_limit(harness, 20.0)
    for index in range(12):
        harness.offer(100.01, priority=index % 2)
    harness.guard.tick(100.06)
    assert harness.runner.started[-1].priority == 0
    assert all(ticket.priority == 1 for ticket, _ in harness.sender.failures[:6])


def test_limit_ends_with_an_answer_to_a_later_call_only():
    harness = GuardHarness(slots=142)
    early = harness.offer(99.8)
    begin_limit(harness, 10.0)
    harness.guard.answered(early, OK, 100.05, NO_LIMIT)
    assert harness.guard.state(100.05).rate_limit == 10.0
    late = harness.offer(100.3)
    harness.guard.answered(late, OK, 100.4, NO_LIMIT)
    assert harness.guard.state(100.4).rate_limit == math.inf


def test_answer_that_does_not_tell_keeps_the_limit():
    harness = GuardHarness(slots=142)
    begin_limit(harness, 10.0)
    late = harness.offer(100.3)
    harness.guard.answered(late, OK, 100.4, ServerNotice(None))
    assert harness.guard.state(100.4).rate_limit == 10.0


def test_rejection_by_the_server_states_a_limit_too():
    harness = GuardHarness(slots=142)
    ticket = harness.offer(100.0)
    harness.guard.rejected(ticket, 0.0, 100.1, limited(10.0))
    assert harness.guard.state(100.1).rate_limit == 10.0


def test_new_start_under_the_same_name_has_no_limit():
    harness = GuardHarness(slots=142)
    begin_limit(harness, 10.0)
    harness.guard.apply_report(make_report(born=2000, slots=142), 100.5)
    assert harness.guard.state(100.5).rate_limit == math.inf


def test_answer_of_an_earlier_start_does_not_limit_the_present_one():
    harness = GuardHarness(slots=142)
    ticket = harness.offer(99.9)
    harness.guard.apply_report(make_report(instance="i-2", born=2000), 100.0)
    harness.guard.answered(ticket, OK, 100.1, limited(10.0))
    assert harness.guard.state(100.1).rate_limit == math.inf


def test_server_without_an_answer_is_not_flooded_before_it_can_state_a_limit():
    harness = GuardHarness(slots=142, is_proven=False)
    for _ in range(50):
        harness.offer(100.0)
    assert len(harness.runner.started) == UNPROVEN_LIMIT
    harness.guard.failed(harness.runner.started[0], FAILED, 100.1)
    assert len(harness.runner.started) == UNPROVEN_LIMIT
    harness.guard.answered(harness.runner.started[1], OK, 100.2, limited(10.0))
    harness.guard.tick(100.31)
    assert len(harness.runner.started) == UNPROVEN_LIMIT + 1


def test_calls_without_an_answer_let_in_others_at_any_rate():
    harness = GuardHarness(slots=142, is_proven=False)
    times = []
    for step in range(390):
        now = 100.0 + STEP * step
        harness.offer(now, deadline=now + 0.1)
        harness.guard.tick(now)
        for ticket in list(harness.guard.running_by_run.values()):
            times.append(ticket.started_at)
            harness.guard.failed(ticket, FAILED, now)
    assert UNPROVEN_LIMIT + 3 <= len(times) <= 1.5 * 4.0 * 1.0 + 5


def test_server_without_a_limit_gets_all_calls_from_its_first_answer_on():
    harness = GuardHarness(slots=142, is_proven=False)
    for _ in range(20):
        harness.offer(100.0)
    harness.guard.answered(harness.runner.started[0], OK, 100.1, NO_LIMIT)
    assert len(harness.runner.started) == 20


def test_server_without_an_answer_counts_with_all_its_slots_for_shedding():
    harness = GuardHarness(slots=142, is_proven=False)
    assert harness.guard.state(100.0).capacity == 142


def test_new_start_is_not_flooded_before_it_can_state_a_limit():
    harness = GuardHarness(slots=142)
    harness.guard.apply_report(make_report(born=2000, slots=142), 100.5)
    for _ in range(20):
        harness.offer(100.6)
    assert len(harness.runner.started) == UNPROVEN_LIMIT


def test_server_that_no_earlier_process_knew_waits_for_its_first_answer():
    harness = GuardHarness(slots=142, is_proven=None, age=0.2)
    for _ in range(20):
        harness.offer(100.0)
    assert len(harness.runner.started) == 20


def test_start_that_follows_a_limited_one_is_flooded_before_it_can_state_a_limit():
    harness = GuardHarness(slots=142)
    begin_limit(harness, 10.0)
    harness.guard.apply_report(make_report(born=2000, slots=142), 100.5, age=0.1)
    for _ in range(20):
        harness.offer(100.6)
    assert len(harness.runner.started) == 1 + UNPROVEN_LIMIT


def test_capacity_follows_the_rate_limit():
    state = ServerState("i", "lines", True, limit=142, service_time=0.15)
    assert state.capacity == 142
    limited_state = ServerState(
        "i", "lines", True, limit=142, service_time=0.15, rate_limit=20.0
    )
    assert limited_state.capacity == pytest.approx(3.0)


@pytest.mark.parametrize(
    "parameters", [{"burst_time": -0.1}, {"min_rate": 0.0}, {"min_rate": "1"}]
)
def test_invalid_parameters_are_named(parameters):
    with pytest.raises(ParameterError, match=next(iter(parameters))):
        ServerRateLimiter(**parameters)
