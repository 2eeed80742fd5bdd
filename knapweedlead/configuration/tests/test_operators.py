"""Operator requests: versions, refusals, concurrent changes and lost answers."""

import hashlib

import pytest

from knapweedlead.configuration import (
    ApplyResource,
    DeleteResource,
    GetResource,
    GetStatus,
    ListResources,
)
from knapweedlead.messages import LoadReport
from standins.control_cores import ControlCores

ACCOUNT = {"rate_per_s": 10, "burst": 20}


def digest_of(key):
    return hashlib.sha256(key.encode()).hexdigest()


@pytest.fixture
def cores():
    cores = ControlCores(seed=3)
    cores.add("a", "front")
    cores.add("b", "front")
    cores.run_for(2.0)
    return cores


def submit(cores, name, request, seconds=8.0):
    exchange = cores.send_operator_request(name, request)
    cores.run_for(seconds)
    return cores.by_name[name].reply_by_operator_exchange[exchange]


def apply_account(cores, name="crew", at="a", expected=None, change_id="", **changes):
    document = {**ACCOUNT, **changes}
    request = ApplyResource("client_accounts", name, document, expected, change_id)
    return submit(cores, at, request)


def test_accepted_resource_is_read_back_with_version_and_revision(cores):
    applied = apply_account(cores)
    read = submit(cores, "b", GetResource("client_accounts", "crew"))
    assert (applied.status, read.status) == (200, 200)
    assert read.document["rate_per_s"] == 10
    assert read.version == read.document["version"] == applied.version == 1
    assert read.document["revision"] == 1


def test_version_of_a_resource_stays_when_another_changes(cores):
    apply_account(cores)
    apply_account(cores, "other")
    listed = submit(cores, "b", ListResources("client_accounts")).document
    assert listed["revision"] == 2
    assert {i["name"]: i["version"] for i in listed["items"]} == {"crew": 1, "other": 2}


def test_change_expecting_another_version_is_refused_and_changes_nothing(cores):
    apply_account(cores)
    refused = apply_account(cores, expected=7, burst=99)
    assert (refused.status, refused.version) == (412, 1)
    assert refused.document["outcome"] == "not_applied"
    read = submit(cores, "a", GetResource("client_accounts", "crew"))
    assert (read.document["burst"], read.document["revision"]) == (20, 1)


@pytest.mark.parametrize("is_durable", [True, False])
def test_is_durable_of_an_existing_route_cannot_change(cores, is_durable):
    submit(cores, "a", ApplyResource("services", "front", {}, None, ""))
    route = {
        "path_prefix": "/orders",
        "service": "front",
        "priority": 0,
        "is_idempotent": False,
        "is_durable": is_durable,
    }
    submit(cores, "a", ApplyResource("routes", "orders", route, None, ""))
    moved = {**route, "is_durable": not is_durable}
    refused = submit(cores, "a", ApplyResource("routes", "orders", moved, None, ""))
    assert (refused.status, refused.document["reason"]) == (409, "inconsistent")
    assert "is_durable" in refused.document["detail"]


@pytest.mark.parametrize("digest", ["", "abc", "G" * 64, "a" * 63])
def test_key_with_malformed_digest_is_refused(cores, digest):
    apply_account(cores)
    key = {"client_account": "crew", "sha256": digest}
    refused = submit(cores, "a", ApplyResource("keys", "crew_1", key, None, ""))
    assert (refused.status, refused.document["field"]) == (422, "sha256")


def test_creation_of_an_existing_resource_is_refused(cores):
    assert apply_account(cores, expected=0).status == 200
    assert apply_account(cores, expected=0).status == 412


@pytest.mark.parametrize(
    ("document", "field"),
    [
        ({"rate_per_s": -1, "burst": 20}, "rate_per_s"),
        ({"rate_per_s": 1}, "burst"),
        ({**ACCOUNT, "colour": "red"}, "colour"),
        ({**ACCOUNT, "name": "another"}, "name"),
        ([], ""),
    ],
)
def test_refusal_of_invalid_document_names_field_and_expected_value(
    cores, document, field
):
    request = ApplyResource("client_accounts", "crew", document, None, "")
    reply = submit(cores, "a", request)
    assert reply.status == 422
    assert reply.document.get("field", "") == field
    assert "expected" in reply.document["detail"]


def test_missing_resource_and_unknown_kind_are_not_found(cores):
    apply_account(cores)
    requests = [
        GetResource("keys", "none"),
        GetResource("colours", "red"),
        ListResources("colours"),
        DeleteResource("keys", "none", None, ""),
        ApplyResource("colours", "red", {}, None, ""),
    ]
    assert [submit(cores, "a", request).status for request in requests] == [404] * 5


def test_change_that_makes_the_catalogue_inconsistent_is_refused(cores):
    apply_account(cores)
    key = {"client_account": "crew", "sha256": digest_of("k")}
    route = {
        "path_prefix": "/x",
        "service": "front",
        "priority": 1,
        "is_idempotent": True,
    }
    accepted = [
        ApplyResource("keys", "k1", key, None, ""),
        ApplyResource("services", "front", {}, None, ""),
        ApplyResource("routes", "r1", route, None, ""),
    ]
    assert [submit(cores, "a", request).status for request in accepted] == [200] * 3
    refused = [
        ApplyResource("keys", "k2", {**key, "client_account": "nobody"}, None, ""),
        ApplyResource("keys", "k3", key, None, ""),
        ApplyResource("routes", "r2", {**route, "service": "nowhere"}, None, ""),
        ApplyResource("routes", "r3", route, None, ""),
        DeleteResource("client_accounts", "crew", None, ""),
        DeleteResource("services", "front", None, ""),
    ]
    assert [submit(cores, "a", request).status for request in refused] == [409] * 6
    assert submit(cores, "a", GetStatus()).document["revision"] == 4


