"""What a call on a route asks of the services below it."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from knapweedlead.mesh._configuration import MeshConfiguration, Route

MEMORY = 0.7
"""Part of the counts that is kept from one look to the next."""
EVIDENCE_MEMORY = 0.97
"""Part of the evidence that is kept from one look to the next; about 30 looks."""
SWEEPS = 3
"""Passes over all ratios at each look, which begin from the ratios before."""
MIN_RUNS = 2.0
"""Runs below which a look teaches nothing."""
MIN_RATIO = 0.02
"""Child calls a run below which a route does not count as called."""
MAX_RATIO = 64.0
MAX_DEPTH = 24
"""Calls below one another that are followed; deeper chains are cut off."""
HOLD_SMOOTHING = 0.05
"""Weight of the newest run in the mean time that a run holds its slot."""


@attrs.frozen
class RouteDemand:
    """What one run of a route asks for.

    Parameters
    ----------
    hold : float
        Seconds for which a slot of the route's backend server is held.
    ratio_by_child : dict of str to float
        Calls made on other routes while it runs.
    """

    hold: float
    ratio_by_child: dict[str, float]


class DemandModel:
    """Learns from the own backend server's runs and from the calls that it makes.

    A call does not name the run that made it. So the calls made are explained by
    the runs of each route: least squares under the constraint that no ratio is
    negative, with older evidence fading, solved by coordinate descent.
    """

    def __init__(self) -> None:
        self._runs_by_route: dict[str, float] = defaultdict(float)
        self._calls_by_child: dict[str, float] = defaultdict(float)
        self._hold_by_route: dict[str, float] = {}
        self._ratio_by_route_and_child: dict[tuple[str, str], float] = {}
        self._runs_with_runs: dict[tuple[str, str], float] = defaultdict(float)
        self._runs_with_calls: dict[tuple[str, str], float] = defaultdict(float)

    def note_run(self, route: str) -> None:
        """Count a run that began."""
        self._runs_by_route[route] += 1.0

    def note_call(self, child: str) -> None:
        """Count a call that the backend server made."""
        self._calls_by_child[child] += 1.0

    def note_hold(self, route: str, seconds: float) -> None:
        """Note for how long a run held its slot."""
        mean = self._hold_by_route.get(route, seconds)
        self._hold_by_route[route] = mean + HOLD_SMOOTHING * (seconds - mean)

    def learn(self) -> None:
        """Explain the calls counted of late by the runs, and forget a part of them."""
        runs = self._runs_by_route
        calls = self._calls_by_child
        if sum(runs.values()) >= MIN_RUNS:
            _fade(self._runs_with_runs, EVIDENCE_MEMORY)
            _fade(self._runs_with_calls, EVIDENCE_MEMORY)
            for route, count in runs.items():
                for other, other_count in runs.items():
                    self._runs_with_runs[route, other] += count * other_count
                for child, child_count in calls.items():
                    self._runs_with_calls[route, child] += count * child_count
            for child in calls:
                self._solve(child)
        _fade(runs, MEMORY)
        _fade(calls, MEMORY)

    def _solve(self, child: str) -> None:
        ratios = self._ratio_by_route_and_child
        routes = list(self._runs_by_route)
        for _ in range(SWEEPS):
            for route in routes:
                weight = self._runs_with_runs[route, route]
                if weight <= 0.0:
                    continue
                explained = sum(
                    self._runs_with_runs[route, other] * ratios.get((other, child), 0.0)
                    for other in routes
                    if other != route
                )
                ratio = (self._runs_with_calls[route, child] - explained) / weight
                ratios[route, child] = min(MAX_RATIO, max(0.0, ratio))

    def rows(self) -> dict[str, RouteDemand]:
        """Return what is known, by route."""
        by_route: dict[str, dict[str, float]] = {
            route: {} for route in self._hold_by_route
        }
        for (route, child), ratio in self._ratio_by_route_and_child.items():
            if ratio >= MIN_RATIO and route in by_route:
                by_route[route][child] = ratio
        return {
            route: RouteDemand(self._hold_by_route[route], children)
            for route, children in by_route.items()
        }


def _fade(counts: dict[Any, float], memory: float) -> None:
    for name in counts:
        counts[name] *= memory


def merge_rows(
    tables: Iterable[Mapping[str, RouteDemand]],
) -> dict[str, RouteDemand]:
    """Return the means of what several daemons know."""
    rows_by_route: dict[str, list[RouteDemand]] = defaultdict(list)
    for table in tables:
        for route, row in table.items():
            rows_by_route[route].append(row)
    return {route: _mean_row(rows) for route, rows in rows_by_route.items()}


def _mean_row(rows: list[RouteDemand]) -> RouteDemand:
    children = {child for row in rows for child in row.ratio_by_child}
    return RouteDemand(
        hold=sum(row.hold for row in rows) / len(rows),
        ratio_by_child={
            child: sum(row.ratio_by_child.get(child, 0.0) for row in rows) / len(rows)
            for child in children
        },
    )


def slot_time_by_service(
    route: Route,
    configuration: MeshConfiguration,
    rows: Mapping[str, RouteDemand],
) -> dict[str, float]:
    """Return the slot seconds that one call asks of each service, itself included."""
    route_by_name = {known.name: known for known in configuration.routes}
    total: dict[str, float] = defaultdict(float)
    level = {route.name: 1.0}
    for _ in range(MAX_DEPTH):
        below: dict[str, float] = defaultdict(float)
        for name, calls in level.items():
            row = rows.get(name)
            known = route_by_name.get(name)
            if row is None or known is None:
                continue
            weights = sum(part.weight for part in known.services)
            for part in known.services:
                total[part.service] += calls * row.hold * part.weight / weights
            for child, ratio in row.ratio_by_child.items():
                below[child] += calls * ratio
        level = {name: calls for name, calls in below.items() if calls >= MIN_RATIO}
        if not level:
            break
    return dict(total)
