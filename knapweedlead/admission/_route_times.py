"""Typical durations of calls, by route."""

import statistics
from collections import deque

import attrs

MIN_WINDOW_SECONDS = 1.0
"""Least duration of a window over which a median is computed."""

MIN_WINDOW_SAMPLES = 32
"""Least number of samples of which a median is computed."""

MAX_WINDOW_SAMPLES = 256
"""Samples kept of a window; later ones do not count towards its median."""

MAX_MEDIANS = 32
"""Latest windows from which the typical time is computed."""

MIN_MEDIANS = 3
"""Windows needed before a typical time is known."""

MAX_ROUTES = 256
"""Maximum number of tracked routes; a new route replaces the route added first."""


@attrs.define
class _RouteStatistics:
    opened_at: float
    is_limited: bool = False
    window: list[float] = attrs.field(factory=list)
    medians: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_MEDIANS))
    typical: float = 0.0


class RouteTimes:
    """Estimates the typical time of the calls of each route.

    The typical time is the median of the medians of the latest windows. While the
    limit is lowered, windows with a median above the typical time are ignored:
    otherwise the slowness that caused the lower limit would be adopted as typical
    and let the limit rise again.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteStatistics] = {}

    def __len__(self) -> int:
        return len(self._by_route)

    def typical(self, route: str) -> float:
        """Return the typical time of a route in seconds, 0.0 while unknown."""
        times = self._by_route.get(route)
        return 0.0 if times is None else times.typical

    def slowdown(self, route: str, seconds: float) -> float:
        """Return `seconds` divided by the typical time, 1.0 without a typical time."""
        typical = self.typical(route)
        return seconds / typical if typical > 0.0 else 1.0

    def add(
        self, route: str, seconds: float, now: float, is_limited: bool = False
    ) -> None:
        """Add the time of one call.

        Parameters
        ----------
        route : str
            Route, or another key for a kind of call.
        seconds : float
            Duration of the call.
        now : float
            Seconds, monotonic.
        is_limited : bool
            Whether the limit is below the number of slots of the backend server.
        """
        times = self._by_route.get(route)
        if times is None:
            times = self._add_route(route, now)
        times.is_limited |= is_limited
        if len(times.window) < MAX_WINDOW_SAMPLES:
            times.window.append(seconds)
        is_long = now - times.opened_at >= MIN_WINDOW_SECONDS
        if is_long and len(times.window) >= MIN_WINDOW_SAMPLES:
            self._close_window(times, now)

    def _add_route(self, route: str, now: float) -> _RouteStatistics:
        if len(self._by_route) >= MAX_ROUTES:
            del self._by_route[next(iter(self._by_route))]
        times = self._by_route[route] = _RouteStatistics(now)
        return times

    def _close_window(self, times: _RouteStatistics, now: float) -> None:
        median = statistics.median(times.window)
        is_slow = bool(times.typical) and median > times.typical
        if not (times.is_limited and is_slow):
            times.medians.append(median)
        if len(times.medians) >= MIN_MEDIANS:
            times.typical = statistics.median(times.medians)
        times.window.clear()
        times.is_limited = False
        times.opened_at = now