def test_concurrent_changes_of_two_resources_are_both_applied(cores):
    document = {"rate_per_s": 1, "burst": 1}
    exchanges = [
        (
            name,
            cores.send_operator_request(
                name, ApplyResource("client_accounts", name, document, 0, "")
            ),
        )
        for name in ("a", "b")
    ]
    cores.run_for(3.0)
    replies = [
        cores.by_name[name].reply_by_operator_exchange[exchange]
        for name, exchange in exchanges
    ]
    assert [reply.status for reply in replies] == [200, 200]
    assert {reply.version for reply in replies} == {1, 2}


def test_exactly_one_of_concurrent_changes_is_accepted(cores):
    apply_account(cores)
    exchanges = [
        (
            name,
            cores.send_operator_request(
                name,
                ApplyResource(
                    "client_accounts", "crew", {**ACCOUNT, "burst": burst}, 1, ""
                ),
            ),
        )
        for name, burst in (("a", 30), ("b", 40))
    ]
    cores.run_for(3.0)
    replies = [
        cores.by_name[name].reply_by_operator_exchange[exchange]
        for name, exchange in exchanges
    ]
    assert sorted(reply.status for reply in replies) == [200, 412]
    winner = next(reply for reply in replies if reply.status == 200)
    read = submit(cores, "b", GetResource("client_accounts", "crew"))
    assert read.document["burst"] == winner.document["burst"]


def test_repeated_change_id_is_applied_once(cores):
    first = apply_account(cores, change_id="change-1", expected=0)
    apply_account(cores, burst=50, change_id="change-2")
    again = apply_account(cores, at="b", change_id="change-1", expected=0)
    assert (again.status, again.version) == (200, first.version)
    read = submit(cores, "a", GetResource("client_accounts", "crew"))
    assert (read.document["burst"], read.document["revision"]) == (50, 2)


def test_change_id_reused_for_another_change_is_refused(cores):
    apply_account(cores, change_id="change-1")
    assert apply_account(cores, burst=50, change_id="change-1").status == 422


def test_lost_write_answer_is_resolved_by_reading_before_retry(cores):
    cores.store.mode = "lose_answers"
    reply = apply_account(cores, expected=0)
    assert (reply.status, reply.version) == (200, 1)


def test_outcome_is_not_applied_if_the_store_is_down(cores):
    cores.store.mode = "down"
    reply = apply_account(cores)
    assert (reply.status, reply.document["outcome"]) == (503, "not_applied")
    cores.store.mode = "none"
    assert submit(cores, "a", GetStatus()).document["revision"] == 0


def test_outcome_is_unknown_if_the_write_answer_is_lost_and_the_store_is_down(cores):
    cores.store.mode = "lose_answers"
    request = ApplyResource("client_accounts", "crew", ACCOUNT, None, "change-1")
    exchange = cores.send_operator_request("a", request)
    cores.run_for(0.001)
    cores.store.mode = "down"
    cores.run_for(8.0)
    reply = cores.by_name["a"].reply_by_operator_exchange[exchange]
    assert (reply.status, reply.document["outcome"]) == (503, "unknown")
    cores.store.mode = "none"
    again = apply_account(cores, change_id="change-1")
    assert (again.status, again.version) == (200, 1)


def test_large_catalogue_is_compressed_and_read_back(cores):
    for number in range(80):
        request = ApplyResource(
            "client_accounts", f"account-{number}", ACCOUNT, None, ""
        )
        submit(cores, "a", request, seconds=0.2)
    value = cores.store.state.by_key["knapweedlead/catalogue"].value
    assert not value.startswith(b"{")
    listed = submit(cores, "b", ListResources("client_accounts")).document
    assert len(listed["items"]) == 80


def test_catalogue_larger_than_a_store_value_is_refused(cores, monkeypatch):
    monkeypatch.setattr(
        "knapweedlead.configuration._pending_change.MAX_VALUE_BYTES", 100
    )
    assert apply_account(cores).document["reason"] == "catalogue_too_large"


def test_status_reports_cold_draining_and_refusing_members(cores, monkeypatch):
    guard = cores.by_name["b"].composition.guard
    load = LoadReport(4, 3, 2, 6, is_cold=True, is_draining=True)
    monkeypatch.setattr(guard, "load_report", lambda now: load)
    by_name = {
        m["name"]: m for m in submit(cores, "a", GetStatus()).document["members"]
    }
    assert (by_name["b"]["is_cold"], by_name["b"]["is_draining"]) == (True, True)
    assert by_name["b"]["refused_priority"] == 6
    assert (by_name["b"]["in_flight"], by_name["b"]["limit"]) == (3, 4)
    assert (by_name["a"]["is_cold"], by_name["a"]["is_draining"]) == (False, False)
    assert by_name["a"]["refused_priority"] is None
