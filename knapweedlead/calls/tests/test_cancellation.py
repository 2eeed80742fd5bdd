"""Cancellation of calls whose caller has gone, and refusal of withdrawn keys."""

import json

from knapweedlead.accounts import TokenDecision, TokensDecided
from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import CoreBackendServer, Cores

HEADERS = {**CALLER, "idempotency-key": "ticket-1"}


def build(seed=1, service_s=0.2, **route_fields):
    cores = Cores(seed)
    names = ("front", "middle", "back")
    apply(cores, catalogue([route(name, **route_fields) for name in names]))
    for name, callee in zip(names, ("middle", "back", ""), strict=True):
        paths = [f"/{callee}/x"] if callee else []
        slow = service_s if name == "back" else 0.001
        fake = CoreBackendServer(child_paths=paths, service_s=slow)
        cores.add(f"{name}-1", name, backend_server=fake)
    cores.run_for(WARM_UP_SECONDS)
    return cores


def running(cores):
    return sum(
        len(core.backend_server.running_by_run) for core in cores.by_name.values()
    )


def test_caller_disconnect_cancels_the_whole_call_chain():
    cores = build(service_s=10.0)
    reply = cores.call("front-1", "/front/x", CALLER)
    cores.run_for(0.1)
    assert running(cores) == 3
    cores.disconnect_caller("front-1", reply)
    cores.run_for(0.05)
    assert running(cores) == 0
    assert all(not len(c.composition.entry.calls) for c in cores.by_name.values())


def test_claimed_call_continues_and_its_retry_receives_the_answer():
    cores = build(is_idempotent=False)
    reply = cores.call("front-1", "/front/x", HEADERS, "POST")
    cores.run_for(0.1)
    cores.disconnect_caller("front-1", reply)
    cores.run_for(1.0)
    retry = cores.call("front-1", "/front/x", HEADERS, "POST")
    cores.run_for(1.0)
    assert retry.status == 200
    assert len(cores.by_name["back-1"].backend_server.journal) == 1


def test_no_call_starts_after_its_deadline():
    cores = build()
    headers = {**CALLER, "knapweedlead-deadline-ms": "150"}
    cores.by_name["front-1"].backend_server.service_s = 0.4
    reply = cores.call("front-1", "/front/x", headers)
    cores.run_for(2.0)
    assert json.loads(reply.body)["reason"] == "deadline_exceeded"
    assert not cores.by_name["middle-1"].backend_server.journal


def test_child_call_has_no_more_time_than_its_parent():
    cores = build()
    headers = {**CALLER, "knapweedlead-deadline-ms": "300"}
    cores.call("front-1", "/front/x", headers)
    cores.run_for(1.0)
    (request,) = cores.by_name["back-1"].backend_server.journal
    assert int(request.headers["knapweedlead-deadline-ms"]) < 300


def test_child_calls_inherit_account_and_priority_only_from_their_parent():
    cores = build(priority=4)
    seen = []

    def record_message(message):
        if hasattr(message, "priority"):
            seen.append(message)
        return [message]

    cores.alter = record_message
    cores.by_name["front-1"].backend_server.child_paths = ["/middle/x"]
    cores.call("front-1", "/front/x", {**CALLER, "x-priority": "0"})
    cores.run_for(1.0)
    assert {(m.account, m.priority) for m in seen} == {("crew", 4)}
    assert len({m.request_id for m in seen}) == 1
    assert all("authorization" not in m.headers for m in seen)


class DeferredAccounts:
    """Fake accounts that defer each token decision to a later event."""

    def __init__(self):
        self.tickets = []
        self.refunded = 0

    def acquire(self, account, ticket, now):
        self.tickets.append(ticket)
        return TokenDecision.PENDING, []

    def refund(self, account, now, ticket=None):
        assert ticket in self.tickets
        self.refunded += 1
        return []


def with_deferred_accounts(cores, name):
    entry = cores.by_name[name].composition.entry
    accounts = DeferredAccounts()
    entry.reservations.accounts = entry.completion.accounts = accounts
    return accounts


def grant(cores, name, ticket):
    granted = TokensDecided(ticket, TokenDecision.GRANTED, 0)
    cores.report(cores.by_name[name], granted)


def test_queued_call_of_a_withdrawn_key_is_refused_and_never_sent():
    cores = build()
    accounts = with_deferred_accounts(cores, "front-1")
    reply = cores.call("front-1", "/front/x", CALLER)
    withdrawn = json.loads(catalogue([route("front")]))["resources"]["keys"][0]
    withdrawn["is_withdrawn"] = True
    apply(cores, catalogue([route("front")], revision=2, keys=[withdrawn]))
    cores.run_for(1.0)
    assert json.loads(reply.body)["reason"] == "invalid_key"
    assert json.loads(reply.body)["outcome"] == "not_run"
    grant(cores, "front-1", accounts.tickets[0])
    cores.run_for(1.0)
    assert accounts.refunded == 1
    assert not cores.by_name["front-1"].backend_server.journal


def test_next_request_of_a_withdrawn_key_is_refused():
    cores = build()
    apply(cores, catalogue([route("front")], revision=2, keys=[]))
    cores.run_for(1.0)
    reply = cores.call("front-1", "/front/x", CALLER)
    assert json.loads(reply.body)["reason"] == "invalid_key"


def test_token_granted_after_the_caller_left_is_refunded():
    cores = build()
    accounts = with_deferred_accounts(cores, "front-1")
    reply = cores.call("front-1", "/front/x", CALLER)
    cores.disconnect_caller("front-1", reply)
    assert accounts.refunded == 0
    grant(cores, "front-1", accounts.tickets[0])
    cores.run_for(1.0)
    assert accounts.refunded == 1
    assert not cores.by_name["front-1"].backend_server.journal


def test_token_that_was_never_granted_is_not_refunded():
    cores = build(timeout_ms=200)
    accounts = with_deferred_accounts(cores, "front-1")
    reply = cores.call("front-1", "/front/x", CALLER)
    cores.run_for(1.0)
    assert json.loads(reply.body)["reason"] == "deadline_exceeded"
    assert accounts.refunded == 0
