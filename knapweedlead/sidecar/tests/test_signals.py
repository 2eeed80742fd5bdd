"""Signals received while a daemon starts."""

import signal
import subprocess
import sys
import time
from pathlib import Path

from knapweedlead.sidecar.main import EXIT_BAD_SETTINGS

TIMEOUT = 20.0


def is_ignored(pid, number):
    """Return whether a process ignores a signal."""
    status = Path(f"/proc/{pid}/status").read_text("ascii")
    mask = next(line for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(mask.split()[1], 16) & 1 << (number - 1))


def test_sighup_during_startup_does_not_end_the_process():
    process = subprocess.Popen(
        [sys.executable, "-m", "knapweedlead.sidecard"],
        env={"PATH": ""},
        cwd=Path(__file__).resolve().parents[3],
        stderr=subprocess.DEVNULL,
    )
    deadline = time.monotonic() + TIMEOUT
    while not is_ignored(process.pid, signal.SIGHUP):
        assert process.poll() is None, "ended before it ignored the signal"
        assert time.monotonic() < deadline
        time.sleep(0.002)
    process.send_signal(signal.SIGHUP)
    # Without a boot file the process has to exit with the status for bad settings.
    assert process.wait(TIMEOUT) == EXIT_BAD_SETTINGS
