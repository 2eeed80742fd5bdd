"""A rolling replacement of all instances under load loses or repeats no request."""

import json
import signal
import threading
from collections import Counter

import pytest

from knapweedlead.load import LoadPlan, StreamPlan
from standins.demo import KEY_BY_ACCOUNT, RESOURCES
from standins.deployment import apply_resources, send_load, wait_until_known
from standins.fleet import Fleet, call

SERVICES = {"front": ["/middle/step"], "middle": []}


def plan():
    def stream(name, path, rate, **more):
        return StreamPlan(
            name=name,
            client_account="steady",
            key=KEY_BY_ACCOUNT["steady"],
            path=path,
            rate_per_s=rate,
            retries=4,
            retry_delay_ms=100.0,
            **more,
        )

    return LoadPlan(
        targets=("127.0.0.1:1",),
        duration_s=40.0,
        streams=(
            stream("browse", "/browse/list", 20.0),
            stream(
                "orders", "/orders/new", 10.0, method="POST", sends_idempotency_key=True
            ),
        ),
    )


def replace(fleet, server):
    """Stop a daemon gracefully, then its backend server, and restart both.

    Returns the journal of the stopped backend server.
    """
    server.daemon.send_signal(signal.SIGTERM)
    server.daemon.wait(timeout=40)
    _, journal = call(server.backend_server_address, "/standin/journal")
    server.backend_server.terminate()
    server.backend_server.wait(timeout=10)
    fleet.start_backend_server(server)
    fleet.start_daemon(server)
    fleet.wait_for(server)
    wait_until_known(fleet)
    return journal["entries"]


@pytest.fixture(scope="module")
def outcome(tmp_path_factory):
    directory = tmp_path_factory.mktemp("rolling")
    journals = []
    with Fleet(str(directory)) as fleet:
        for service, child_paths in SERVICES.items():
            for data_centre in ("east", "west"):
                name = f"{service}-{data_centre}"
                fleet.add(name, service, data_centre, child_paths=child_paths)
        wait_until_known(fleet)
        path = directory / "resources.json"
        path.write_text(json.dumps(RESOURCES))
        apply_resources(fleet, path)
        reports = []
        load = threading.Thread(target=lambda: reports.append(send_load(fleet, plan())))
        load.start()
        for server in list(fleet.by_name.values()):
            journals += replace(fleet, server)
        load.join()
        for server in fleet.by_name.values():
            _, journal = call(server.backend_server_address, "/standin/journal")
            journals += journal["entries"]
        yield reports[0], journals


def test_no_request_is_cut(outcome):
    report, _ = outcome
    assert [(s.stream, s.cuts) for s in report.streams] == [
        ("browse", 0),
        ("orders", 0),
    ]


def test_every_request_is_eventually_answered(outcome):
    report, _ = outcome
    assert [s.refusals_by_reason for s in report.streams] == [{}, {}]


def test_no_order_runs_twice(outcome):
    _, journals = outcome
    runs = Counter(
        entry["headers"]["idempotency-key"]
        for entry in journals
        if entry["path"].startswith("/orders")
    )
    assert runs
    assert [key for key, count in runs.items() if count > 1] == []
