"""Configuration of the fleet: resources, revisions and their distribution."""

from knapweedlead.configuration._catalogue import AcceptedChange, Catalogue
from knapweedlead.configuration._document import parse_catalogue, serialize_catalogue
from knapweedlead.configuration._operations import (
    ApplyResource,
    DeleteResource,
    GetResource,
    GetStatus,
    ListResources,
    OperatorReply,
)
from knapweedlead.configuration._operator_role import OperatorRole
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
from knapweedlead.configuration._spreading import SPREADING
from knapweedlead.configuration._status import StatusRole

__all__ = [
    "KINDS",
    "SPREADING",
    "AcceptedChange",
    "ApplyResource",
    "BackendServer",
    "Catalogue",
    "ClientAccount",
    "ConfigurationChanged",
    "ConfigurationRole",
    "DataCentre",
    "DeleteResource",
    "GetResource",
    "GetStatus",
    "Key",
    "ListResources",
    "OperatorReply",
    "OperatorRole",
    "Resource",
    "Route",
    "Service",
    "StatusRole",
    "check_resource",
    "parse_catalogue",
    "serialize_catalogue",
]
