"""Simulated chains of services, for tests and benchmarks of call trees."""

import hashlib
import json
from typing import Any

import attrs

from knapweedlead.positions import StorePosition
from knapweedlead.store import CompareAndSwap
from standins.cores import CallerReply, CoreBackendServer, Cores

KEY = "key-of-the-chain"
CALLER = {"authorization": f"Bearer {KEY}"}
CATALOGUE_KEY = "knapweedlead/catalogue"

WARM_UP_SECONDS = 3.0
"""Seconds until every core has all members and the configuration."""


def service_name(depth: int) -> str:
    """Return the name of the service at a depth, from 0."""
    return f"s{depth:02d}"


def route(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route document for a service of the same name."""
    return {
        "name": name,
        "path_prefix": f"/{name}",
        "service": name,
        "priority": 1,
        "is_idempotent": True,
        **fields,
    }


def catalogue(
    routes: list[dict[str, Any]], revision: int = 1, **kinds: list[dict[str, Any]]
) -> bytes:
    """Return a catalogue with one client account and key, as JSON.

    Each list in `kinds` replaces the default resources of that kind.
    """
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    resources = {
        "client_accounts": [{"name": "crew", "rate_per_s": 1e5, "burst": 1e5}],
        "keys": [{"name": "crew-1", "client_account": "crew", "sha256": digest}],
        "routes": routes,
        "services": [{"name": one["service"]} for one in routes],
        "data_centres": [{"name": "dc1"}, {"name": "dc2"}],
        **kinds,
    }
    return json.dumps({"revision": revision, "resources": resources}).encode()


def apply(cores: Cores, document: bytes) -> None:
    """Replace the catalogue in the store."""
    entry = cores.store.state.by_key.get(CATALOGUE_KEY)
    revision = 0 if entry is None else entry.revision
    expected = StorePosition(cores.store.state.era, revision)
    write = CompareAndSwap(CATALOGUE_KEY, document, expected)
    cores.store.call(write, cores, lambda result: None)


@attrs.define(eq=False)
class Chain:
    """A chain of services, each calling the next.

    Parameters
    ----------
    cores : Cores
        Simulation that runs the chain.
    depth : int
        Number of services in the chain.
    servers : int
        Number of backend servers of each service.
    """

    cores: Cores
    depth: int
    servers: int = 1

    @classmethod
    def build(
        cls,
        seed: int,
        depth: int,
        servers: int = 1,
        children: int = 1,
        routing: Any = None,
        backend_server: dict[str, Any] | None = None,
        **route_fields: Any,
    ) -> "Chain":
        """Start the cores of a chain and run them for `WARM_UP_SECONDS` seconds."""
        cores = Cores(seed)
        names = [service_name(level) for level in range(depth)]
        routes = [route(name, **route_fields) for name in names]
        apply(cores, catalogue(routes))
        settings = {} if routing is None else {"routing": routing}
        for level, name in enumerate(names):
            below = names[level + 1 : level + 2]
            paths = [f"/{one}/{n}" for one in below for n in range(children)]
            for number in range(servers):
                fake = CoreBackendServer(
                    child_paths=paths, service_s=0.001, **(backend_server or {})
                )
                cores.add(f"{name}-{number}", name, backend_server=fake, **settings)
        cores.run_for(WARM_UP_SECONDS)
        return cls(cores, depth, servers)

    def call(self, trace: int = 1, entry: str = "", **kwargs: Any) -> CallerReply:
        """Call the first service; retries of a request share its `trace`."""
        headers = {**CALLER, "traceparent": f"00-{trace:032x}-{1:016x}-01"}
        name = entry or f"{service_name(0)}-0"
        return self.cores.call(name, f"/{service_name(0)}/x", headers, **kwargs)

    def attempts_at(self, level: int, trace: int = 1) -> int:
        """Return how many requests of a trace reached the service at a level."""
        name = service_name(level)
        return sum(
            request.headers.get("traceparent", "")[3:35] == f"{trace:032x}"
            for core in self.cores.by_name.values()
            if core.settings.service == name
            for request in core.backend_server.journal
        )
