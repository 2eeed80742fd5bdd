"""What the logs of a fleet tell about one request."""

import re
from collections.abc import Iterable
from pathlib import Path

import attrs

_TIME = re.compile(r"\btime=(\d+\.\d+)")


@attrs.frozen
class LogLine:
    """A line of a log, and when it was written, in seconds since the epoch."""

    time: float
    text: str


def lines_about(request_id: str, files: Iterable[Path]) -> list[LogLine]:
    """Return the lines that name a request, of all files, in the order of time.

    Parameters
    ----------
    request_id : str
    files : iterable of Path
        Logs of daemons, one key=value line for each event.
    """
    pattern = re.compile(rf"\brequest={re.escape(request_id)}(?=\s|$)")
    found = [
        LogLine(_time_of(line), line.rstrip("\n"))
        for file in files
        for line in file.read_text("utf-8", "replace").splitlines()
        if pattern.search(line)
    ]
    return sorted(found, key=lambda line: line.time)


def lines_around(
    daemon: str, at: float, seconds: float, files: Iterable[Path]
) -> list[LogLine]:
    """Return what a daemon came to believe around a time.

    Parameters
    ----------
    daemon : str
    at : float
        Seconds since the epoch.
    seconds : float
        How long before and after.
    files : iterable of Path
    """
    lines = [
        LogLine(_time_of(line), line)
        for file in files
        for line in file.read_text("utf-8", "replace").splitlines()
        if f"daemon={daemon} " in line and " request=" not in line
    ]
    near = [line for line in lines if abs(line.time - at) <= seconds]
    return sorted(near, key=lambda line: line.time)


def _time_of(line: str) -> float:
    match = _TIME.search(line)
    return 0.0 if match is None else float(match[1])
