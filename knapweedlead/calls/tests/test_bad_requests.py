"""Invalid requests are refused with a reason before they reach a backend server."""

import json

import pytest

from knapweedlead.calls._validation import MAX_KEY_LENGTH
from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import Cores


@pytest.fixture(scope="module")
def cores():
    cores = Cores(1)
    routes = [route("wear"), route("tickets", is_idempotent=False)]
    apply(cores, catalogue(routes))
    for name in ("wear", "tickets"):
        cores.add(f"{name}-1", name)
    cores.run_for(WARM_UP_SECONDS)
    return cores


CASES = [
    ("GET", "/wear/x", {"knapweedlead-deadline-ms": "soon"}, "malformed_request"),
    ("GET", "/wear/x", {"knapweedlead-deadline-ms": "-5"}, "malformed_request"),
    ("GET", "/wear/x", {"knapweedlead-deadline-ms": ""}, "malformed_request"),
    ("GET", "/wear/x", {"knapweedlead-deadline-ms": "9" * 40}, "malformed_request"),
    ("GET", "/wear/x", {"knapweedlead-deadline-ms": "\u0663"}, "malformed_request"),
    ("GET", "/wear/x", {"knapweedlead-deadline-ms": "0"}, "deadline_exceeded"),
    ("TRACE", "/wear/x", {}, "malformed_request"),
    ("CONNECT", "/wear/x", {}, "malformed_request"),
    ("BREW", "/wear/x", {}, "malformed_request"),
    ("POST", "/tickets/x", {}, "missing_idempotency_key"),
    ("POST", "/tickets/x", {"idempotency-key": ""}, "malformed_request"),
    ("POST", "/tickets/x", {"idempotency-key": "a\x01"}, "malformed_request"),
    (
        "POST",
        "/tickets/x",
        {"idempotency-key": "k" * (MAX_KEY_LENGTH + 1)},
        "malformed_request",
    ),
    ("GET", "/wear/x", {"knapweedlead-parent": "f" * 32}, "invalid_parent"),
    ("GET", "/nowhere", {}, "unknown_route"),
    ("GET", "/wear/x", {"authorization": "Bearer wrong"}, "invalid_key"),
    ("GET", "/wear/x", {"authorization": ""}, "missing_key"),
    ("GET", "/wear/x", {"authorization": "Basic abc"}, "invalid_key"),
]


@pytest.mark.parametrize(("method", "path", "headers", "reason"), CASES)
def test_invalid_request_is_refused_with_its_reason(
    cores, method, path, headers, reason
):
    journals = [core.backend_server.journal for core in cores.by_name.values()]
    before = sum(map(len, journals))
    reply = cores.call("wear-1", path, {**CALLER, **headers}, method)
    cores.run_for(0.5)
    document = json.loads(reply.body)
    assert (document["reason"], document["outcome"]) == (reason, "not_run")
    assert sum(map(len, journals)) == before


def test_longest_key_and_deadline_are_accepted(cores):
    headers = {
        **CALLER,
        "idempotency-key": "k" * MAX_KEY_LENGTH,
        "knapweedlead-deadline-ms": "9999999999",
    }
    reply = cores.call("wear-1", "/tickets/x", headers, "POST")
    cores.run_for(0.5)
    assert reply.status == 200
