"""All resources at one revision."""

import json
from functools import cached_property
from typing import Any

import attrs
from result import Err, Ok, Result

from knapweedlead.configuration._resources import (
    KINDS,
    BackendServer,
    ClientAccount,
    DataCentre,
    Key,
    Resource,
    Route,
    Service,
    check_resource,
)
from knapweedlead.errors import ResourceError


@attrs.frozen(slots=False)
class Catalogue:
    """Every resource in force at a revision.

    Parameters
    ----------
    revision : int
        Rises by one with each accepted change.
    by_kind : dict of str to dict of str to Resource
        Resources by kind and name.
    """

    revision: int
    by_kind: dict[str, dict[str, Resource]]

    @cached_property
    def client_accounts(self) -> dict[str, ClientAccount]:
        """Client accounts by name."""
        return self._of("client_accounts")

    @cached_property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._of("services")

    @cached_property
    def data_centres(self) -> dict[str, DataCentre]:
        """Data centres by name."""
        return self._of("data_centres")

    @cached_property
    def backend_servers(self) -> dict[str, BackendServer]:
        """Statements on backend servers by name."""
        return self._of("backend_servers")

    @cached_property
    def keys_by_digest(self) -> dict[str, Key]:
        """Keys that work, by hexadecimal SHA-256 digest."""
        keys: dict[str, Key] = self._of("keys")
        return {key.sha256: key for key in keys.values() if not key.is_withdrawn}

    @cached_property
    def _routes_longest_first(self) -> list[Route]:
        routes: dict[str, Route] = self._of("routes")
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

    def _of(self, kind: str) -> Any:
        return self.by_kind.get(kind, {})

    def to_document(self) -> dict[str, Any]:
        """Return the catalogue as a JSON-compatible document."""
        return {
            "revision": self.revision,
            "resources": {
                kind: [attrs.asdict(resource) for resource in by_name.values()]
                for kind, by_name in self.by_kind.items()
            },
        }


def parse_catalogue(data: bytes) -> Result[Catalogue, ResourceError]:
    """Build a catalogue from the JSON bytes of `Catalogue.to_document`."""
    try:
        document = json.loads(data)
        revision = document["revision"]
        resources = document["resources"]
    except (ValueError, KeyError, TypeError) as error:
        detail = f"not a catalogue: {type(error).__name__}"
        return Err(ResourceError("configuration.parse", "catalogue", detail))
    by_kind: dict[str, dict[str, Resource]] = {kind: {} for kind in KINDS}
    for kind, items in resources.items():
        for item in items:
            checked = check_resource(kind, item)
            if isinstance(checked, Err):
                return checked
            by_kind[kind][checked.ok_value.name] = checked.ok_value
    return Ok(Catalogue(revision, by_kind))
