"""Clients for the two kinds of upstream: model engines and plain services."""

from egretstack.upstreams._engine import (
    CacheEvent,
    EngineBroken,
    EngineClient,
    EngineError,
    EngineEvent,
    EngineEventKind,
    EngineNoAnswer,
    EngineRefused,
    EngineSilent,
    EngineUnreachable,
    GenerationNotFound,
    GenerationRequest,
    GenerationState,
    LoadReport,
    Order,
    OrderRefused,
)
from egretstack.upstreams._http_engine import HttpEngine
from egretstack.upstreams._http_plain import HttpPlainService
from egretstack.upstreams._plain import (
    CallRequest,
    CallResponse,
    OutcomeUnknown,
    PlainService,
    Unsent,
)

__all__ = [
    "CacheEvent",
    "CallRequest",
    "CallResponse",
    "EngineBroken",
    "EngineClient",
    "EngineError",
    "EngineEvent",
    "EngineEventKind",
    "EngineNoAnswer",
    "EngineRefused",
    "EngineSilent",
    "EngineUnreachable",
    "GenerationNotFound",
    "GenerationRequest",
    "GenerationState",
    "HttpEngine",
    "HttpPlainService",
    "LoadReport",
    "Order",
    "OrderRefused",
    "OutcomeUnknown",
    "PlainService",
    "Unsent",
]
