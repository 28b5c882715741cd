"""A small stand-in of the users' platform: store, plain runners and engines, over loopback HTTP."""

from standins.platform._engine import BEFORE_HEAD, EngineFault, EngineStandIn
from standins.platform._http import StandInServer, json_body
from standins.platform._links import LinkCut, RunnerLinks
from standins.platform._operator import (
    ACCOUNT,
    GENERATION,
    HOST,
    KEY,
    client_request,
    configuration,
    route,
    runner_spec,
)
from standins.platform._plain import PlainFault, PlainStandIn
from standins.platform._store import StoreFault, StoreStandIn

__all__ = [
    "BEFORE_HEAD",
    "ACCOUNT",
    "GENERATION",
    "HOST",
    "KEY",
    "client_request",
    "configuration",
    "route",
    "runner_spec",
    "EngineFault",
    "EngineStandIn",
    "LinkCut",
    "PlainFault",
    "PlainStandIn",
    "RunnerLinks",
    "StandInServer",
    "StoreFault",
    "StoreStandIn",
    "json_body",
]
