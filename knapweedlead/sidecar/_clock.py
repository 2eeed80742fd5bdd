"""Clocks of the daemon."""

import time


def read_clock() -> float:
    """Return seconds that also pass while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_time_of_day() -> float:
    """Return seconds since the epoch, for log lines only: it may jump."""
    return time.clock_gettime(time.CLOCK_REALTIME)
