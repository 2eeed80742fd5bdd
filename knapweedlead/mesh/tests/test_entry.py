"""Promises of the entry: what callers receive, and what is sent more than once."""

from knapweedlead.mesh import Failure, Reason
from knapweedlead.mesh.tests.meshes import (
    OK,
    EntryBench,
    make_account,
    make_call,
    make_configuration,
    make_route,
)

NOT_RUN = Failure(Reason.OVERLOADED, False)
UNKNOWN = Failure(Reason.LINK_LOST, True, True)


def unsafe_configuration():
    return make_configuration(make_route(is_idempotent=False))


def test_longest_prefix_wins():
    short, long = make_route(), make_route("deep", "/read/deep/")
    configuration = make_configuration(short, long)
    assert configuration.route_of("example", "/read/deep/7") is long
    assert configuration.route_of("example", "/read/deeper/7") is short
    assert configuration.route_of("example", "/read") is None
    assert configuration.route_of("other", "/read/7") is None


def test_call_without_configuration_is_refused_as_not_run():
    bench = EntryBench()
    bench.entry.configuration = None
    bench.entry.take("x", make_call(), 1.0)
    assert bench.replies.refusal_by_exchange["x"][0] == 503


def test_unknown_route_is_not_found():
    bench = EntryBench()
    bench.entry.take("x", make_call("/nothing/"), 1.0)
    assert bench.replies.refusal_by_exchange["x"][:2] == (404, Reason.UNKNOWN_ROUTE)


def test_refusal_by_a_guard_is_tried_elsewhere():
    bench = EntryBench()
    call = bench.entry.take("x", make_call(), 1.0)
    bench.entry.failed(call.number, NOT_RUN, 1.01)
    names = [name for name, _ in bench.sent()]
    assert len(set(names)) == 2
    bench.entry.answered(call.number, OK, 1.1)
    assert bench.replies.answer_by_exchange["x"] is OK


def test_call_that_must_not_be_repeated_is_not_sent_again_after_an_unknown_end():
    bench = EntryBench(configuration=unsafe_configuration())
    call = bench.entry.take("x", make_call(), 1.0)
    bench.entry.failed(call.number, UNKNOWN, 1.01)
    assert len(bench.sent()) == 1
    assert bench.replies.refusal_by_exchange["x"][0] == 502


def test_call_that_must_not_be_repeated_moves_on_after_a_server_declined_it():
    bench = EntryBench(configuration=unsafe_configuration())
    call = bench.entry.take("x", make_call(), 1.0)
    bench.entry.failed(call.number, Failure(Reason.REJECTED, False, True), 1.01)
    assert len(bench.sent()) == 2


def test_no_refusal_says_not_run_after_an_attempt_that_may_have_run():
    bench = EntryBench()
    call = bench.entry.take("x", make_call(), 1.0)
    bench.entry.failed(call.number, UNKNOWN, 1.01)
    while "x" not in bench.replies.refusal_by_exchange:
        bench.entry.failed(call.number, NOT_RUN, 1.02)
    assert bench.replies.refusal_by_exchange["x"][0] == 502


def test_repeats_stay_within_their_share_of_the_calls():
    bench = EntryBench()
    for number in range(500):
        call = bench.entry.take(number, make_call(request_id=str(number)), 1.0)
        while call.number in bench.entry.call_by_number:
            bench.entry.failed(call.number, UNKNOWN, 1.01)
    repeats = len(bench.sent()) - 500
    assert 0 < repeats <= 500 * 0.1 + 20


def test_answer_at_the_timeout_comes_at_once_and_cancels_the_work():
    bench = EntryBench()
    call = bench.entry.take("x", make_call(), 1.0)
    bench.entry.expire(3.0)
    assert bench.replies.refusal_by_exchange["x"][0] == 504
    assert call.target.channel.cancelled == [call]
    bench.entry.answered(call.number, OK, 3.1)


def test_call_of_a_gone_caller_is_cancelled():
    bench = EntryBench()
    call = bench.entry.take("x", make_call(), 1.0)
    bench.entry.abandon(call.number)
    assert call.target.channel.cancelled == [call]
    assert bench.entry.is_idle


def test_lost_daemon_fails_what_it_had_under_way():
    bench = EntryBench("a", configuration=unsafe_configuration())
    bench.entry.take("x", make_call(), 1.0)
    bench.targets[0].is_up = False
    bench.entry.target_lost(bench.targets[0], 1.1)
    assert bench.replies.refusal_by_exchange["x"][0] == 502


def keyed_bench(**changes):
    route = make_route(is_public=False)
    account = make_account(**changes)
    bench = EntryBench(configuration=make_configuration(route, accounts=[account]))
    bench.freshness.confirm(100.0)
    return bench


def test_key_that_no_account_holds_is_refused():
    bench = keyed_bench()
    bench.entry.take("x", make_call(key="other"), 100.0)
    assert bench.replies.refusal_by_exchange["x"][0] == 401


def test_keys_are_not_taken_once_the_configuration_is_unconfirmed_for_too_long():
    bench = keyed_bench()
    bench.entry.take("x", make_call(key="key-crew"), 103.9)
    assert len(bench.sent()) == 1
    bench.entry.take("y", make_call(key="key-crew"), 104.1)
    status, reason, _ = bench.replies.refusal_by_exchange["y"]
    assert (status, reason) == (503, Reason.STALE_CONFIGURATION)


def test_calls_of_backend_servers_go_on_while_the_configuration_is_unconfirmed():
    bench = EntryBench(configuration=make_configuration(accounts=[make_account()]))
    bench.entry.take("x", make_call(), 1000.0)
    assert len(bench.sent()) == 1
    assert bench.children == ["read"]


def test_token_of_a_call_that_was_not_run_comes_back():
    bench = keyed_bench(rate=1.0, burst=10.0)
    before = bench.quotas.tokens(make_account(rate=1.0, burst=10.0), 100.0)
    call = bench.entry.take("x", make_call(key="key-crew"), 100.0)
    while call.number in bench.entry.call_by_number:
        bench.entry.failed(call.number, NOT_RUN, 100.0)
    assert bench.quotas.tokens(make_account(rate=1.0, burst=10.0), 100.0) == before


def test_rate_refusal_says_when_to_come_back():
    bench = keyed_bench(rate=1.0, burst=1.0)
    for exchange in range(20):
        bench.entry.take(exchange, make_call(key="key-crew"), 100.0)
    status, _, retry_after = bench.replies.refusal_by_exchange[19]
    assert status == 429
    assert retry_after > 0.0


def test_silent_daemon_costs_idempotent_calls_no_more_than_the_suspicion():
    bench = EntryBench()
    call = bench.entry.take("x", make_call(), 1.0)
    silent = call.target
    silent.is_up = False
    bench.entry.target_suspected(silent, 1.8)
    assert call.target is not silent
    bench.entry.failed(call.number, UNKNOWN, 1.9, silent)
    bench.entry.answered(call.number, OK, 2.0)
    assert bench.replies.answer_by_exchange["x"] is OK


def test_silent_daemon_is_waited_for_by_calls_that_must_not_be_repeated():
    bench = EntryBench(configuration=unsafe_configuration())
    call = bench.entry.take("x", make_call(), 1.0)
    call.target.is_up = False
    bench.entry.target_suspected(call.target, 1.8)
    assert len(bench.sent()) == 1
    bench.entry.answered(call.number, OK, 2.0)
    assert bench.replies.answer_by_exchange["x"] is OK
