"""Search in the log files of a fleet."""

import re
from collections.abc import Iterable
from pathlib import Path

import attrs

_TIME = re.compile(r"\btime=(\d+\.\d+)")


@attrs.frozen
class LogLine:
    """Line of a log file and its time in seconds since the Unix epoch."""

    time: float
    text: str


def find_request_lines(request_id: str, files: Iterable[Path]) -> list[LogLine]:
    """Return the lines of a request in all files, ordered by time.

    Parameters
    ----------
    request_id : str
    files : iterable of Path
        Log files of daemons, one line of key=value pairs for each event.
    """
    pattern = re.compile(rf"\brequest={re.escape(request_id)}(?=\s|$)")
    found = [
        LogLine(_parse_time(line), line.rstrip("\n"))
        for file in files
        for line in file.read_text("utf-8", "replace").splitlines()
        if pattern.search(line)
    ]
    return sorted(found, key=lambda line: line.time)


def find_daemon_lines(
    daemon: str, at: float, seconds: float, files: Iterable[Path]
) -> list[LogLine]:
    """Return a daemon's lines near a given time that belong to no request.

    Parameters
    ----------
    daemon : str
    at : float
        Seconds since the Unix epoch.
    seconds : float
        Maximum difference from `at`.
    files : iterable of Path
    """
    lines = [
        LogLine(_parse_time(line), line)
        for file in files
        for line in file.read_text("utf-8", "replace").splitlines()
        if f"daemon={daemon} " in line and " request=" not in line
    ]
    near = [line for line in lines if abs(line.time - at) <= seconds]
    return sorted(near, key=lambda line: line.time)


def _parse_time(line: str) -> float:
    match = _TIME.search(line)
    return 0.0 if match is None else float(match[1])
