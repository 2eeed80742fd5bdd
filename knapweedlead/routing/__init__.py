"""Routing: selection of the backend server for each attempt."""

from knapweedlead.routing._balancers import BALANCERS, Balancer, cost
from knapweedlead.routing._ejection import EJECTORS, Ejector, ejected_servers
from knapweedlead.routing._router import Router, RoutingCriteria
from knapweedlead.routing._server import ObservedServer

__all__ = [
    "BALANCERS",
    "EJECTORS",
    "Balancer",
    "Ejector",
    "ObservedServer",
    "Router",
    "RoutingCriteria",
    "cost",
    "ejected_servers",
]
