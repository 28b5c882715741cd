"""What runners are to the system: model engines and plain services, each behind one class."""

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
