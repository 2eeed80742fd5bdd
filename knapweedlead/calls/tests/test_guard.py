"""Tests of the guard role: admission, deadlines, drain and refusals."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.calls._guard import DRAIN_NOTICE_SECONDS
from knapweedlead.calls.tests.guard_harness import (
    ENTRY,
    GuardHarness,
    catalogue,
    messages_in,
    refusals_in,
    runs_in,
)
from knapweedlead.messages import CallAnswer, CallCancel, CallRefusal
from knapweedlead.node import (
    CallReceived,
    CancelRun,
    Count,
    LinkDown,
    MessageReceived,
    RunFailed,
    ShutdownRequested,
    Tick,
)


@pytest.mark.parametrize("state", ["waiting", "running", "answered", "refused"])
def test_duplicate_message_of_an_attempt_never_runs_twice(state):
    harness = GuardHarness(slots=1)
    if state == "waiting":
        harness.send_many(1)
    if state == "refused":
        harness.set_catalogue(catalogue(2, out_of_service=True))
    request, _ = harness.send()
    if state == "answered":
        harness.answer(1)
    before = len(runs_in(harness.effects))
    duplicate_effects = harness.deliver(MessageReceived(ENTRY, request))
    harness.answer(1)
    harness.answer(2)
    assert Count("knapweedlead.guard.duplicates") in duplicate_effects
    assert len(runs_in(harness.effects)) == before + (state == "waiting")


def test_restarted_sender_may_reuse_call_ids():
    harness = GuardHarness()
    harness.send(call_id=1, request_id=b"a" * 16)
    harness.answer(1)
    _, effects = harness.send(call_id=1, request_id=b"b" * 16)
    assert len(runs_in(effects)) == 1


def test_queued_call_whose_deadline_passed_during_a_pause_never_runs():
    harness = GuardHarness(slots=1)
    harness.send(deadline_ms=60_000)
    harness.send(deadline_ms=500)
    effects = harness.answer(1, now=30.0)
    assert runs_in(effects) == []
    assert refusals_in(effects) == [("deadline_exceeded", "not_run")]


def test_queued_call_whose_deadline_passed_between_two_ticks_never_runs():
    harness = GuardHarness(slots=1)
    harness.send(deadline_ms=60_000)
    harness.send(deadline_ms=500)
    harness.deliver(Tick(), 0.45)
    effects = harness.answer(1, now=0.52)
    assert runs_in(effects) == []
    assert refusals_in(effects) == [("deadline_exceeded", "not_run")]


def test_pause_is_deducted_from_the_deadline_of_a_delayed_message():
    harness = GuardHarness()
    harness.deliver(Tick(), 1.0)
    harness.deliver(Tick(), 6.0)
    _, effects = harness.send(now=6.01, deadline_ms=3000)
    assert refusals_in(effects) == [("deadline_exceeded", "not_run")]
    _, effects = harness.send(now=6.5, deadline_ms=3000)
    assert len(runs_in(effects)) == 1


def test_drain_refuses_new_calls_and_finishes_accepted_ones():
    harness = GuardHarness(slots=1)
    for _ in range(2):
        harness.send(deadline_ms=20_000)
    harness.deliver(ShutdownRequested())
    assert harness.guard.is_draining
    harness.send(deadline_ms=20_000)
    harness.deliver(Tick(), 0.9)
    harness.deliver(Tick(), 1.8)
    _, effects = harness.send(now=2.0)
    assert refusals_in(effects) == [("draining", "not_run")]
    assert not harness.guard.is_idle
    for run in (1, 2, 3):
        harness.answer(run)
    answers = messages_in(harness.effects, CallAnswer)
    assert [answer.call_id for answer in answers] == [1, 2, 3]
    assert answers[-1].load.is_draining
    assert harness.guard.is_idle


def test_guard_with_a_stale_configuration_accepts_no_call():
    harness = GuardHarness()
    harness.is_fresh = False
    _, effects = harness.send()
    assert refusals_in(effects) == [("configuration_stale", "not_run")]
    assert runs_in(effects) == []


def test_calls_are_accepted_during_the_drain_notice():
    harness = GuardHarness(slots=1)
    harness.deliver(ShutdownRequested())
    assert harness.guard.load_report(harness.now).is_draining
    _, effects = harness.send(now=DRAIN_NOTICE_SECONDS - 0.01, deadline_ms=10_000)
    assert refusals_in(effects) == []
    assert not harness.guard.is_idle


def test_data_centre_out_of_service_refuses_queued_and_new_calls():
    harness = GuardHarness(slots=1)
    harness.send_many(2)
    effects = harness.set_catalogue(catalogue(2, out_of_service=True))
    assert refusals_in(effects) == [("out_of_service", "not_run")]
    _, effects = harness.send()
    assert refusals_in(effects) == [("out_of_service", "not_run")]
    assert messages_in(harness.answer(1), CallAnswer)


def test_withdrawn_key_refuses_queued_calls_of_its_account_only():
    harness = GuardHarness(slots=1)
    harness.send(account="city")
    harness.send(account="crew")
    harness.send(account="city")
    effects = harness.set_catalogue(catalogue(2, withdrawn=["crew"]))
    assert refusals_in(effects) == [("invalid_key", "not_run")]
    _, effects = harness.send(account="crew")
    assert refusals_in(effects) == [("invalid_key", "not_run")]
    _, effects = harness.send(account="crew", revision=3)
    assert refusals_in(effects) == []


def test_withdrawn_key_does_not_refuse_child_calls():
    harness = GuardHarness()
    harness.set_catalogue(catalogue(2, withdrawn=["crew"]))
    _, effects = harness.send(account="crew", hops=1)
    assert len(runs_in(effects)) == 1


def test_cancelled_queued_call_is_not_run_and_running_one_is_unknown():
    harness = GuardHarness(slots=1)
    running, waiting = harness.send_many(2)
    for request in (running, waiting):
        cancel = CallCancel(request.request_id, request.call_id, request.attempt)
        harness.deliver(MessageReceived(ENTRY, cancel))
    assert refusals_in(harness.effects) == [("cancelled", "not_run")]
    assert CancelRun(1) in harness.effects
    effects = harness.deliver(RunFailed(1, True, "cancelled"))
    assert refusals_in(effects) == [("cancelled", "unknown")]


@pytest.mark.parametrize(
    ("was_sent", "expected"),
    [
        (True, ("backend_server_failed", "unknown")),
        (False, ("backend_server_unreachable", "not_run")),
    ],
)
def test_failed_run_is_not_run_only_if_nothing_was_sent(was_sent, expected):
    harness = GuardHarness()
    harness.send()
    effects = harness.deliver(RunFailed(1, was_sent, "cut"))
    assert refusals_in(effects) == [expected]


def test_running_call_is_cancelled_at_its_deadline_once():
    harness = GuardHarness()
    harness.send(deadline_ms=300)
    for step in range(1, 8):
        harness.deliver(Tick(), step / 10)
    assert harness.effects.count(CancelRun(1)) == 1
    effects = harness.deliver(RunFailed(1, True, "cancelled"))
    assert refusals_in(effects) == [("deadline_exceeded", "unknown")]


def test_lost_link_refuses_the_queued_calls_of_its_sender():
    harness = GuardHarness(slots=1)
    harness.send_many(3)
    effects = harness.deliver(LinkDown(ENTRY, is_refused=False))
    assert refusals_in(effects) == [("link_lost", "not_run")] * 2


def test_full_queue_refuses_the_lowest_priority_call():
    harness = GuardHarness(slots=1)
    harness.send_many(17)
    request, effects = harness.send(priority=0)
    assert refusals_in(effects) == [("overloaded", "not_run")]
    effects = harness.answer(1)
    assert runs_in(effects)[0].headers["knapweedlead-parent"]
    assert (
        harness.guard.parent_of(
            runs_in(effects)[0].headers["knapweedlead-parent"]
        ).request
        == request
    )


def test_cold_start_admits_no_more_than_the_cold_slots():
    harness = GuardHarness(slots=50, cold_slots=3, cold_start_s=5.0)
    harness.send_many(30)
    assert len(runs_in(harness.effects)) == 3
    assert harness.guard.load_report(harness.now).is_cold


@pytest.mark.parametrize("restart_sign", ["identity", "refused"])
def test_restart_of_the_backend_server_begins_a_cold_start(restart_sign):
    harness = GuardHarness(slots=50, cold_slots=3, cold_start_s=5.0)
    for run in range(1, 200):
        harness.deliver(Tick(), run / 10)
        harness.send()
        harness.answer(run, **{"knapweedlead-start-identity": "a"})
    assert not harness.guard.load_report(harness.now).is_cold
    harness.send_many(3)
    if restart_sign == "identity":
        harness.answer(200, **{"knapweedlead-start-identity": "b"})
    else:
        for run in (200, 201, 202):
            harness.deliver(RunFailed(run, False, "refused"))
    assert harness.guard.load_report(harness.now).is_cold


def test_start_identity_of_the_backend_server_is_not_forwarded():
    harness = GuardHarness()
    harness.send()
    effects = harness.answer(1, **{"knapweedlead-start-identity": "a", "etag": "x"})
    assert messages_in(effects, CallAnswer)[0].headers == {"etag": "x"}


def test_time_of_the_first_child_call_is_recorded():
    harness = GuardHarness()
    harness.send()
    token = runs_in(harness.effects)[0].headers["knapweedlead-parent"]
    child = {"knapweedlead-parent": token}
    harness.deliver(CallReceived(1, "GET", "/wear", child, b"", "caller"), 0.1)
    harness.deliver(CallReceived(2, "GET", "/wear", child, b"", "caller"), 0.4)
    assert harness.guard._call_table.state_by_run[1].first_child_at == 0.1


def test_nothing_runs_before_the_first_configuration():
    harness = GuardHarness()
    harness.guard._checks = None
    _, effects = harness.send()
    assert refusals_in(effects) == [("configuration_unknown", "not_run")]


steps = st.lists(
    st.tuples(
        st.sampled_from(["send", "again", "answer", "fail", "cancel", "tick", "pause"]),
        st.integers(0, 30),
        st.integers(0, 9),
    ),
    max_size=120,
)


@given(steps)
def test_each_call_ends_once_and_is_not_run_only_if_never_sent(chosen_steps):
    harness = GuardHarness(slots=3, cold_slots=1, cold_start_s=1.0)
    requests, unsent = [], set()
    for step, pick, priority in chosen_steps:
        running = list(harness.guard._call_table.running_by_run)
        if step == "send":
            requests.append(harness.send(priority=priority)[0])
        elif step == "again" and requests:
            request = requests[pick % len(requests)]
            harness.deliver(MessageReceived(ENTRY, request))
        elif step == "answer" and running:
            harness.answer(running[pick % len(running)], harness.now + 0.01)
        elif step == "fail" and running:
            run = running[pick % len(running)]
            if pick % 2:
                unsent.add(run)
            harness.deliver(RunFailed(run, not pick % 2, "x"))
        elif step == "cancel" and requests:
            request = requests[pick % len(requests)]
            cancel = CallCancel(request.request_id, request.call_id, 1)
            harness.deliver(MessageReceived(ENTRY, cancel))
        elif step == "tick":
            harness.deliver(Tick(), harness.now + 0.1)
        elif step == "pause":
            harness.deliver(Tick(), harness.now + 1.5)
        assert harness.guard.control.in_flight == len(
            harness.guard._call_table.running_by_run
        )
        assert harness.guard.control.in_flight <= 3
    while not harness.guard.is_idle:
        harness.deliver(Tick(), harness.now + 0.1)
        for run in list(harness.guard._call_table.running_by_run):
            harness.deliver(RunFailed(run, True, "end"))
    ended = [m.call_id for m in messages_in(harness.effects, CallAnswer | CallRefusal)]
    assert sorted(ended) == [request.call_id for request in requests]
    assert harness.guard.control.in_flight == 0
    not_run = sum(outcome == "not_run" for _, outcome in refusals_in(harness.effects))
    sent = len(runs_in(harness.effects)) - len(unsent)
    assert not_run == len(requests) - sent
    assert len(runs_in(harness.effects)) == len(
        {r.run for r in runs_in(harness.effects)}
    )
