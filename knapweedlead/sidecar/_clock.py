"""Clocks used by the daemon."""

import time


def read_clock() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_time_of_day() -> float:
    """Return seconds since the epoch; this clock may jump.

    Used for log lines, and for the age of a server at its first heartbeat.
    """
    return time.clock_gettime(time.CLOCK_REALTIME)
