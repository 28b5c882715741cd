"""What an operator's configuration says: routes, services, client accounts, and which one wins."""

from egretstack.routing._model import (
    ClientAccount,
    ColdPlan,
    EnginePlan,
    Route,
    RouteKind,
    RouteTarget,
    RoutingConfiguration,
    ServicePlan,
    common_homes,
)
from egretstack.routing._table import RoutingTable, VersionGate, key_digest

__all__ = [
    "ClientAccount",
    "ColdPlan",
    "EnginePlan",
    "Route",
    "RouteKind",
    "RouteTarget",
    "RoutingConfiguration",
    "RoutingTable",
    "ServicePlan",
    "VersionGate",
    "common_homes",
    "key_digest",
]
