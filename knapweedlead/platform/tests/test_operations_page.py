"""The commands of docs/OPERATIONS.md lead from a failed request's id to the cause."""

import json
import os
import re
import shlex
import subprocess
import sys
from pathlib import Path

import knapweedlead
from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet
from knapweedlead.sidecar._recorder import LineWriter

PAGE = Path(knapweedlead.__file__).parents[1] / "docs" / "OPERATIONS.md"
ACCOUNT = "crew"
PROGRAM = [sys.executable, "-m", "knapweedlead.operators.main"]


class LoggedFleet(Fleet):
    """A fleet in which each daemon writes a log file."""

    def __init__(self, directory):
        super().__init__()
        self.directory = directory

    async def add(self, index, service, zone):
        """Start a daemon, then direct its log lines to a file."""
        await super().add(index, service, zone)
        path = self.directory / f"daemon-{index}.log"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
        self.sidecars[-1].recorder.writer = LineWriter(descriptor)

    def flush(self):
        """Write all buffered log lines."""
        for sidecar in self.sidecars:
            sidecar.recorder.writer.flush()


def read_page_commands(title, request_id):
    """Return the page's general commands and the commands of one section."""
    text = PAGE.read_text("utf-8")
    general = re.findall(r"^    (knapweedleadctl explain .*)$", text, re.MULTILINE)
    section = text.partition(f"\n## {title}\n")[2].partition("\n## ")[0]
    specific = re.findall(r"`(grep [^`]+)`", section)
    assert general and section
    return [
        command.replace("REQUEST_ID", request_id).replace("ACCOUNT", ACCOUNT)
        for command in general + specific
    ]


def run_page_commands(title, request_id, directory):
    """Run the page's commands and return their output."""
    output = []
    for command in read_page_commands(title, request_id):
        words = shlex.split(command)
        files = sorted(str(path) for path in directory.glob("daemon-*.log"))
        if words[0] == "grep":
            words = [*words, "-h", *files]
        else:
            patterns = [word for word in words[1:] if "*" not in word]
            words = [*PROGRAM, *patterns[:2], *files, *patterns[2:]]
        completed = subprocess.run(words, capture_output=True, text=True, check=False)
        assert completed.returncode == 0, (
            f"{command}: {completed.stdout}{completed.stderr}"
        )
        output.append(completed.stdout)
    return "".join(output)


async def test_rate_refusal_is_traced_to_a_lowered_rate(tmp_path):
    async with LoggedFleet(tmp_path) as fleet:
        lowered = CONFIGURATION["tenants"][0] | {"ratePerS": 1, "burst": 1}
        document = CONFIGURATION | {"version": "r9", "tenants": [lowered]}
        fleet.store.write("op/config", json.dumps(document).encode())
        await fleet.wait_until(
            lambda: all(s.entry.configuration.version == 9 for s in fleet.sidecars)
        )
        for number in range(40):
            request_id = f"{number:016x}"
            answer = await fleet.call(0, "GET", "/read/1", request_id=request_id)
            if answer.status == 429:
                break
        assert answer.status == 429
        fleet.flush()
        title = "Refused though the account was within its rate"
        output = run_page_commands(title, request_id, tmp_path)
        assert "reason=rate_exceeded" in output
        assert "event=account account=crew rate=1.0 burst=1.0" in output
        assert "version=9" in output


async def test_unknown_outcome_is_traced_to_the_instance(tmp_path):
    async with LoggedFleet(tmp_path) as fleet:
        for server in fleet.servers:
            server.behaviour = "cut"
        answer = await fleet.call(0, "POST", "/file/1", request_id="00000000000012e4")
        assert answer.status == 502
        fleet.flush()
        title = "Ended 502, and it is not known whether it ran"
        output = run_page_commands(title, "00000000000012e4", tmp_path)
        assert "event=call_refused request=00000000000012e4" in output
        assert "reason=backend_server_failed" in output
        instance = re.search(
            r"event=attempt_failed .*was_sent=True instance=(\S+)", output
        )
        assert instance[1] in {server.instance for server in fleet.servers}


async def test_late_answer_is_traced_to_its_service_time(tmp_path):
    async with LoggedFleet(tmp_path) as fleet:
        for server in fleet.servers:
            server.service_time = 0.7
        answer = await fleet.call(0, "GET", "/read/1", request_id="000000000000abcd")
        assert answer.status == 200
        fleet.flush()
        output = run_page_commands("Answered, but late", "000000000000abcd", tmp_path)
        line = re.search(r"event=call_answered request=000000000000abcd .*", output)[0]
        fields = dict(pair.split("=", 1) for pair in line.split())
        assert int(fields["elapsed_ms"]) > int(fields["target_ms"])
        assert int(fields["ran_ms"]) >= 600
        assert int(fields["waited_ms"]) < 100


async def test_no_key_is_logged(tmp_path):
    async with LoggedFleet(tmp_path) as fleet:
        assert (await fleet.call(0, "GET", "/read/1")).status == 200
        assert (await fleet.call(0, "GET", "/read/2", key="key-wrong")).status == 401
        fleet.flush()
        logs = "".join(path.read_text("utf-8") for path in tmp_path.glob("*.log"))
        assert "reason=invalid_key" in logs
        assert "key-crew" not in logs
        assert "key-wrong" not in logs
