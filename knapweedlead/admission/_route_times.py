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

MEDIANS_NEEDED = 3
"""Windows before which no usual time is known."""

MAX_ROUTES = 256
"""Routes that are kept; the one first seen gives way to a new one."""


@attrs.define
class _RouteTimes:
    opened_at: float
    is_squeezed: bool = False
    window: list[float] = attrs.field(factory=list)
    medians: deque[float] = attrs.field(factory=lambda: deque(maxlen=MEDIANS_KEPT))
    usual: float = 0.0


class RouteTimes:
    """Learns the usual time of each route's calls.

    The usual time is the median of the medians of the last windows. While the
    limit is lowered only faster windows count: else the slowness that keeps the
    limit low would come to pass for usual, and let it rise.
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

    def add(
        self, route: str, seconds: float, now: float, is_squeezed: bool = False
    ) -> None:
        """Take up the time of one call.

        Parameters
        ----------
        route : str
            Route, or another name of a kind of call.
        seconds : float
            Time of the call.
        now : float
            Seconds, monotonic.
        is_squeezed : bool
            Whether the limit is below the slots of the backend server.
        """
        times = self._by_route.get(route)
        if times is None:
            times = self._open(route, now)
        times.is_squeezed |= is_squeezed
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
        median = statistics.median(times.window)
        is_slow = bool(times.usual) and median > times.usual
        if not (times.is_squeezed and is_slow):
            times.medians.append(median)
        if len(times.medians) >= MEDIANS_NEEDED:
            times.usual = statistics.median(times.medians)
        times.window.clear()
        times.is_squeezed = False
        times.opened_at = now
