"""Estimation of the slot time that a call on a route uses at each service."""

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import attrs

from knapweedlead.mesh._configuration import MeshConfiguration, Route

EVIDENCE_DECAY = 0.98
"""Factor by which older observations are discounted at each update, so that they cover
about 50 updates."""
MIN_CALLS = 5.0
"""Child calls from which an estimate is computed."""
RIDGE = 1e-3
"""Ridge penalty as a fraction of the largest diagonal element. It prevents large
estimates of opposite sign for routes that always run at the same time."""
MIN_RATIO = 0.05
"""Child calls per run from which a route counts as called."""
MAX_RATIO = 64.0
PIVOT_EPSILON = 1e-12
MAX_DEPTH = 24
"""Levels of child calls that are followed; deeper levels are ignored."""
SLOT_TIME_RISE = 0.03
SLOT_TIME_FALL = 0.09
"""Weight of the newest run in the mean slot time of its route, if the run was longer
(rise) or not longer (fall) than the mean. Runs whose child calls wait for a full
service occupy their slot for longer; rises have less weight, so that such runs do not
make the service of the route appear scarce."""


@attrs.frozen
class RouteDemand:
    """Resources that one run of a route uses.

    Parameters
    ----------
    slot_time : float
        Seconds for which the run occupies a slot of the route's backend server.
    ratio_by_child : dict of str to float
        Mean number of calls that the run makes on other routes.
    """

    slot_time: float
    ratio_by_child: dict[str, float]


class DemandModel:
    """Estimates the demand of routes from the runs and calls of the local server.

    A call does not name the run that made it, but it is made during that run. The rate
    of calls on a route is therefore a sum over the running routes: the number of runs
    in progress times the calls that each run makes per second. The calls per
    second of one run are estimated with least squares, since the numbers of runs of the
    routes vary independently.
    """

    def __init__(self) -> None:
        self._running_by_route: dict[str, int] = defaultdict(int)
        self._started_by_route: dict[str, float] = defaultdict(float)
        self._calls_by_child: dict[str, float] = defaultdict(float)
        self._slot_time_by_route: dict[str, float] = {}
        self._overlap: dict[tuple[str, str], float] = defaultdict(float)
        self._calls_during: dict[tuple[str, str], float] = defaultdict(float)
        self._run_time_by_route: dict[str, float] = defaultdict(float)
        self._ratio_by_route_and_child: dict[tuple[str, str], float] = {}
        self._sampled_at: float | None = None

    def record_run(self, route: str) -> None:
        """Count a run that started."""
        self._running_by_route[route] += 1
        self._started_by_route[route] += 1.0

    def record_end(self, route: str) -> None:
        """Count a run that ended, with or without an answer."""
        self._running_by_route[route] -= 1

    def record_child_call(self, child: str) -> None:
        """Count a call on the route `child` that the backend server made."""
        self._calls_by_child[child] += 1.0
        for route, running in self._running_by_route.items():
            if running:
                self._calls_during[route, child] += running

    def record_slot_time(self, route: str, seconds: float) -> None:
        """Update the slot time of a route with the duration of an answered run."""
        mean = self._slot_time_by_route.get(route, seconds)
        weight = SLOT_TIME_RISE if seconds > mean else SLOT_TIME_FALL
        self._slot_time_by_route[route] = mean + weight * (seconds - mean)

    def sample(self, now: float) -> None:
        """Integrate the numbers of running calls over the time since the last sample.

        The numbers are assumed constant between samples, so samples must be taken at
        short intervals.
        """
        elapsed = 0.0 if self._sampled_at is None else now - self._sampled_at
        self._sampled_at = now
        active = [pair for pair in self._running_by_route.items() if pair[1]]
        for route, running in active:
            self._run_time_by_route[route] += running * elapsed
            for other, other_running in active:
                self._overlap[route, other] += running * other_running * elapsed

    def update(self) -> None:
        """Update the estimates and discount older observations."""
        for child, calls in self._calls_by_child.items():
            if calls >= MIN_CALLS:
                self._fit(child)
        for counts in (
            self._started_by_route,
            self._calls_by_child,
            self._overlap,
            self._calls_during,
            self._run_time_by_route,
        ):
            _decay(counts)

    def _fit(self, child: str) -> None:
        routes = [route for route, runs in self._started_by_route.items() if runs >= 1]
        rates = dict.fromkeys(routes, 0.0)
        kept = routes
        while kept:
            solved = self._solve(kept, child)
            lowest = min(solved, key=lambda route: solved[route])
            if solved[lowest] >= 0.0:
                rates |= solved
                break
            kept = [route for route in kept if route != lowest]
        for route in routes:
            run_time = self._run_time_by_route[route] / self._started_by_route[route]
            ratio = min(MAX_RATIO, rates[route] * run_time)
            self._ratio_by_route_and_child[route, child] = ratio

    def _solve(self, routes: list[str], child: str) -> dict[str, float]:
        """Return the child calls per second that a run of each route makes."""
        largest = max(self._overlap[route, route] for route in routes)
        rows = [
            [
                self._overlap[route, other] + RIDGE * largest * (route == other)
                for other in routes
            ]
            + [self._calls_during[route, child]]
            for route in routes
        ]
        return dict(zip(routes, solve_linear(rows), strict=True))

    def estimates(self) -> dict[str, RouteDemand]:
        """Return the current estimates by route."""
        by_route: dict[str, dict[str, float]] = {
            route: {} for route in self._slot_time_by_route
        }
        for (route, child), ratio in self._ratio_by_route_and_child.items():
            if ratio >= MIN_RATIO and route in by_route:
                by_route[route][child] = ratio
        return {
            route: RouteDemand(self._slot_time_by_route[route], children)
            for route, children in by_route.items()
        }


def solve_linear(rows: list[list[float]]) -> list[float]:
    """Solve a system of linear equations by elimination with pivoting.

    Parameters
    ----------
    rows : list of list of float
        Coefficients and right-hand side of each equation; modified in place.

    Returns
    -------
    list of float
        The solution; 0.0 for unknowns that the equations do not determine.
    """
    size = len(rows)
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(rows[row][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        if abs(rows[column][column]) < PIVOT_EPSILON:
            continue
        for row in range(size):
            if row != column:
                factor = rows[row][column] / rows[column][column]
                for index in range(column, size + 1):
                    rows[row][index] -= factor * rows[column][index]
    return [
        row[size] / row[index] if abs(row[index]) >= PIVOT_EPSILON else 0.0
        for index, row in enumerate(rows)
    ]


def _decay(counts: dict[Any, float]) -> None:
    for name in counts:
        counts[name] *= EVIDENCE_DECAY


def slot_time_by_service(
    route: Route,
    configuration: MeshConfiguration,
    estimates: Mapping[str, RouteDemand],
) -> dict[str, float]:
    """Return the seconds of slot time that one call uses at each service.

    The slot time of the call itself is included.
    """
    total: dict[str, float] = defaultdict(float)
    level = {route.name: 1.0}
    for _ in range(MAX_DEPTH):
        below: dict[str, float] = defaultdict(float)
        for name, calls in level.items():
            estimate = estimates.get(name)
            known = configuration.route_by_name.get(name)
            if estimate is None or known is None:
                continue
            weights = sum(part.weight for part in known.services)
            for part in known.services:
                total[part.service] += (
                    calls * estimate.slot_time * part.weight / weights
                )
            for child, ratio in estimate.ratio_by_child.items():
                below[child] += calls * ratio
        level = {name: calls for name, calls in below.items() if calls >= MIN_RATIO}
        if not level:
            break
    return dict(total)
