"""Clock of the daemon."""

import time


def read_clock() -> float:
    """Return seconds that also pass while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
