"""Child calls that are not idempotent run at most once, even if a parent is retried."""

import json

import pytest

from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import CoreBackendServer, Cores


def build(is_parent_idempotent):
    cores = Cores(1)
    routes = [
        route("page", is_idempotent=is_parent_idempotent, retry_credits=3),
        route("ticket", is_idempotent=False, retry_credits=3),
    ]
    apply(cores, catalogue(routes))
    for number in range(2):
        fake = CoreBackendServer(child_paths=["/ticket/x"])
        cores.add(f"page-{number}", "page", backend_server=fake)
    cores.add("ticket-0", "ticket")
    cores.run_for(WARM_UP_SECONDS)
    return cores


def tickets(cores):
    return len(cores.by_name["ticket-0"].backend_server.journal)


def pages(cores):
    return sum(len(cores.by_name[f"page-{n}"].backend_server.journal) for n in range(2))


def fail_first_run(cores):
    """Make runs of the parent fail until the call is retried."""
    fakes = [cores.by_name[f"page-{n}"].backend_server for n in range(2)]

    def heal_once_retried():
        if pages(cores) >= 2:
            for fake in fakes:
                fake.status = 200
        else:
            cores.at(cores.now + 0.001, heal_once_retried)

    for fake in fakes:
        fake.status = 0
    cores.at(cores.now + 0.001, heal_once_retried)


def test_child_of_an_idempotent_parent_needs_a_key():
    cores = build(is_parent_idempotent=True)
    cores.call("page-0", "/page/x", CALLER)
    cores.run_for(3.0)
    assert tickets(cores) == 0


def test_child_of_a_retried_parent_runs_once():
    cores = build(is_parent_idempotent=True)
    fail_first_run(cores)
    headers = {**CALLER, "idempotency-key": "page-1"}
    reply = cores.call("page-0", "/page/x", headers)
    cores.run_for(5.0)
    assert reply.status == 200
    assert pages(cores) >= 2
    assert tickets(cores) == 1


@pytest.mark.parametrize("is_parent_idempotent", [True, False])
def test_child_with_the_key_of_its_parent_runs(is_parent_idempotent):
    cores = build(is_parent_idempotent)
    headers = {**CALLER, "idempotency-key": "page-2"}
    reply = cores.call("page-0", "/page/x", headers, "POST")
    cores.run_for(5.0)
    assert reply.status == 200
    assert tickets(cores) == 1


def test_entry_in_a_data_centre_out_of_service_forwards_all_calls():
    cores = Cores(1)
    centres = [{"name": "dc1", "in_service": False}, {"name": "dc2"}]
    apply(cores, catalogue([route("page")], data_centres=centres))
    cores.add("page-0", "page", "dc1")
    cores.add("page-1", "page", "dc2")
    cores.run_for(WARM_UP_SECONDS)
    replies = [cores.call("page-0", "/page/x", CALLER) for _ in range(20)]
    cores.run_for(3.0)
    assert {reply.status for reply in replies} == {200}
    assert not cores.by_name["page-0"].backend_server.journal


def test_call_is_not_sent_with_a_stale_configuration():
    cores = build(is_parent_idempotent=True)
    entry = cores.by_name["ticket-0"].composition.entry
    entry.configuration.is_fresh = lambda now: False
    reply = cores.call("ticket-0", "/page/x", CALLER)
    assert json.loads(reply.body)["reason"] == "configuration_stale"
    assert json.loads(reply.body)["outcome"] == "not_run"
