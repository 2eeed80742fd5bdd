"""Operators' resources, their revisions and how they spread."""

from knapweedlead.configuration._catalogue import Catalogue, parse_catalogue
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
from knapweedlead.configuration._role import ConfigurationChanged, ConfigurationRole

__all__ = [
    "KINDS",
    "BackendServer",
    "Catalogue",
    "ClientAccount",
    "ConfigurationChanged",
    "ConfigurationRole",
    "DataCentre",
    "Key",
    "Resource",
    "Route",
    "Service",
    "check_resource",
    "parse_catalogue",
]
