"""Policies: which request goes to which runner, when, and which is refused."""

from egretstack.policy._base import Policy
from egretstack.policy._least_loaded import LeastLoaded
from egretstack.policy._messages import (
    Action,
    Arrived,
    CacheChanged,
    Dispatch,
    Ended,
    EndReason,
    Evict,
    PolicyEvent,
    Progressed,
    Refuse,
    RunnerInfo,
    RunnerLeft,
    RunnerReported,
    RunnerSeen,
    Started,
    Tick,
    Work,
)
from egretstack.policy._registry import DEFAULT_POLICY, POLICIES, make_policy

__all__ = [
    "DEFAULT_POLICY",
    "POLICIES",
    "Action",
    "Arrived",
    "CacheChanged",
    "Dispatch",
    "EndReason",
    "Ended",
    "Evict",
    "LeastLoaded",
    "Policy",
    "PolicyEvent",
    "Progressed",
    "Refuse",
    "RunnerInfo",
    "RunnerLeft",
    "RunnerReported",
    "RunnerSeen",
    "Started",
    "Tick",
    "Work",
    "make_policy",
]
