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
    Evicted,
    InstancesSeen,
    LengthsLearned,
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
from egretstack.policy._parts import Part
from egretstack.policy._registry import (
    DEFAULT_POLICY,
    ORACLE,
    POLICIES,
    make_oracle,
    make_policy,
)
from egretstack.policy._subset import SUBSET_SIZE, report_subset

__all__ = [
    "DEFAULT_POLICY",
    "ORACLE",
    "POLICIES",
    "SUBSET_SIZE",
    "Action",
    "Arrived",
    "CacheChanged",
    "Dispatch",
    "EndReason",
    "Ended",
    "Evict",
    "Evicted",
    "InstancesSeen",
    "LeastLoaded",
    "LengthsLearned",
    "Part",
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
    "make_oracle",
    "make_policy",
    "report_subset",
]
