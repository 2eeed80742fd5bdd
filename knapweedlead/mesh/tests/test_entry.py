"""Guarantees of the entry: what callers receive, and which calls are retried."""

import itertools

import attrs
import pytest

from knapweedlead.mesh import Failure, Reason, ServerAnswer, StopSchedule
from knapweedlead.mesh.tests.harness import (
    OK,
    EntryHarness,
    make_account,
    make_call,
    make_configuration,
    make_route,
)

NOT_RUN = Failure(Reason.OVERLOADED, False)
UNKNOWN = Failure(Reason.LINK_LOST, True, True)


def non_idempotent_configuration():
    return make_configuration(make_route(is_idempotent=False))


def test_longest_prefix_wins():
    short, long = make_route(), make_route("deep", "/read/deep/")
    configuration = make_configuration(short, long)
    assert configuration.route_of("example", "/read/deep/7") is long
    assert configuration.route_of("example", "/read/deeper/7") is short
    assert configuration.route_of("example", "/read") is None
    assert configuration.route_of("other", "/read/7") is None


def test_call_without_configuration_is_refused_as_not_run():
    harness = EntryHarness()
    harness.entry.configuration = None
    harness.entry.accept("x", make_call(), 1.0)
    assert harness.replies.refusal_by_exchange["x"][0] == 503


def test_unknown_route_is_not_found():
    harness = EntryHarness()
    harness.entry.accept("x", make_call("/nothing/"), 1.0)
    assert harness.replies.refusal_by_exchange["x"][:2] == (404, Reason.UNKNOWN_ROUTE)


def test_call_refused_by_a_guard_is_sent_to_another_server():
    harness = EntryHarness()
    call = harness.entry.accept("x", make_call(), 1.0)
    harness.entry.failed(call.number, NOT_RUN, 1.01)
    names = [name for name, _ in harness.sent()]
    assert len(set(names)) == 2
    harness.entry.answered(call.number, OK, 1.1)
    assert harness.replies.answer_by_exchange["x"] is OK


def test_non_idempotent_call_is_not_retried_after_an_unknown_outcome():
    harness = EntryHarness(configuration=non_idempotent_configuration())
    call = harness.entry.accept("x", make_call(), 1.0)
    harness.entry.failed(call.number, UNKNOWN, 1.01)
    assert len(harness.sent()) == 1
    assert harness.replies.refusal_by_exchange["x"][0] == 502


def test_non_idempotent_call_is_retried_after_a_server_rejected_it():
    harness = EntryHarness(configuration=non_idempotent_configuration())
    call = harness.entry.accept("x", make_call(), 1.0)
    harness.entry.failed(call.number, Failure(Reason.REJECTED, False, True), 1.01)
    assert len(harness.sent()) == 2


def test_call_that_may_have_run_is_not_answered_as_not_run():
    harness = EntryHarness()
    call = harness.entry.accept("x", make_call(), 1.0)
    harness.entry.failed(call.number, UNKNOWN, 1.01)
    while "x" not in harness.replies.refusal_by_exchange:
        harness.entry.failed(call.number, NOT_RUN, 1.02)
    assert harness.replies.refusal_by_exchange["x"][0] == 502


def test_retries_stay_within_their_share_of_the_calls():
    harness = EntryHarness()
    for number in range(500):
        call = harness.entry.accept(number, make_call(request_id=str(number)), 1.0)
        while call.number in harness.entry.call_by_number:
            harness.entry.failed(call.number, UNKNOWN, 1.01)
    retries = len(harness.sent()) - 500
    assert 0 < retries <= 500 * 0.1 + 20


def test_timed_out_call_is_answered_and_its_attempt_cancelled():
    harness = EntryHarness()
    call = harness.entry.accept("x", make_call(), 1.0)
    harness.entry.expire(3.0)
    assert harness.replies.refusal_by_exchange["x"][0] == 504
    assert call.target.channel.cancelled == [call]
    harness.entry.answered(call.number, OK, 3.1)


def test_call_of_a_disconnected_caller_is_cancelled():
    harness = EntryHarness()
    call = harness.entry.accept("x", make_call(), 1.0)
    harness.entry.abandon(call.number)
    assert call.target.channel.cancelled == [call]
    assert harness.entry.is_idle


