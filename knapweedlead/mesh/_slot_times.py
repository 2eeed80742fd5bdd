"""Slot time that a call and all of its child calls use at each service."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

import attrs

from knapweedlead.mesh._configuration import MeshConfiguration, Route, WeightedService
from knapweedlead.mesh._demand import MIN_RATIO, RouteDemand
from knapweedlead.mesh._route_groups import other_routes, service_of_group

MAX_DEPTH = 24
"""Levels of child calls that are followed; deeper levels are ignored."""


@attrs.frozen
class _Part:
    """Part of the calls on a route, with the service that runs it and its estimate."""

    service: str
    share: float
    estimate: RouteDemand


def slot_times_by_route(
    configuration: MeshConfiguration, estimates: Mapping[str, RouteDemand]
) -> dict[str, dict[str, float]]:
    """Return the slot times of the routes that are not public and have an estimate.

    Routes that share the estimate of a group share one dictionary. See
    `slot_time_by_service`.
    """
    by_route: dict[str, dict[str, float]] = {}
    by_services: dict[tuple[WeightedService, ...], dict[str, float]] = {}
    for route in configuration.routes:
        if route.is_public:
            continue
        if route.name in estimates:
            times = slot_time_by_service(route, configuration, estimates)
            by_route[route.name] = times
        elif any(other_routes(part.service) in estimates for part in route.services):
            if route.services not in by_services:
                times = slot_time_by_service(route, configuration, estimates)
                by_services[route.services] = times
            by_route[route.name] = by_services[route.services]
    return by_route


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
            for part in _parts(name, configuration, estimates):
                estimate = part.estimate
                total[part.service] += calls * part.share * estimate.slot_time
                for child, ratio in estimate.ratio_by_child.items():
                    below[child] += calls * part.share * ratio
        level = {name: calls for name, calls in below.items() if calls >= MIN_RATIO}
        if not level:
            break
    return dict(total)


def _parts(
    name: str, configuration: MeshConfiguration, estimates: Mapping[str, RouteDemand]
) -> Iterator[_Part]:
    """Yield the parts of a route, or of a group of routes, that have an estimate."""
    route = configuration.route_by_name.get(name)
    if route is None:
        service = service_of_group(name)
        if service is not None and name in estimates:
            yield _Part(service, 1.0, estimates[name])
        return
    weights = sum(part.weight for part in route.services)
    for part in route.services:
        estimate = estimates.get(name) or estimates.get(other_routes(part.service))
        if estimate is not None:
            yield _Part(part.service, part.weight / weights, estimate)
