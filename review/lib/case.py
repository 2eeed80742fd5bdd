"""Runs a case: record, exit code, and the checks that several cases use."""

import asyncio
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

from fleet import CannotRunError

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT = 110.0
MAX_LOST = 3
"""LOST allows three requests."""


class Record:
    """Writes `record.txt` in the folder of the case."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, text):
        """Write a line with the seconds since the start."""
        elapsed = time.monotonic() - self._started_at
        print(f"{elapsed:8.3f} {text}", file=self._file, flush=True)

    def since_start(self, at):
        """Return the seconds from the start of the record to a time."""
        return at - self._started_at


def main(play):
    """Run a case, a coroutine function of folder, record and whether to disturb."""
    folder = Path(sys.argv[1])
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {has_trouble}")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            played = play(Path(scratch), record, has_trouble)
            is_broken = asyncio.run(asyncio.wait_for(played, TIME_LIMIT))
    except CannotRunError as error:
        record(f"can't run: {error}")
        sys.exit(CANNOT_RUN)
    except Exception:
        record("can't run: " + traceback.format_exc())
        sys.exit(CANNOT_RUN)
    record("result: " + ("the rule is broken" if is_broken else "the rule held"))
    sys.exit(BROKEN if is_broken else HELD)


def write_requests(record, callers, runs):
    """Write what was sent, answered and run, one line a request."""
    entries = sorted((e for c in callers for e in c.sent), key=lambda e: e["sent"])
    for entry in entries:
        ran = ",".join(run["server"] for run in runs.get(entry["id"], ()))
        record(
            f"request {entry['id']} at {record.since_start(entry['sent']):.3f} to "
            f"{entry['machine']} {entry['method']} {entry['path']} body "
            f"{entry['bytes']} kept {entry['kept']}: {entry['status']} "
            f"{entry['outcome']}; run by [{ran}]"
        )


def report_lost(fleet, callers, record, harmed=()):
    """Write the record's end; return whether LOST, "at any time", is broken."""
    for machine in fleet.machines:
        ends = [f"{record.since_start(at):.3f} ({code})" for at, code in machine.ends]
        record(f"{machine.name}: held {machine.peak >> 20} MB at most, ended at {ends}")
    write_requests(record, callers, fleet.runs())
    lost = lost_on_kept(fleet, callers, harmed)
    for name, ids in lost.items():
        record(f"{name} lost {len(ids)} requests on kept connections: {ids}")
    return any(len(ids) > MAX_LOST for ids in lost.values())


def lost_on_kept(fleet, callers, harmed=()):
    """Return the requests that break LOST, "at any time", by machine.

    Counted are requests on a kept connection, passed on to a sound server, whose
    connection the machine closed without an answer, before their deadline. The machine
    was in touch: the platform disturbed it in no way in the last `stableWindowMs`; a
    process that ends by itself counts as running.
    """
    runs = fleet.runs()
    lost = {}
    for caller in callers:
        for entry in caller.sent:
            ran = [r for r in runs.get(entry["id"], ()) if r["server"] not in harmed]
            is_cut = entry["outcome"].startswith("cut")
            is_early = entry["ended"] - entry["sent"] < 5.0 if is_cut else False
            if entry["kept"] and ran and is_cut and is_early:
                lost.setdefault(entry["machine"], []).append(entry["id"])
    return lost