def test_lost_daemon_fails_its_calls_in_flight():
    harness = EntryHarness("a", configuration=non_idempotent_configuration())
    harness.entry.accept("x", make_call(), 1.0)
    harness.targets[0].is_up = False
    harness.entry.target_lost(harness.targets[0], 1.1)
    assert harness.replies.refusal_by_exchange["x"][0] == 502


def keyed_harness(**changes):
    route = make_route(is_public=False)
    account = make_account(**changes)
    harness = EntryHarness(configuration=make_configuration(route, accounts=[account]))
    harness.freshness.confirm(100.0)
    return harness


def test_key_of_no_account_is_refused():
    harness = keyed_harness()
    harness.entry.accept("x", make_call(key="other"), 100.0)
    assert harness.replies.refusal_by_exchange["x"][0] == 401


def test_keys_are_refused_once_the_configuration_is_unconfirmed_for_too_long():
    harness = keyed_harness()
    harness.entry.accept("x", make_call(key="key-crew"), 103.9)
    assert len(harness.sent()) == 1
    harness.entry.accept("y", make_call(key="key-crew"), 104.1)
    status, reason, _ = harness.replies.refusal_by_exchange["y"]
    assert (status, reason) == (503, Reason.STALE_CONFIGURATION)


def test_calls_of_backend_servers_are_accepted_with_an_unconfirmed_configuration():
    harness = EntryHarness(configuration=make_configuration(accounts=[make_account()]))
    harness.entry.accept("x", make_call(), 1000.0)
    assert len(harness.sent()) == 1
    assert harness.children == [("read", "lines")]


def test_token_of_a_call_that_was_not_run_is_refunded():
    harness = keyed_harness(rate=1.0, burst=10.0)
    before = harness.quotas.tokens(make_account(rate=1.0, burst=10.0), 100.0)
    call = harness.entry.accept("x", make_call(key="key-crew"), 100.0)
    while call.number in harness.entry.call_by_number:
        harness.entry.failed(call.number, NOT_RUN, 100.0)
    assert harness.quotas.tokens(make_account(rate=1.0, burst=10.0), 100.0) == before


def test_rate_refusal_has_a_retry_after():
    harness = keyed_harness(rate=1.0, burst=1.0)
    for exchange in range(20):
        harness.entry.accept(exchange, make_call(key="key-crew"), 100.0)
    status, _, retry_after = harness.replies.refusal_by_exchange[19]
    assert status == 429
    assert retry_after > 0.0


def test_idempotent_call_at_an_unresponsive_daemon_is_retried_on_suspicion():
    harness = EntryHarness()
    call = harness.entry.accept("x", make_call(), 1.0)
    unresponsive = call.target
    unresponsive.is_up = False
    harness.entry.target_suspected(unresponsive, 1.8)
    assert call.target is not unresponsive
    harness.entry.failed(call.number, UNKNOWN, 1.9, unresponsive)
    harness.entry.answered(call.number, OK, 2.0)
    assert harness.replies.answer_by_exchange["x"] is OK


def test_non_idempotent_call_waits_for_an_unresponsive_daemon():
    harness = EntryHarness(configuration=non_idempotent_configuration())
    call = harness.entry.accept("x", make_call(), 1.0)
    call.target.is_up = False
    harness.entry.target_suspected(call.target, 1.8)
    assert len(harness.sent()) == 1
    harness.entry.answered(call.number, OK, 2.0)
    assert harness.replies.answer_by_exchange["x"] is OK


class SlowLender:
    """A holder whose answer the test gives."""

    name = "holder"

    def request_tokens(self, account, wanted, is_important):
        """Say nothing yet."""


