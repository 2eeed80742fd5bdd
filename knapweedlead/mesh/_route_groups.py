"""Groups of routes with one estimate each, whose number is bounded."""

from collections.abc import Container

import attrs

MAX_NAMED_ROUTES = 12
"""Routes that form a group of their own."""
MIN_SHARE = 0.04
"""Share of all calls from which a route gets a group of its own if there are more
routes than such groups."""
MAX_DROPPED_SHARE = 0.02
"""Share of all calls up to which a route loses its own group. It is lower than
`MIN_SHARE`, so that a route near one of them does not change its group often."""
MIN_COUNT = 0.05
"""Discounted number of calls below which a route counts as unused."""

_OTHERS_SUFFIX = "/*"


def other_routes(service: str) -> str:
    """Return the name of the group of a service's routes without their own group."""
    return service + _OTHERS_SUFFIX


def service_of_group(name: str) -> str | None:
    """Return the service of a group of several routes; None for any other name."""
    is_shared = name.endswith(_OTHERS_SUFFIX)
    return name.removesuffix(_OTHERS_SUFFIX) if is_shared else None


@attrs.frozen
class Regrouping:
    """Change of the group of a route; `before` or `after` is its own group."""

    route: str
    before: str
    after: str


@attrs.define(eq=False)
class _RouteUse:
    service: str
    is_named: bool
    count: float = 0.0


class RouteGroups:
    """Assigns the routes in use to groups: their own, or the others of their service.

    As long as there are at most `max_named` routes, each gets its own group. If there
    are more, only routes with a considerable share of the calls have one.

    Parameters
    ----------
    max_named : int
        Maximum number of groups that consist of one route.
    """

    def __init__(self, max_named: int = MAX_NAMED_ROUTES) -> None:
        self.max_named = max_named
        self._use_by_route: dict[str, _RouteUse] = {}
        self._named: set[str] = set()

    def record(self, route: str, service: str) -> str:
        """Count a call on a route of a service; return the route's group."""
        use = self._use_by_route.get(route)
        if use is None:
            is_named = len(self._use_by_route) < self.max_named
            use = self._use_by_route[route] = _RouteUse(service, is_named)
            if is_named:
                self._named.add(route)
        use.count += 1.0
        return route if use.is_named else other_routes(use.service)

    def group_of(self, route: str) -> str:
        """Return the group of a route in use."""
        use = self._use_by_route[route]
        return route if use.is_named else other_routes(use.service)

    @property
    def groups(self) -> frozenset[str]:
        """Groups of all routes in use."""
        return frozenset(map(self.group_of, self._use_by_route))

    def update(self, decay: float, kept: Container[str] = ()) -> list[Regrouping]:
        """Discount the counts, forget unused routes, and regroup at most two routes.

        Parameters
        ----------
        decay : float
            Factor by which all counts are multiplied.
        kept : container of str
            Routes that stay in use without calls.
        """
        for use in self._use_by_route.values():
            use.count *= decay
        unused = [
            route
            for route, use in self._use_by_route.items()
            if use.count < MIN_COUNT and route not in kept
        ]
        for route in unused:
            del self._use_by_route[route]
            self._named.discard(route)
        if len(self._named) == len(self._use_by_route):
            return []
        total = sum(use.count for use in self._use_by_route.values())
        return [*self._drop_smallest(total), *self._name_largest(total)]

    @property
    def _is_crowded(self) -> bool:
        return len(self._use_by_route) > self.max_named

    def _drop_smallest(self, total: float) -> list[Regrouping]:
        """Remove the smallest group of one route if its share is too small."""
        uses = self._use_by_route
        if not self._is_crowded or not self._named:
            return []
        route = min(self._named, key=lambda name: uses[name].count)
        use = uses[route]
        if use.count > MAX_DROPPED_SHARE * total:
            return []
        use.is_named = False
        self._named.remove(route)
        return [Regrouping(route, route, other_routes(use.service))]

    def _name_largest(self, total: float) -> list[Regrouping]:
        """Give the most frequent route without a group its own, if it is due."""
        if len(self._named) >= self.max_named:
            return []
        uses = self._use_by_route
        unnamed = (name for name, use in uses.items() if not use.is_named)
        route = max(unnamed, key=lambda name: uses[name].count)
        use = uses[route]
        if self._is_crowded and use.count < MIN_SHARE * total:
            return []
        use.is_named = True
        self._named.add(route)
        return [Regrouping(route, other_routes(use.service), route)]
