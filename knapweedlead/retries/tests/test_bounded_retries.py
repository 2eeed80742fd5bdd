"""The retries of a request never exceed its credits over its whole call tree."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from knapweedlead.node import Count
from knapweedlead.settings import RoutingSettings
from standins.chains import Chain, service_name

RETRIES_AT_EACH_HOP = RoutingSettings(
    credit_policy="per_hop", backoff="none", retry_budget="unlimited"
)
UNLIMITED_BUDGET = RoutingSettings(backoff="none", retry_budget="unlimited")


def failing_chain(depth, credits, routing=UNLIMITED_BUDGET, seed=1, **behaviour):
    behaviour = {"status": 0, "child_failure_status": 0, **behaviour}
    return Chain.build(
        seed,
        depth,
        routing=routing,
        backend_server=behaviour,
        retry_credits=credits,
        timeout_ms=60_000,
    )


@pytest.mark.parametrize("credits", [0, 1, 2, 5])
def test_deepest_of_21_services_receives_at_most_credits_plus_one_attempts(credits):
    chain = failing_chain(21, credits)
    reply = chain.call()
    chain.cores.run_for(30.0)
    assert reply.status == 502
    assert 1 <= chain.attempts_at(20) <= 1 + credits
    assert all(chain.attempts_at(level) <= 1 + credits for level in range(21))


def test_retries_at_each_hop_multiply_with_depth():
    attempts = []
    for depth in (1, 2, 3, 4):
        chain = failing_chain(depth, 1, RETRIES_AT_EACH_HOP)
        chain.call()
        chain.cores.run_for(30.0)
        attempts.append(chain.attempts_at(depth - 1))
    assert attempts == [2, 4, 8, 16]


def test_retries_of_child_calls_by_backend_servers_spend_the_same_credits():
    chain = failing_chain(21, 2, child_failure_status=502, child_retries=3)
    chain.call()
    chain.cores.run_for(30.0)
    assert 1 <= chain.attempts_at(20) <= 3


def test_concurrent_child_calls_share_the_credits_of_their_parent():
    behaviour = {"status": 0, "child_failure_status": 0, "is_parallel": True}
    chain = Chain.build(
        3,
        4,
        children=3,
        routing=UNLIMITED_BUDGET,
        backend_server=behaviour,
        retry_credits=4,
        timeout_ms=60_000,
    )
    chain.call()
    chain.cores.run_for(30.0)
    counts = [
        effect.amount
        for core in chain.cores.by_name.values()
        for effect in core.other_effects
        if isinstance(effect, Count) and effect.name == "knapweedlead.retries"
    ]
    assert chain.attempts_at(3) >= 27
    assert 1 <= sum(counts) <= 4


def test_retries_of_a_request_by_its_caller_spend_its_credits():
    chain = failing_chain(5, 2)
    for _ in range(6):
        chain.call(trace=9)
        chain.cores.run_for(0.5)
    assert 1 <= chain.attempts_at(4, trace=9) <= 3


def test_caller_retry_without_credits_is_refused_as_exhausted_with_outcome_unknown():
    chain = failing_chain(2, 0)
    chain.call(trace=9)
    chain.cores.run_for(0.5)
    reply = chain.call(trace=9)
    assert reply.status == 503
    assert b'"retries_exhausted"' in reply.body
    assert b'"unknown"' in reply.body


def test_each_request_of_a_caller_has_separate_credits():
    chain = failing_chain(2, 1)
    for trace in range(10, 16):
        chain.call(trace=trace)
        chain.cores.run_for(0.5)
    assert all(chain.attempts_at(1, trace) >= 1 for trace in range(10, 16))


def test_cycle_of_calls_ends_at_the_hop_limit():
    chain = failing_chain(1, 0, slots=100)
    server = chain.cores.by_name["s00-0"].backend_server
    server.child_paths = ["/s00/again"]
    server.status = 200
    chain.call()
    chain.cores.run_for(5.0)
    assert chain.attempts_at(0) == 33


@settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    seed=st.integers(0, 2**32),
    credits=st.integers(0, 5),
    depth=st.integers(2, 8),
    loss=st.sampled_from([0.0, 0.05, 0.2]),
    servers=st.integers(1, 2),
    child_retries=st.integers(0, 2),
    child_failure_status=st.sampled_from([0, 502]),
    drops=st.lists(st.tuples(st.floats(0, 2), st.integers(0, 6)), max_size=8),
    call_count=st.integers(1, 3),
)
def test_attempts_are_bounded_under_lost_answers_link_drops_and_retries(
    seed,
    credits,
    depth,
    loss,
    servers,
    child_retries,
    child_failure_status,
    drops,
    call_count,
):
    chain = Chain.build(
        seed,
        depth,
        servers,
        routing=UNLIMITED_BUDGET,
        backend_server={
            "status": 0,
            "child_failure_status": child_failure_status,
            "child_retries": child_retries,
        },
        retry_credits=credits,
        timeout_ms=2_000,
    )
    cores = chain.cores
    cores.loss = loss
    start = cores.now
    for delay, level in drops:
        left, right = service_name(level % depth), service_name((level + 1) % depth)
        cores.at(
            start + delay, lambda a=left, b=right: cores.drop_links(f"{a}-0", f"{b}-0")
        )
    for _ in range(call_count):
        chain.call()
        cores.run_for(2.5)
    assert chain.attempts_at(depth - 1) <= 1 + credits
