"""Refusals report correct outcomes; non-idempotent requests run at most once."""

import json
import random
from collections import Counter

import attrs
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from knapweedlead.load._keys import make_idempotency_key
from knapweedlead.requests import Outcome, RefusalReason, outcomes_of_reason
from knapweedlead.settings import AccountsSettings
from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import CallerReply, CoreBackendServer, Cores

SERVERS = {"front": 3, "back": 2}
ENTRIES = ("front-0", "front-1", "back-0")
FAULTS = ("cut", "drop_links", "pause", "crash", "break_backend_server", "outage")
FAULT_SECONDS = 0.8


@attrs.define
class SentRequest:
    """A request of a simulated caller."""

    key: str
    reply: CallerReply
    is_idempotent: bool


def build(seed, loss, meter="local"):
    cores = Cores(seed)
    routes = [
        route("front", timeout_ms=1500, retry_credits=3, is_idempotent=False),
        route("back", timeout_ms=1500, retry_credits=3, is_idempotent=False),
        route("read", service="front", timeout_ms=1500, retry_credits=3),
    ]
    apply(cores, catalogue(routes))
    for service, count in SERVERS.items():
        paths = ["/back/part"] if service == "front" else []
        for number in range(count):
            fake = CoreBackendServer(slots=3, service_s=0.03, child_paths=paths)
            cores.add(
                f"{service}-{number}",
                service,
                backend_server=fake,
                accounts=AccountsSettings(meter),
            )
    cores.run_for(WARM_UP_SECONDS)
    cores.loss = loss
    return cores


def crash(cores, name):
    if cores.by_name[name].is_up:
        cores.crash(name)
        cores.at(cores.now + FAULT_SECONDS, lambda: cores.restart(name))


def inject(cores, kind, name, other):
    core = cores.by_name[name]
    if kind == "cut":
        cores.cut(name, other)
        cores.at(cores.now + FAULT_SECONDS, cores.heal)
    elif kind == "drop_links":
        cores.drop_links(name, other)
    elif kind == "pause" and core.is_up and not core.is_paused:
        cores.pause(name)
        cores.at(cores.now + FAULT_SECONDS, lambda: core.is_up and cores.resume(name))
    elif kind == "crash":
        crash(cores, name)
    elif kind == "outage":
        for number in range(SERVERS["front"]):
            crash(cores, f"front-{number}")
    elif kind == "break_backend_server":
        core.backend_server.status = 0
        cores.at(
            cores.now + FAULT_SECONDS,
            lambda: setattr(core.backend_server, "status", 200),
        )


def run(seed, loss, faults, meter="local", count=60):
    cores = build(seed, loss, meter)
    start = cores.now
    for delay, kind, first, second in faults:
        names = sorted(cores.by_name)
        name, other = names[first % len(names)], names[second % len(names)]
        if name != other:
            cores.at(
                start + delay,
                lambda k=kind, n=name, o=other: inject(cores, k, n, o),
            )
    sent = []
    keys = random.Random(seed)

    def send(number):
        is_read = number % 3 == 0
        key = make_idempotency_key(cores.now, keys)
        headers = {**CALLER, "idempotency-key": key}
        path = "/read/x" if is_read else "/front/x"
        entry = ENTRIES[number % len(ENTRIES)]
        if cores.by_name[entry].is_up:
            reply = cores.call(entry, path, headers, "GET" if is_read else "POST")
            sent.append(SentRequest(key, reply, is_read))

    for number in range(count):
        cores.at(start + number * 0.05, lambda n=number: send(n))
    cores.run_for(count * 0.05 + 5.0)
    return cores, sent


def runs_by_key(cores, service):
    return Counter(
        request.headers.get("idempotency-key")
        for core in cores.by_name.values()
        if core.settings.service == service
        for request in core.backend_server.journal
    )


def check(cores, sent):
    fronts = runs_by_key(cores, "front")
    backs = runs_by_key(cores, "back")
    for request in sent:
        if (
            request.reply.status
            and request.reply.status >= 400
            and request.reply.body[:1] == b"{"
        ):
            document = json.loads(request.reply.body)
            reason = RefusalReason(document["reason"])
            assert Outcome(document["outcome"]) in outcomes_of_reason(reason)
            if document["outcome"] == "not_run":
                assert fronts[request.key] == 0, document
        if not request.is_idempotent:
            assert fronts[request.key] <= 1
            assert backs[request.key] <= 1
        if request.reply.status == 200:
            assert fronts[request.key] >= 1


FAULT = st.tuples(
    st.floats(0, 3), st.sampled_from(FAULTS), st.integers(0, 4), st.integers(0, 4)
)


@settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.02, 0.1]),
    faults=st.lists(FAULT, max_size=10),
    meter=st.sampled_from(["escrowed", "local"]),
)
def test_refusal_outcomes_match_the_journals_under_faults(seed, loss, faults, meter):
    cores, sent = run(seed, loss, faults, meter)
    check(cores, sent)


def test_injected_faults_cause_refusals_of_both_outcomes():
    outcomes = Counter()
    for seed in range(12):
        faults = [(0.3 * n, FAULTS[n % 6], n + seed, n + seed + 1) for n in range(9)]
        cores, sent = run(seed, 0.02, faults)
        check(cores, sent)
        for request in sent:
            if request.reply.body[:1] == b"{":
                outcomes[json.loads(request.reply.body)["outcome"]] += 1
            else:
                outcomes[request.reply.status] += 1
    assert outcomes["not_run"] > 0
    assert outcomes["unknown"] > 0
    assert outcomes[200] > 100


def test_refusal_after_a_lost_attempt_has_an_unknown_outcome():
    cores = build(5, 0.0)
    fronts = [f"front-{number}" for number in range(SERVERS["front"])]
    cores.call("back-0", "/read/warm", {**CALLER})
    cores.run_for(1.0)
    for name in fronts:
        cores.by_name[name].backend_server.status = 0
        cores.by_name[name].backend_server.child_failure_status = 0
    key = {"idempotency-key": "read-1"}
    reply = cores.call("back-0", "/read/x", {**CALLER, **key})
    cores.run_for(0.04)
    assert runs_by_key(cores, "front")["read-1"] >= 1
    for name in fronts:
        cores.crash(name)
    cores.run_for(3.0)
    assert json.loads(reply.body)["outcome"] == "unknown"
