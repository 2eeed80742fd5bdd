"""Operator changes take effect while the fleet serves callers."""

import http.client
import json
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from knapweedlead.load import LoadPlan, StreamPlan
from standins.demo import KEY_BY_ACCOUNT, RESOURCES
from standins.deployment import apply_resources, send_load, wait_until_known
from standins.fleet import Fleet, call

KEY = {"Authorization": f"Bearer {KEY_BY_ACCOUNT['steady']}"}

CHANGE_TIMEOUT = 7.0
"""Limit, in seconds, for a change, or a withdrawn key, to be in force everywhere."""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("operators")
    with Fleet(str(directory)) as fleet:
        for data_centre in ("east", "west"):
            fleet.add(f"front-{data_centre}", "front", data_centre)
        wait_until_known(fleet)
        path = directory / "resources.json"
        path.write_text(json.dumps(RESOURCES))
        apply_resources(fleet, path)
        yield fleet


def journal_of(fleet, name):
    _, journal = call(fleet.by_name[name].backend_server_address, "/standin/journal")
    return journal["entries"]


def send_load_until(done, fleet):
    """Send one load after the other until the event `done`; return the reports."""
    plan = LoadPlan(
        targets=("127.0.0.1:1",),
        duration_s=2.0,
        streams=(
            StreamPlan(
                name="browse",
                client_account="steady",
                key=KEY_BY_ACCOUNT["steady"],
                path="/browse/list",
                rate_per_s=40.0,
            ),
        ),
    )
    reports = []
    while not done.is_set():
        reports.append(send_load(fleet, plan))
    return reports


def run_operator_command(fleet, *words):
    assert fleet.run_operator_command(*words).returncode == 0


def wait_for_runs(fleet, name, count):
    """Wait until a server has received more than `count` requests."""
    deadline = time.monotonic() + CHANGE_TIMEOUT
    while len(journal_of(fleet, name)) <= count and time.monotonic() < deadline:
        time.sleep(0.1)
    assert len(journal_of(fleet, name)) > count


def test_data_centre_taken_out_and_back_under_load(fleet):
    done = threading.Event()
    with ThreadPoolExecutor() as executor:
        load = executor.submit(send_load_until, done, fleet)
        try:
            wait_for_runs(fleet, "front-east", 0)
            run_operator_command(fleet, "take-out", "data_centres", "east", "--wait")
            time.sleep(1.0)
            runs_when_out = len(journal_of(fleet, "front-east"))
            time.sleep(3.0)
            assert len(journal_of(fleet, "front-east")) == runs_when_out
            run_operator_command(fleet, "bring-back", "data_centres", "east", "--wait")
            wait_for_runs(fleet, "front-east", runs_when_out)
        finally:
            done.set()
    refusals = [report.streams[0].refusals_by_reason for report in load.result()]
    assert refusals == [{}] * len(refusals)
    assert len(refusals) > 1


def test_withdrawn_key_is_refused_on_an_open_connection_within_seconds(fleet):
    host, _, port = fleet.by_name["front-west"].caller_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    statuses: Counter[int] = Counter()

    def request():
        connection.request("GET", "/browse/list", headers=KEY)
        answer = connection.getresponse()
        answer.read()
        statuses[answer.status] += 1
        return answer.status

    assert request() == 200
    assert fleet.run_operator_command("withdraw-key", "steady_1").returncode == 0
    deadline = time.monotonic() + CHANGE_TIMEOUT
    while request() == 200 and time.monotonic() < deadline:
        time.sleep(0.05)
    assert [request() for _ in range(5)] == [401] * 5


def test_forged_parent_is_refused(fleet):
    forged = {"knapweedlead-parent": "0" * 32}
    address = fleet.by_name["front-west"].caller_address
    status, problem = call(address, "/browse/list", headers=forged)
    assert (status, problem["reason"]) == (403, "invalid_parent")


def test_neither_secret_nor_key_is_logged(fleet):
    logs = "".join(fleet.log_of(name) for name in fleet.by_name)
    secrets = [s.settings["fleet_secret"] for s in fleet.by_name.values()]
    secrets += [s.settings["operator_credential"] for s in fleet.by_name.values()]
    secrets += list(KEY_BY_ACCOUNT.values())
    assert logs
    assert [secret for secret in secrets if secret in logs] == []
