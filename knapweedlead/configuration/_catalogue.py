"""All resources at one revision."""

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
    """A change of one resource that the store accepted.

    Parameters
    ----------
    revision : int
        Revision that the change made.
    change_id : str
        Name that the operator gave to the change.
    kind, name : str
        The resource concerned.
    digest : str
        Digest of the content; empty for a deletion.
    """

    revision: int
    change_id: str
    kind: str
    name: str
    digest: str


@attrs.frozen(slots=False)
class Catalogue:
    """Every resource in force at a revision.

    Parameters
    ----------
    revision : int
        Rises by one with each accepted change.
    by_kind : dict of str to dict of str to Resource
        Resources by kind and name.
    version_by_name : dict of str to dict of str to int
        Revision of each resource's last change, by kind and name.
    changes : tuple of AcceptedChange
        The last changes, oldest first.
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
        """Statements on backend servers by name."""
        return self._resources_of("backend_servers")

    @cached_property
    def keys_by_digest(self) -> dict[str, Key]:
        """Keys that work, by hexadecimal SHA-256 digest."""
        keys: dict[str, Key] = self._resources_of("keys")
        return {key.sha256: key for key in keys.values() if not key.is_withdrawn}

    @cached_property
    def _routes_longest_first(self) -> list[Route]:
        routes: dict[str, Route] = self._resources_of("routes")
        return sorted(routes.values(), key=lambda route: -len(route.path_prefix))

    def route_of(self, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`."""
        matching = (
            route
            for route in self._routes_longest_first
            if path.startswith(route.path_prefix)
        )
        return next(matching, None)

    def is_data_centre_in_service(self, name: str) -> bool:
        """Return whether a data centre takes work; an undeclared one does."""
        data_centre = self.data_centres.get(name)
        return data_centre is None or data_centre.in_service

    def is_backend_server_in_service(self, name: str, data_centre: str) -> bool:
        """Return whether a backend server takes work by the statements on it."""
        statement = self.backend_servers.get(name)
        if statement is not None and not statement.in_service:
            return False
        return self.is_data_centre_in_service(data_centre)

    def _resources_of(self, kind: str) -> Any:
        return self.by_kind.get(kind, {})

    def resource(self, kind: str, name: str) -> Resource | None:
        """Return one resource, or None where there is none of that name."""
        return self.by_kind.get(kind, {}).get(name)

    def version_of(self, kind: str, name: str) -> int:
        """Return the revision of a resource's last change; 0 where it is missing."""
        if name not in self.by_kind.get(kind, {}):
            return 0
        return self.version_by_name.get(kind, {}).get(name, self.revision)
