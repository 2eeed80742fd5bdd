"""Configuration of a fleet: services, routes and client accounts."""

import random

import attrs


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's calls in proportion to `weight`."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Services for the calls under a path prefix of a host, and call policies.

    Parameters
    ----------
    name, host, prefix : str
        The path prefix starts and ends with a slash.
    services : tuple of WeightedService
        At least one.
    is_idempotent : bool
        Whether a call may run more than once.
    timeout : float
        Seconds within which the caller receives an answer or a failure.
    target_latency : float
        Seconds within which an answer is fully useful to the caller.
    priority : int
        0 is the most important.
    max_attempts : int
        Maximum number of attempts that reach a backend server.
    is_public : bool
        Whether calls need no key.
    is_usable : bool
        False if the entry of the route could not be decoded; its calls are refused.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    is_public: bool
    is_usable: bool = True

    def choose_service(self, rng: random.Random) -> str:
        """Return a random service, with probability proportional to its weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [part.weight for part in self.services]
        return rng.choices(self.services, weights)[0].service


@attrs.frozen
class Service:
    """Properties common to all backend servers of a service.

    Parameters
    ----------
    name, health_path : str
    max_connections : int
        Connections that one backend server accepts.
    cold_start : float
        Seconds for which a backend server stays cold after its start.
    cold_rate : float
        Calls per second that a cold backend server sustains.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start: float
    cold_rate: float


@attrs.frozen
class ClientAccount:
    """Account that keys belong to, with its limits.

    Parameters
    ----------
    name : str
    keys : tuple of str
    priority : int or None
        Takes precedence over the route's priority; None to use the route's.
    rate, burst : float
        Calls per second, and calls at once, over the whole fleet; a rate of 0 means
        no limit.
    is_usable : bool
        False if the entry of the account could not be decoded; its calls are refused.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float
    is_usable: bool = True


@attrs.frozen
class RequestLimits:
    """Limits on requests of callers, in bytes and seconds."""

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 30.0
    idle_timeout: float = 75.0


@attrs.frozen
class _HostRoutes:
    """Routes of a host by prefix; `depth` is the largest number of slashes in one."""

    by_prefix: dict[str, Route]
    depth: int

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Only prefixes of the path with at most `depth` slashes are looked up, so that a
        path of many slashes takes no longer.
        """
        end = 0
        for _ in range(self.depth):
            following = path.find("/", end) + 1
            if not following:
                break
            end = following
        while end:
            route = self.by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


@attrs.frozen
class MeshConfiguration:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
    service_by_name : dict of str to Service
    account_by_name : dict of str to ClientAccount
    limits : RequestLimits
    requires_keys : bool
        Whether calls on routes that are not public need a key even if there is no
        account. It is true for a document with an empty list of accounts, so that
        nobody is admitted after the last account is removed.
    problems : tuple of str
        Parts of the document that could not be decoded, each with the reason.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    account_by_name: dict[str, ClientAccount]
    limits: RequestLimits
    requires_keys: bool = False
    problems: tuple[str, ...] = ()
    account_by_key: dict[str, ClientAccount] = attrs.field(init=False, repr=False)
    route_by_name: dict[str, Route] = attrs.field(init=False, repr=False)
    _routes_by_host: dict[str, _HostRoutes] = attrs.field(init=False, repr=False)

    @account_by_key.default
    def _index_keys(self) -> dict[str, ClientAccount]:
        accounts = self.account_by_name.values()
        return {key: account for account in accounts for key in account.keys}

    @route_by_name.default
    def _index_names(self) -> dict[str, Route]:
        return {route.name: route for route in self.routes}

    @_routes_by_host.default
    def _index_routes(self) -> dict[str, _HostRoutes]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        return {
            host: _HostRoutes(by_prefix, max(prefix.count("/") for prefix in by_prefix))
            for host, by_prefix in by_host.items()
        }

    @property
    def needs_keys(self) -> bool:
        """Whether calls on routes that are not public need a key."""
        return self.requires_keys or bool(self.account_by_name)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix, or None."""
        routes = self._routes_by_host.get(host)
        return None if routes is None else routes.find(path)
