"""Requests to a chain of two services pass through daemon processes end to end."""

import hashlib
import json
import time

import pytest

from standins.fleet import Fleet, call

KEY = "key-of-the-two-service-chain"

CATALOGUE = {
    "revision": 1,
    "resources": {
        "client_accounts": [{"name": "crew", "rate_per_s": 100, "burst": 100}],
        "keys": [
            {
                "name": "crew-1",
                "client_account": "crew",
                "sha256": hashlib.sha256(KEY.encode()).hexdigest(),
            }
        ],
        "routes": [
            {
                "name": "front",
                "path_prefix": "/front",
                "service": "front",
                "priority": 1,
                "is_idempotent": True,
            },
            {
                "name": "back",
                "path_prefix": "/back",
                "service": "back",
                "priority": 1,
                "is_idempotent": True,
            },
        ],
        "services": [{"name": "front"}, {"name": "back"}],
        "data_centres": [{"name": "dc1"}, {"name": "dc2"}],
    },
}


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        call(
            fleet.store_address,
            "/v1/kv/knapweedlead/catalogue?cas=0",
            "PUT",
            body=json.dumps(CATALOGUE).encode(),
        )
        fleet.add("front-1", "front", "dc1", child_paths=["/back/part"])
        fleet.add("back-1", "back", "dc2")
        wait_until_served(fleet)
        yield fleet


def wait_until_served(fleet):
    deadline = time.monotonic() + 15
    while time.monotonic() < deadline:
        status, _ = call(
            fleet.by_name["back-1"].caller_address,
            "/front/warm",
            headers={"Authorization": f"Bearer {KEY}"},
        )
        if status == 200:
            return
        time.sleep(0.1)
    raise TimeoutError(fleet.log_of("back-1"))


def test_request_entering_at_any_daemon_returns_whole_answer_of_chain(fleet):
    for server in fleet.by_name.values():
        status, answer = call(
            server.caller_address,
            "/front/wear",
            headers={"Authorization": f"Bearer {KEY}"},
        )
        assert status == 200
        assert answer["server"] == "front-1"
        assert answer["children"][0]["answer"]["server"] == "back-1"


def test_no_backend_server_receives_the_key(fleet):
    for server in fleet.by_name.values():
        _, journal = call(server.backend_server_address, "/standin/journal")
        assert journal["entries"]
        assert KEY not in json.dumps(journal)


def test_request_without_a_key_is_refused_as_not_run(fleet):
    status, problem = call(fleet.by_name["front-1"].caller_address, "/front/wear")
    assert status == 401
    assert problem["reason"] == "missing_key"
    assert problem["outcome"] == "not_run"


def test_malformed_http_is_refused_and_the_daemon_keeps_serving(fleet):
    import socket

    address = fleet.by_name["front-1"].caller_address
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(b"NOT HTTP AT ALL\r\n\r\n")
        assert b"400" in connection.recv(4096)
    status, _ = call(address, "/front/x", headers={"Authorization": f"Bearer {KEY}"})
    assert status == 200
