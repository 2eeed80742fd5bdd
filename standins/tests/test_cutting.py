"""Reported outcomes are correct when a connection is cut at any byte of an exchange."""

import os
import time
from collections import Counter

import pytest

from standins.chains import KEY, catalogue, route
from standins.cutting import CuttingRelay
from standins.fleet import Fleet, call, free_address

STRIDE = int(os.environ.get("KNAPWEEDLEAD_CUT_STRIDE", "23"))
"""Bytes between the tested cut positions; 1 tests every position."""
SIZED_EXCHANGES = 5
"""Exchanges of which the smallest one is taken as the size; control messages between
the daemons add to the others."""

ROUTES = [
    route("tickets", is_idempotent=False, timeout_ms=2000, retry_credits=3),
    route("wear", service="tickets", timeout_ms=2000, retry_credits=3),
]


class RelayedFleet:
    """An entry, a ticket server, and relays on the connections between them."""

    def __init__(self, fleet, relays):
        self.fleet = fleet
        self.edge = fleet.by_name["edge-1"]
        self.tickets = fleet.by_name["tickets-1"]
        self.backend_address, self.to_backend, self.to_tickets, self.to_edge = relays

    def send(self, key, path="/tickets/x"):
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
        return call(self.edge.caller_address, path, "POST", headers, b"wire worn")

    def runs_by_key(self):
        _, journal = call(self.backend_address, "/standin/journal")
        return Counter(
            entry["headers"].get("idempotency-key") for entry in journal["entries"]
        )

    def cuts(self):
        return self.to_backend.cuts + self.to_tickets.cuts + self.to_edge.cuts


@pytest.fixture(scope="module")
def relayed_fleet():
    with Fleet() as fleet:
        call(
            fleet.store_address,
            "/v1/kv/knapweedlead/catalogue?cas=0",
            "PUT",
            body=catalogue(ROUTES),
        )
        edge = fleet.prepare("edge-1", "edge", "dc1", "region-1", 1000)
        tickets = fleet.prepare(
            "tickets-1", "tickets", "dc1", "region-1", 1000, service_s=0.001
        )
        fleet.start_backend_server(edge)
        fleet.start_backend_server(tickets)
        edge_address = edge.settings["link_address"]
        tickets_address = tickets.settings["link_address"]
        backend_address = tickets.backend_server_address
        to_backend = CuttingRelay(free_address(), backend_address)
        to_tickets = CuttingRelay(free_address(), tickets_address)
        to_edge = CuttingRelay(free_address(), edge_address)
        tickets.settings["backend_server"]["address"] = to_backend.address
        fleet.start_daemon(edge, {tickets_address: to_tickets.address})
        fleet.start_daemon(tickets, {edge_address: to_edge.address})
        fleet.wait_for(edge)
        relayed_fleet = RelayedFleet(
            fleet, (backend_address, to_backend, to_tickets, to_edge)
        )
        wait_until_served(relayed_fleet)
        yield relayed_fleet


def wait_until_served(relayed_fleet):
    """Wait until connections are open, so that a cut falls within the exchange."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        status, _ = relayed_fleet.send(f"warm-{time.monotonic()}")
        if status == 200:
            return
        time.sleep(0.05)
    raise TimeoutError(relayed_fleet.fleet.log_of("edge-1"))


def exchange_size(relayed_fleet, counts):
    """Return the bytes of a complete exchange without messages beside it."""
    sizes = []
    for number in range(SIZED_EXCHANGES):
        wait_until_served(relayed_fleet)
        before = counts()
        status, _ = relayed_fleet.send(f"sized-{number}-{before}")
        assert status == 200
        sizes.append(counts() - before)
    return min(sizes)


def sweep(relayed_fleet, name, size, arm, disarm, path="/tickets/x"):
    """Cut at every `STRIDE`-th byte and return the replies by idempotency key.

    A call reported as ``not_run`` must not have run, and a call on the route that is
    not idempotent runs at most once. At least half of the cuts must hit an exchange.
    """
    before = relayed_fleet.cuts()
    replies = {}
    for boundary in range(0, size, STRIDE):
        key = f"{name}-{boundary}"
        wait_until_served(relayed_fleet)
        arm(boundary)
        replies[key] = relayed_fleet.send(key, path)
        disarm()
    runs = relayed_fleet.runs_by_key()
    for key, (status, document) in replies.items():
        outcome = document.get("outcome")
        assert status == 200 or outcome in ("not_run", "unknown"), document
        if outcome == "not_run":
            assert runs[key] == 0, (key, document)
        if status == 200:
            assert runs[key] >= 1
        if path == "/tickets/x":
            assert runs[key] <= 1, (key, document)
        else:
            assert runs[key] <= 4
    assert relayed_fleet.cuts() - before >= len(replies) // 2
    print(name, size, len(replies), relayed_fleet.cuts() - before, _summary(replies))
    return replies


def _summary(replies):
    return dict(Counter(d.get("outcome", s) for s, d in replies.values()))


@pytest.mark.parametrize("is_forward", [True, False])
@pytest.mark.parametrize("path", ["/tickets/x", "/wear/x"])
def test_cut_between_daemon_and_backend_server(relayed_fleet, is_forward, path):
    relay = relayed_fleet.to_backend
    size = exchange_size(
        relayed_fleet, lambda: relay.forwarded if is_forward else relay.returned
    )
    sweep(
        relayed_fleet,
        f"backend-{is_forward}-{path[1:4]}",
        size,
        lambda boundary: relay.arm(is_forward, boundary),
        relay.disarm,
        path,
    )


@pytest.mark.parametrize("is_towards_tickets", [True, False])
@pytest.mark.parametrize("path", ["/tickets/x", "/wear/x"])
def test_cut_of_the_link_between_two_daemons(relayed_fleet, is_towards_tickets, path):
    out, back = relayed_fleet.to_tickets, relayed_fleet.to_edge

    def carried():
        if is_towards_tickets:
            return out.forwarded + back.returned
        return out.returned + back.forwarded

    def arm(boundary):
        out.arm(is_towards_tickets, boundary)
        back.arm(not is_towards_tickets, boundary)

    def disarm():
        out.disarm()
        back.disarm()

    size = exchange_size(relayed_fleet, carried)
    sweep(
        relayed_fleet, f"link-{is_towards_tickets}-{path[1:4]}", size, arm, disarm, path
    )


def test_truncated_answer_is_never_returned_as_complete(relayed_fleet):
    relay = relayed_fleet.to_backend
    replies = {}
    for boundary in range(0, 200, STRIDE):
        wait_until_served(relayed_fleet)
        relay.arm(False, boundary)
        replies[f"whole-{boundary}"] = relayed_fleet.send(f"whole-{boundary}")
        relay.disarm()
    runs = relayed_fleet.runs_by_key()
    for key, (status, document) in replies.items():
        if status == 200:
            assert document["server"] == "tickets-1"
            assert document["echo"] == len(b"wire worn")
        else:
            assert document["outcome"] == ("unknown" if runs[key] else "not_run")
