"""The operator's configuration: routes, services, client accounts, and which version applies."""

from egretstack.routing._model import (
    ClientAccount,
    ColdStartConfig,
    EngineConfig,
    Route,
    RouteKind,
    RouteTarget,
    RoutingConfiguration,
    ServiceConfig,
    common_regions,
)
from egretstack.routing._table import RoutingTable, VersionGate, key_digest

__all__ = [
    "ClientAccount",
    "ColdStartConfig",
    "EngineConfig",
    "Route",
    "RouteKind",
    "RouteTarget",
    "RoutingConfiguration",
    "RoutingTable",
    "ServiceConfig",
    "VersionGate",
    "common_regions",
    "key_digest",
]
