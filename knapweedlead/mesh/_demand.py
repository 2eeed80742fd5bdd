"""Estimation of the slot time that a call on a route uses at each service."""

import itertools
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs

from knapweedlead.mesh._route_groups import Regrouping, RouteGroups

EVIDENCE_DECAY = 0.98
"""Factor by which older observations are discounted at each update, so that they cover
about 50 updates."""
MIN_CALLS = 5.0
"""Child calls from which an estimate is computed."""
MAX_FITS = 8
"""Called groups that are estimated in one update, since each takes processor time on
the event loop; further ones take turns."""
RIDGE = 1e-3
"""Ridge penalty as a fraction of the largest diagonal element. It prevents large
estimates of opposite sign for routes that always run at the same time."""
MIN_RATIO = 0.05
"""Child calls per run from which a route counts as called."""
MAX_RATIO = 64.0
PIVOT_EPSILON = 1e-12
SLOT_TIME_RISE = 0.03
SLOT_TIME_FALL = 0.09
"""Weight of the newest run in the mean slot time of its route, if the run was longer
(rise) or not longer (fall) than the mean. Runs whose child calls wait for a full
service occupy their slot for longer; rises have less weight, so that such runs do not
make the service of the route appear scarce."""


@attrs.frozen
class RouteDemand:
    """Resources that one run of a route, or of a group of routes, uses.

    Parameters
    ----------
    slot_time : float
        Seconds for which the run occupies a slot of the route's backend server.
    ratio_by_child : dict of str to float
        Mean number of calls that the run makes on other routes or groups of routes.
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

    The time and memory of least squares grow faster than the number of routes, and a
    configuration may have hundreds. Routes, and the routes that are called, are
    therefore estimated in groups, whose number is bounded (see `RouteGroups`).

    Parameters
    ----------
    service : str
        Service of the local server.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self._groups = RouteGroups()
        self._child_groups = RouteGroups()
        self._running_by_route: dict[str, int] = {}
        self._running_by_group: dict[str, int] = defaultdict(int)
        self._started_by_group: dict[str, float] = defaultdict(float)
        self._run_time_by_group: dict[str, float] = defaultdict(float)
        self._slot_time_by_group: dict[str, float] = {}
        self._overlap: dict[tuple[str, str], float] = defaultdict(float)
        self._calls_by_child: dict[str, float] = defaultdict(float)
        self._calls_during: dict[tuple[str, str], float] = defaultdict(float)
        self._ratio_by_group_and_child: dict[tuple[str, str], float] = {}
        self._fitted_in_update: dict[str, int] = {}
        self._updates = itertools.count(1)
        self._sampled_at: float | None = None

    def record_run(self, route: str) -> None:
        """Count a run that started."""
        group = self._groups.record(route, self.service)
        self._running_by_route[route] = self._running_by_route.get(route, 0) + 1
        self._running_by_group[group] += 1
        self._started_by_group[group] += 1.0

    def record_end(self, route: str) -> None:
        """Count a run that ended, with or without an answer."""
        self._running_by_group[self._groups.group_of(route)] -= 1
        self._running_by_route[route] -= 1
        if not self._running_by_route[route]:
            del self._running_by_route[route]

    def record_child_call(self, child: str, service: str) -> None:
        """Count a call on the route `child` of a service that the local server made."""
        group = self._child_groups.record(child, service)
        self._calls_by_child[group] += 1.0
        for running_group, running in self._running_by_group.items():
            if running:
                self._calls_during[running_group, group] += running

    def record_slot_time(self, route: str, seconds: float) -> None:
        """Update the slot time of a route with the duration of an answered run."""
        group = self._groups.group_of(route)
        mean = self._slot_time_by_group.get(group, seconds)
        weight = SLOT_TIME_RISE if seconds > mean else SLOT_TIME_FALL
        self._slot_time_by_group[group] = mean + weight * (seconds - mean)

    def sample(self, now: float) -> None:
        """Integrate the numbers of running calls over the time since the last sample.

        The numbers are assumed constant between samples, so samples must be taken at
        short intervals.
        """
        elapsed = 0.0 if self._sampled_at is None else now - self._sampled_at
        self._sampled_at = now
        active = [pair for pair in self._running_by_group.items() if pair[1]]
        for group, running in active:
            self._run_time_by_group[group] += running * elapsed
            for other, other_running in active:
                self._overlap[group, other] += running * other_running * elapsed

    def update(self) -> None:
        """Update the estimates and discount older observations."""
        update = next(self._updates)
        due = [
            child for child, calls in self._calls_by_child.items() if calls >= MIN_CALLS
        ]
        due.sort(key=lambda child: self._fitted_in_update.get(child, 0))
        for child in due[:MAX_FITS]:
            self._fitted_in_update[child] = update
            self._fit(child)
        for counts in (
            self._started_by_group,
            self._calls_by_child,
            self._overlap,
            self._calls_during,
            self._run_time_by_group,
        ):
            _decay(counts)
        self._regroup()

    def _regroup(self) -> None:
        for change in self._groups.update(EVIDENCE_DECAY, self._running_by_route):
            self._move_runs(change)
        self._child_groups.update(EVIDENCE_DECAY)
        groups, children = self._groups.groups, self._child_groups.groups
        for by_group in (
            self._running_by_group,
            self._started_by_group,
            self._run_time_by_group,
            self._slot_time_by_group,
        ):
            _keep_keys(by_group, lambda group: group in groups)
        for by_child in (self._calls_by_child, self._fitted_in_update):
            _keep_keys(by_child, lambda child: child in children)
        _keep_keys(self._overlap, lambda pair: groups.issuperset(pair))
        for by_pair in (self._calls_during, self._ratio_by_group_and_child):
            _keep_keys(by_pair, lambda pair: pair[0] in groups and pair[1] in children)

    def _move_runs(self, change: Regrouping) -> None:
        running = self._running_by_route.get(change.route, 0)
        self._running_by_group[change.before] -= running
        self._running_by_group[change.after] += running

    def _fit(self, child: str) -> None:
        groups = [group for group, runs in self._started_by_group.items() if runs >= 1]
        rates = dict.fromkeys(groups, 0.0)
        kept = groups
        while kept:
            solved = self._solve(kept, child)
            lowest = min(solved, key=lambda group: solved[group])
            if solved[lowest] >= 0.0:
                rates |= solved
                break
            kept = [group for group in kept if group != lowest]
        for group in groups:
            run_time = self._run_time_by_group[group] / self._started_by_group[group]
            ratio = min(MAX_RATIO, rates[group] * run_time)
            self._ratio_by_group_and_child[group, child] = ratio

    def _solve(self, groups: list[str], child: str) -> dict[str, float]:
        """Return the child calls per second that a run of each group makes."""
        largest = max(self._overlap[group, group] for group in groups)
        rows = [
            [
                self._overlap[group, other] + RIDGE * largest * (group == other)
                for other in groups
            ]
            + [self._calls_during[group, child]]
            for group in groups
        ]
        return dict(zip(groups, solve_linear(rows), strict=True))

    def estimates(self) -> dict[str, RouteDemand]:
        """Return the current estimates by route or group of routes."""
        by_group: dict[str, dict[str, float]] = {
            group: {} for group in self._slot_time_by_group
        }
        for (group, child), ratio in self._ratio_by_group_and_child.items():
            if ratio >= MIN_RATIO and group in by_group:
                by_group[group][child] = ratio
        return {
            group: RouteDemand(self._slot_time_by_group[group], children)
            for group, children in by_group.items()
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


def _keep_keys(values: dict[Any, Any], is_kept: Callable[[Any], bool]) -> None:
    """Remove the entries of a dictionary whose keys are not to be kept."""
    for key in [key for key in values if not is_kept(key)]:
        del values[key]
