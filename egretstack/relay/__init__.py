"""Relays client requests to runners: decides which may be retried and how the others fail."""

from egretstack.relay._budget import RetryBudget
from egretstack.relay._client_stream import ClientStream
from egretstack.relay._context import EnginePlacing, RelayContext, RelayTask
from egretstack.relay._crash_guard import CrashGuard, Refusal
from egretstack.relay._cursor import EventCursor, EventGap
from egretstack.relay._departure import Departure
from egretstack.relay._events import EventSplitter, EventTooLarge, StreamEvent
from egretstack.relay._execution_status import (
    ExecutionStatus,
    RequestFailed,
    instance_leaves,
    no_eligible_runner,
)
from egretstack.relay._plain import BufferedResponse, PlainRelay
from egretstack.relay._runner_signals import RunnerSignals
from egretstack.relay._stream import StreamRelay
from egretstack.relay._stream_limits import LimitChange, StreamLimits, StreamProgress

__all__ = [
    "ClientStream",
    "CrashGuard",
    "Departure",
    "EnginePlacing",
    "EventCursor",
    "EventGap",
    "EventSplitter",
    "EventTooLarge",
    "PlainRelay",
    "RelayContext",
    "Refusal",
    "RequestFailed",
    "RetryBudget",
    "ExecutionStatus",
    "LimitChange",
    "RunnerSignals",
    "StreamEvent",
    "StreamLimits",
    "StreamProgress",
    "StreamRelay",
    "RelayTask",
    "BufferedResponse",
    "instance_leaves",
    "no_eligible_runner",
]