def test_time_spent_waiting_for_a_token_is_taken_off_what_the_server_is_told():
    account = make_account(rate=1.0, burst=10.0)
    route = make_route(is_public=False)
    configuration = make_configuration(route, accounts=[account])
    harness = EntryHarness(configuration=configuration, lenders=[SlowLender()])
    harness.freshness.confirm(100.0)
    members = frozenset({"self", "holder"})
    harness.quotas.set_members(members, 100.0, {account.name: account})
    while harness.quotas.try_acquire(account, 100.0):
        continue
    call = harness.entry.accept(
        "x", make_call(key="key-crew", caller_timeout=1.0), 100.0
    )
    assert harness.sent() == []
    harness.entry.token_exchange.receive_tokens(account, 1, 100.3, is_important=False)
    ((_, remaining),) = [
        sent for target in harness.targets for sent in target.channel.sent
    ]
    assert call.sent_at == 100.3
    assert remaining == pytest.approx(0.7)


def test_retried_call_that_ran_is_not_reported_as_not_run():
    account = make_account(rate=1.0, burst=2.0)
    configuration = make_configuration(
        make_route(is_public=False, max_attempts=3), accounts=[account]
    )
    harness = EntryHarness("a", "b", configuration=configuration)
    harness.freshness.confirm(100.0)
    members = frozenset({"self"})
    harness.quotas.set_members(members, 100.0, {account.name: account})
    call = harness.entry.accept("x", make_call(key="key-crew"), 100.0)
    failed = ServerAnswer(500, {}, b"")
    harness.entry.answered(call.number, failed, 100.1)
    assert len(harness.sent()) == 2
    while not call.is_done:
        harness.entry.failed(call.number, NOT_RUN, 100.2, call.target)
    status, _, _ = harness.replies.refusal_by_exchange["x"]
    assert status == 502
    tokens = itertools.takewhile(
        lambda _: harness.quotas.try_acquire(account, 100.2), itertools.count()
    )
    assert len(list(tokens)) == 1


def test_calls_of_an_entry_that_could_not_be_decoded_are_refused_as_not_run():
    unusable = attrs.evolve(make_account("bakers"), is_usable=False)
    configuration = make_configuration(
        make_route(),
        attrs.evolve(make_route("deep", "/read/deep/"), is_usable=False),
        make_route("own", "/own/", is_public=False),
        accounts=[unusable, make_account()],
    )
    harness = EntryHarness(configuration=configuration)
    harness.freshness.confirm(1.0)
    for exchange, path, key in (
        ("route", "/read/deep/7", None),
        ("account", "/own/7", "key-bakers"),
    ):
        assert harness.entry.accept(exchange, make_call(path, key), 1.0) is None
        status, reason, retry_after = harness.replies.refusal_by_exchange[exchange]
        assert (status, reason) == (503, Reason.INVALID_CONFIGURATION)
        assert retry_after > 0.0
    assert harness.entry.accept("other", make_call("/read/7"), 1.0) is not None
    assert harness.entry.accept("key", make_call("/own/7", "key-crew"), 1.0) is not None


def test_keys_are_refused_while_the_newest_configuration_cannot_be_decoded():
    configuration = make_configuration(
        make_route(),
        make_route("own", "/own/", is_public=False),
        accounts=[make_account()],
    )
    harness = EntryHarness(configuration=configuration)
    harness.entry.unreadable_since = 1.0
    harness.freshness.confirm(5.0)
    in_time = harness.entry.accept("in time", make_call("/own/7", "key-crew"), 5.0)
    assert in_time is not None
    harness.freshness.confirm(5.1)
    assert harness.entry.accept("key", make_call("/own/7", "key-crew"), 5.1) is None
    assert harness.replies.refusal_by_exchange["key"][:2] == (
        503,
        Reason.STALE_CONFIGURATION,
    )
    assert harness.entry.accept("child", make_call(), 5.1) is not None


def test_call_that_could_outlast_a_planned_stop_is_refused_as_not_run():
    harness = EntryHarness()
    harness.entry.stop_schedule = StopSchedule.begin(100.0, 6.0, answer_until=105.6)
    harness.entry.accept("early", make_call(), 102.9)
    harness.entry.accept("short", make_call(caller_timeout=0.5), 105.0)
    harness.entry.accept("late", make_call(caller_timeout=0.7), 105.0)
    assert len(harness.sent()) == 2
    status, reason, retry_after = harness.replies.refusal_by_exchange["late"]
    assert (status, reason) == (503, Reason.STOPPING)
    assert retry_after > 0.0
