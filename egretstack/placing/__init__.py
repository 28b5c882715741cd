"""Decides where generations and calls run. Does no I/O; the time is passed in."""

from egretstack.placing._balancer import PlainBalancer
from egretstack.placing._brittle_allocation import BrittleAllocation
from egretstack.placing._call_durations import CallDurations
from egretstack.placing._capacity_forecast import CapacityForecast
from egretstack.placing._capacity_sharing import CapacitySharing
from egretstack.placing._cold_allocation import ColdAllocation
from egretstack.placing._early_refusals import EarlyRefusals
from egretstack.placing._engine_paces import EnginePaces, StreamPace, pace_from_row
from egretstack.placing._engine_speeds import (
    TYPICAL,
    EngineSpeed,
    EngineSpeeds,
    speed_from_row,
    speed_row,
)
from egretstack.placing._engine_timings import (
    MAX_TIMED_ENGINES,
    EngineTiming,
    EngineTimingLog,
    FirstTokenTiming,
    timing_from_row,
    timing_row,
)
from egretstack.placing._lengths import LengthForecast
from egretstack.placing._limit_allocation import LimitAllocation
from egretstack.placing._links import CopyLinks, copy_time_s
from egretstack.placing._loads import EngineLoad
from egretstack.placing._move_permits import MovePermits
from egretstack.placing._placer import Placed, Placer, PlaceRefused
from egretstack.placing._prompt_forecasts import PromptForecasts
from egretstack.placing._refusal import Refusal, RefusalReason
from egretstack.placing._return_slots import ReturnOutcome, ReturnSlot, ReturnSlots
from egretstack.placing._run import (
    GenerationRequest,
    Placement,
    Run,
    request_from_row,
    request_row,
    run_from_row,
    run_row,
)
from egretstack.placing._runner_backoffs import RunnerBackoffs
from egretstack.placing._send_bounds import CombinedSendBounds, SendBound, SendOrigin
from egretstack.placing._speed_estimator import EngineSpeedEstimator
from egretstack.placing._speed_judge import SpeedChange
from egretstack.placing._split import FleetSplit
from egretstack.placing._strikes import (
    AnswerCount,
    FleetStrikes,
    RecentAnswers,
    count_from_row,
    count_row,
)
from egretstack.placing._timing_bins import Timing, TimingKind
from egretstack.placing._wait_limit import longest_wait_s

__all__ = [
    "BrittleAllocation",
    "AnswerCount",
    "CallDurations",
    "CapacityForecast",
    "EnginePaces",
    "StreamPace",
    "pace_from_row",
    "CapacitySharing",
    "ColdAllocation",
    "CopyLinks",
    "EarlyRefusals",
    "EngineLoad",
    "MAX_TIMED_ENGINES",
    "TYPICAL",
    "EngineSpeed",
    "EngineSpeedEstimator",
    "EngineSpeeds",
    "EngineTiming",
    "EngineTimingLog",
    "FirstTokenTiming",
    "PromptForecasts",
    "SpeedChange",
    "Timing",
    "TimingKind",
    "speed_from_row",
    "speed_row",
    "timing_from_row",
    "timing_row",
    "FleetSplit",
    "FleetStrikes",
    "LengthForecast",
    "LimitAllocation",
    "MovePermits",
    "PlaceRefused",
    "Placed",
    "Placement",
    "Placer",
    "PlainBalancer",
    "RecentAnswers",
    "Refusal",
    "RefusalReason",
    "ReturnOutcome",
    "ReturnSlot",
    "ReturnSlots",
    "Run",
    "RunnerBackoffs",
    "SendBound",
    "CombinedSendBounds",
    "SendOrigin",
    "GenerationRequest",
    "copy_time_s",
    "count_from_row",
    "count_row",
    "longest_wait_s",
    "run_from_row",
    "run_row",
    "request_from_row",
    "request_row",
]
