"""Processor time and memory of processes, read from ``/proc``."""

import os
from pathlib import Path

_NS_PER_S = 1_000_000_000
_BYTES_PER_KB = 1024


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process since its start, in seconds."""
    text = Path(f"/proc/{pid}/schedstat").read_text("ascii")
    return int(text.split()[0]) / _NS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = Path(f"/proc/{pid}/statm").read_text("ascii").split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def private_bytes(pid: int) -> int:
    """Return the memory that a process does not share with others, in bytes."""
    text = Path(f"/proc/{pid}/smaps_rollup").read_text("ascii")
    rows = [line.split() for line in text.splitlines()]
    return sum(
        int(row[1]) * _BYTES_PER_KB for row in rows if row[0].startswith("Private_")
    )
