"""The operator API refuses and counts bad requests and continues to serve."""

import json
import socket
import threading
import urllib.request

import pytest

from standins.fleet import OPERATOR_CREDENTIAL, Fleet, call

CREDENTIAL = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
SERVICE = json.dumps({"name": "front"}).encode()


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        fleet.add("front-1", "front", "dc1")
        done = call(
            fleet.by_name["front-1"].operator_address,
            "/v1/services/front",
            "PUT",
            CREDENTIAL,
            SERVICE,
        )
        assert done[0] == 200
        yield fleet


@pytest.fixture
def address(fleet):
    return fleet.by_name["front-1"].operator_address


def metrics_at(address):
    request = urllib.request.Request(f"http://{address}/metrics", headers=CREDENTIAL)
    with urllib.request.urlopen(request, timeout=10) as response:
        return response.read().decode()


@pytest.mark.parametrize("path", ["/v1/services", "/v1/status", "/metrics"])
def test_request_without_valid_credential_is_refused(address, path):
    for headers in ({}, {"Authorization": "Bearer wrong"}):
        status, problem = call(address, path, headers=headers)
        assert (status, problem["reason"]) == (401, "missing_credential")


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "expected"),
    [
        ("PUT", "/v1/services/x", {}, b"{", (400, "malformed_json")),
        ("PUT", "/v1/services/x", {}, b" " * 300_000, (413, "too_large")),
        (
            "PUT",
            "/v1/services/x",
            {"If-Match": '"x"'},
            SERVICE,
            (400, "wrong_revision"),
        ),
        ("GET", "/v1/nothing", {}, None, (404, "unknown_kind")),
        (
            "GET",
            "/v1/services?watch=true&from=999",
            {},
            None,
            (400, "wrong_revision"),
        ),
        ("GET", "/v1/services?watch=true&from=x", {}, None, (400, "wrong_revision")),
    ],
)
def test_bad_request_is_refused_with_its_reason_and_counted(
    address, method, path, headers, body, expected
):
    status, problem = call(address, path, method, {**CREDENTIAL, **headers}, body)
    assert (status, problem["reason"]) == expected
    assert f'reason="{expected[1]}"' in metrics_at(address)
    assert call(address, "/v1/services", headers=CREDENTIAL)[0] == 200


def test_non_http_bytes_do_not_stop_the_operator_listener(address):
    host, _, port = address.rpartition(":")
    for junk in (b"\x00\xff\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"A" * 100_000):
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(junk)
    assert call(address, "/v1/services", headers=CREDENTIAL)[0] == 200


def test_watch_streams_the_changes_after_a_revision(fleet, address):
    done = []
    arguments = ("watch", "services", "--from-revision", "1", "--count", "2")
    watch = threading.Thread(
        target=lambda: done.append(fleet.run_operator_command(*arguments))
    )
    watch.start()
    for name in ("back", "deep"):
        body = json.dumps({"name": name}).encode()
        assert call(address, f"/v1/services/{name}", "PUT", CREDENTIAL, body)[0] == 200
    watch.join(timeout=30)
    records = [json.loads(line) for line in done[0].stdout.splitlines()]
    assert [(r["revision"], r["change"], r["name"]) for r in records] == [
        (2, "applied", "back"),
        (3, "applied", "deep"),
    ]
