"""Daemons relay bodies up to the size limit and refuse larger ones."""

import time

import pytest

from standins.chains import KEY, catalogue, route
from standins.fleet import Fleet, call

LIMIT = 4 * 1024 * 1024
HEADERS = {"Authorization": f"Bearer {KEY}"}


@pytest.fixture(scope="module")
def address():
    with Fleet() as fleet:
        call(
            fleet.store_address,
            "/v1/kv/knapweedlead/catalogue?cas=0",
            "PUT",
            body=catalogue([route("wear", timeout_ms=20_000)]),
        )
        edge = fleet.add("edge-1", "edge", "dc1")
        fleet.add("wear-1", "wear", "dc1")
        wait_until_served(edge.caller_address)
        yield edge.caller_address


def wait_until_served(address):
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        if call(address, "/wear/x", headers=HEADERS)[0] == 200:
            return
        time.sleep(0.1)
    raise TimeoutError(address)


@pytest.mark.parametrize("size", [0, 1, 65_536, 1_000_003, LIMIT])
def test_body_up_to_the_limit_arrives_whole(address, size):
    status, answer = call(address, "/wear/x", "POST", HEADERS, bytes(size), 30.0)
    assert status == 200
    assert answer["echo"] == size


def test_body_over_the_limit_is_refused_and_the_daemon_keeps_serving(address):
    try:
        status, problem = call(address, "/wear/x", "POST", HEADERS, bytes(LIMIT + 1))
    except OSError:
        pass  # The daemon may close the connection while the body is being sent.
    else:
        assert status == 413
        assert problem["reason"] == "request_too_large"
    assert call(address, "/wear/x", headers=HEADERS)[0] == 200
