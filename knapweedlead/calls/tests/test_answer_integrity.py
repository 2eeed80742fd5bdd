"""Late, misdirected, duplicate and truncated answers never reach a caller."""

import json

import attrs
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from knapweedlead.messages import CallAnswer, CallRefusal
from knapweedlead.node import Count
from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import CoreBackendServer, Cores


def build(seed=1, **route_fields):
    cores = Cores(seed)
    apply(cores, catalogue([route("wear", timeout_ms=1000, **route_fields)]))
    cores.add("edge", "edge")
    for number in range(2):
        fake = CoreBackendServer(service_s=0.01)
        cores.add(f"wear-{number}", "wear", backend_server=fake)
    cores.run_for(WARM_UP_SECONDS)
    return cores


def dropped(cores):
    return sum(
        effect.amount
        for effect in cores.by_name["edge"].other_effects
        if isinstance(effect, Count) and effect.name == "knapweedlead.answers.dropped"
    )


def alter_answers(change):
    def alter(message):
        return change(message) if isinstance(message, CallAnswer) else [message]

    return alter


ALTERATIONS = {
    "duplicated": lambda a: [a, a, a],
    "of another request": lambda a: [attrs.evolve(a, request_id=b"\0" * 16)],
    "of another call": lambda a: [attrs.evolve(a, call_id=a.call_id + 1)],
    "of another attempt": lambda a: [attrs.evolve(a, attempt=a.attempt + 1)],
    "truncated": lambda a: [attrs.evolve(a, body=a.body[:-1])],
    "empty": lambda a: [attrs.evolve(a, body=b"")],
    "with the status 0": lambda a: [attrs.evolve(a, status=0)],
    "with an interim status": lambda a: [attrs.evolve(a, status=199)],
    "with an undefined status": lambda a: [attrs.evolve(a, status=600)],
}


@pytest.mark.parametrize("name", sorted(ALTERATIONS))
def test_altered_answer_is_dropped_counted_and_never_forwarded(name):
    cores = build(retry_credits=0)
    cores.alter = alter_answers(ALTERATIONS[name])
    replies = [cores.call("edge", f"/wear/{n}", CALLER) for n in range(10)]
    cores.run_for(3.0)
    assert dropped(cores) >= 10
    for number, reply in enumerate(replies):
        if reply.status == 200:
            assert reply.body == f"/wear/{number}".encode()
        else:
            assert json.loads(reply.body)["outcome"] == "unknown"


def test_truncated_answer_of_an_idempotent_call_is_retried():
    cores = build(retry_credits=2)
    first = []

    def truncate_first(answer):
        is_first = not first
        first.append(answer)
        return [attrs.evolve(answer, body=answer.body[:3]) if is_first else answer]

    cores.alter = alter_answers(truncate_first)
    reply = cores.call("edge", "/wear/history", CALLER)
    cores.run_for(3.0)
    assert (reply.status, reply.body) == (200, b"/wear/history")


def test_answer_after_the_deadline_is_dropped():
    cores = build(is_open=True)
    cores.delay_of = lambda a, b: 0.0005 if a.name == "edge" else 1.2
    reply = cores.call("edge", "/wear/x", CALLER)
    cores.run_for(4.0)
    assert json.loads(reply.body)["reason"] == "deadline_exceeded"
    assert json.loads(reply.body)["outcome"] == "unknown"
    assert dropped(cores) == 1


@settings(max_examples=30, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    seed=st.integers(0, 2**32),
    shares=st.tuples(st.floats(0, 0.5), st.floats(0, 0.5), st.floats(0, 0.5)),
)
def test_each_caller_receives_only_the_answer_to_its_request(seed, shares):
    cores = build(seed, retry_credits=3)
    late, duplicated, truncated = shares
    rng = cores.rng

    def change(answer):
        answers = [answer, answer] if rng.random() < duplicated else [answer]
        is_truncated = rng.random() < truncated
        body = answer.body[: rng.randrange(len(answer.body))]
        return [attrs.evolve(a, body=body) if is_truncated else a for a in answers]

    cores.alter = alter_answers(change)
    cores.delay_of = lambda a, b: 1.0 if rng.random() < late else 0.0005
    replies = {
        path: cores.call("edge", path, CALLER)
        for path in (f"/wear/{number}" for number in range(40))
    }
    cores.run_for(6.0)
    for path, reply in replies.items():
        assert reply.status is not None
        if reply.status == 200:
            assert reply.body == path.encode()


def test_unknown_refusal_reason_has_an_unknown_outcome_and_no_extra_credits():
    cores = build(retry_credits=1)
    cores.by_name["wear-0"].backend_server.status = 0
    cores.by_name["wear-1"].backend_server.status = 0

    def change(message):
        if isinstance(message, CallRefusal):
            return [
                attrs.evolve(
                    message, reason="reason_of_a_newer_version", unused_credits=99
                )
            ]
        return [message]

    cores.alter = change
    reply = cores.call("edge", "/wear/x", CALLER)
    cores.run_for(3.0)
    journals = [cores.by_name[f"wear-{n}"].backend_server.journal for n in range(2)]
    assert json.loads(reply.body)["outcome"] == "unknown"
    assert sum(map(len, journals)) <= 2
