"""Usual times of calls, by route."""

import statistics
from collections import deque

import attrs

WINDOW_SECONDS = 1.0
"""Least time over which a median is taken."""

WINDOW_SAMPLES = 32
"""Least samples of which a median is taken."""

MAX_WINDOW_SAMPLES = 256
"""Samples kept of a window; later ones are left out of its median."""

MEDIANS_KEPT = 32
"""Windows from which the usual time is taken."""

MAX_ROUTES = 256
"""Routes that are kept; the one first seen gives way to a new one."""

_QUARTER = 4


@attrs.define
class _RouteTimes:
    opened_at: float
    window: list[float] = attrs.field(factory=list)
    medians: deque[float] = attrs.field(factory=lambda: deque(maxlen=MEDIANS_KEPT))
    usual: float = 0.0


class RouteTimes:
    """Learns the usual time of each route's calls.

    The usual time is the lower quartile of the medians of the last windows: one
    slow period does not pass for usual until it fills most of the windows.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteTimes] = {}

    def __len__(self) -> int:
        return len(self._by_route)

    def usual(self, route: str) -> float:
        """Return the usual time of a route in seconds, 0.0 while unknown."""
        times = self._by_route.get(route)
        return 0.0 if times is None else times.usual

    def slowdown(self, route: str, seconds: float) -> float:
        """Return `seconds` over the usual time, 1.0 while that is unknown."""
        usual = self.usual(route)
        return seconds / usual if usual > 0.0 else 1.0

    def add(self, route: str, seconds: float, now: float) -> None:
        """Take up the time of one call."""
        times = self._by_route.get(route)
        if times is None:
            times = self._open(route, now)
        if len(times.window) < MAX_WINDOW_SAMPLES:
            times.window.append(seconds)
        is_long = now - times.opened_at >= WINDOW_SECONDS
        if is_long and len(times.window) >= WINDOW_SAMPLES:
            self._close_window(times, now)

    def _open(self, route: str, now: float) -> _RouteTimes:
        if len(self._by_route) >= MAX_ROUTES:
            del self._by_route[next(iter(self._by_route))]
        times = self._by_route[route] = _RouteTimes(now)
        return times

    def _close_window(self, times: _RouteTimes, now: float) -> None:
        times.medians.append(statistics.median(times.window))
        times.usual = sorted(times.medians)[len(times.medians) // _QUARTER]
        times.window.clear()
        times.opened_at = now
