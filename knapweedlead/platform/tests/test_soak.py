"""A short soak with real processes, and tests of the soak's checks."""

import os
import signal
import subprocess
import sys

import pytest

from knapweedlead.platform.tests.soak.environment import has_default_action
from knapweedlead.platform.tests.soak.observations import (
    ExecutedRequest,
    LimitedSpan,
    Observations,
    SentRequest,
)
from knapweedlead.platform.tests.soak.runner import run_seed

SEED = 11
SECONDS = 4.0


def make_sent(request_id="r1", **changes):
    fields = {
        "path": f"/file/{request_id}",
        "key": "key-crew",
        "daemon": "daemon-0",
        "is_idempotent": False,
        "sent_at": 10.0,
        "ended_at": 10.1,
    }
    return SentRequest(request_id, **(fields | changes))


def make_run(request_id="r1", **changes):
    fields = {
        "path": f"/file/{request_id}",
        "account": "crew",
        "has_key": False,
        "server": "i-1",
        "at": 10.05,
    }
    return ExecutedRequest(request_id, **(fields | changes))


def make_observations(sent, *runs, **changes):
    return Observations(
        account_by_key={"key-crew": "crew"},
        sent_by_id={sent.request_id: sent},
        runs=list(runs),
        **changes,
    )


OK = {"status": 200, "body": b"i-1 /file/r1 "}


@pytest.mark.parametrize(
    ("name", "observations"),
    [
        (
            "non_idempotent_requests_run_once",
            make_observations(make_sent(**OK), make_run(), make_run(at=11.0)),
        ),
        (
            "refused_requests_do_not_run",
            make_observations(make_sent(status=503), make_run()),
        ),
        (
            "answers_are_complete_and_correct",
            make_observations(make_sent(status=200, body=b"i-1 /file"), make_run()),
        ),
        (
            "only_sent_requests_run",
            make_observations(make_sent(**OK), make_run(account="other")),
        ),
        ("only_sent_requests_run", make_observations(make_sent(**OK), make_run("r2"))),
        (
            "withdrawn_keys_run_nothing",
            make_observations(
                make_sent(**OK), make_run(), withdrawn_at_by_key={"key-crew": 4.0}
            ),
        ),
        (
            "draining_servers_get_no_requests",
            make_observations(
                make_sent(**OK), make_run(), drained_at_by_instance={"i-1": 7.0}
            ),
        ),
        (
            "cold_servers_stay_within_their_rate",
            make_observations(
                make_sent(**OK),
                *(make_run(at=10.0 + 0.01 * step) for step in range(70)),
                cold_spans=[("i-1", 9.0, 12.0)],
            ),
        ),
        (
            "servers_that_state_to_leave_get_no_requests",
            make_observations(
                make_sent(**OK), make_run(), left_at_by_instance={"i-1": 7.0}
            ),
        ),
        (
            "limited_servers_stay_within_their_rate",
            make_observations(
                make_sent(**OK),
                *(make_run(at=10.0 + 0.1 * step) for step in range(36)),
                limited_spans=[LimitedSpan("i-1", 5.0, 7.0, 20.0)],
            ),
        ),
        (
            "accepted_requests_are_answered",
            make_observations(make_sent(detail="connection lost"), make_run()),
        ),
        (
            "service_recovers",
            make_observations(make_sent(status=503), recovered_from=9.0),
        ),
    ],
)
def test_each_violation_is_found(name, observations):
    assert name in observations.violations()


def test_default_action_of_a_signal_is_known_from_the_process():
    waiting = "import sys; print(1, flush=True); sys.stdin.read()"
    ignoring = f"import signal; signal.signal(1, signal.SIG_IGN); {waiting}"
    for program, is_default in ((waiting, True), (ignoring, False)):
        with subprocess.Popen(
            [sys.executable, "-c", program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as process:
            process.stdout.readline()
            assert has_default_action(process.pid, signal.SIGHUP) == is_default


def test_served_request_violates_nothing():
    assert make_observations(make_sent(**OK), make_run()).violations() == {}


@pytest.mark.timeout(180)
async def test_short_soak_finds_no_violation():
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
    violations, injected_faults, directory, calls = await run_seed(
        SEED, SECONDS, f"127.78.{1 + worker}", keep_logs=False
    )
    assert violations == {}, f"faults {injected_faults}, logs {directory}"
    assert calls > 500
