"""Catalogue: all resources at one revision."""

from functools import cached_property
from typing import Any

import attrs

from knapweedlead.configuration._resources import (
    BackendServer,
    ClientAccount,
    DataCentre,
    Key,
    Resource,
    Route,
    Service,
)


@attrs.frozen
class AcceptedChange:
    """Record of a change that the store accepted.

    Parameters
    ----------
    revision : int
        Revision created by the change.
    change_id : str
        Idempotency key given by the operator.
    kind, name : str
        Kind and name of the resource.
    digest : str
        Truncated digest of the content; empty for a deletion.
    """

    revision: int
    change_id: str
    kind: str
    name: str
    digest: str


@attrs.frozen(slots=False)
class Catalogue:
    """All resources at a revision of the configuration.

    Parameters
    ----------
    revision : int
        Revision number, incremented by each accepted change.
    by_kind : dict of str to dict of str to Resource
        Resources by kind and name.
    version_by_name : dict of str to dict of str to int
        Revision of each resource's last change, by kind and name.
    changes : tuple of AcceptedChange
        Most recent changes, oldest first.
    """

    revision: int
    by_kind: dict[str, dict[str, Resource]]
    version_by_name: dict[str, dict[str, int]] = attrs.field(factory=dict)
    changes: tuple[AcceptedChange, ...] = ()

    @cached_property
    def client_accounts(self) -> dict[str, ClientAccount]:
        """Client accounts by name."""
        return self._resources_of("client_accounts")

    @cached_property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._resources_of("services")

    @cached_property
    def data_centres(self) -> dict[str, DataCentre]:
        """Data centres by name."""
        return self._resources_of("data_centres")

    @cached_property
    def backend_servers(self) -> dict[str, BackendServer]:
        """Declared service states of backend servers, by name."""
        return self._resources_of("backend_servers")

    @cached_property
    def keys_by_digest(self) -> dict[str, Key]:
        """Keys that are not withdrawn, by hexadecimal SHA-256 digest."""
        keys: dict[str, Key] = self._resources_of("keys")
        return {key.sha256: key for key in keys.values() if not key.is_withdrawn}

    @cached_property
    def _routes_longest_first(self) -> list[Route]:
        routes: dict[str, Route] = self._resources_of("routes")
        return sorted(routes.values(), key=lambda route: -len(route.path_prefix))

    def route_of(self, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        matching = (
            route
            for route in self._routes_longest_first
            if path.startswith(route.path_prefix)
        )
        return next(matching, None)

    def is_data_centre_in_service(self, name: str) -> bool:
        """Return whether a data centre accepts calls; true if undeclared."""
        data_centre = self.data_centres.get(name)
        return data_centre is None or data_centre.in_service

    def is_backend_server_in_service(self, name: str, data_centre: str) -> bool:
        """Return whether a backend server and its data centre accept calls."""
        declared = self.backend_servers.get(name)
        if declared is not None and not declared.in_service:
            return False
        return self.is_data_centre_in_service(data_centre)

    def _resources_of(self, kind: str) -> Any:
        return self.by_kind.get(kind, {})

    def resource(self, kind: str, name: str) -> Resource | None:
        """Return a resource, or None if it does not exist."""
        return self.by_kind.get(kind, {}).get(name)

    def version_of(self, kind: str, name: str) -> int:
        """Return the revision of a resource's last change; 0 if it does not exist."""
        if name not in self.by_kind.get(kind, {}):
            return 0
        return self.version_by_name.get(kind, {}).get(name, self.revision)
