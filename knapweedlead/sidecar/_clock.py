"""Clocks used by the daemon."""

import time


def read_clock() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_time_of_day() -> float:
    """Return seconds since the epoch; only for log lines, since this clock may jump."""
    return time.clock_gettime(time.CLOCK_REALTIME)
