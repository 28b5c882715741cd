"""Clients of the platform: the object API, the instance list and the weight store."""

from egretstack.objectapi._breaker import Breaker, BreakerState
from egretstack.objectapi._budget import CallBudget, CallClass, TokenBucket
from egretstack.objectapi._budgeted import BudgetedObjectApi
from egretstack.objectapi._http_instance_list import HttpInstanceList
from egretstack.objectapi._http_object_api import HttpObjectApi
from egretstack.objectapi._instance_list import (
    ENTRY_SERVICE,
    InstanceList,
    Member,
    MemberState,
)
from egretstack.objectapi._object_api import (
    DEFAULT_WATCH_DURATION_S,
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformError,
    PlatformOutcomeUnknown,
    Spec,
    StoredObject,
    WatchChange,
    WatchKind,
    WatchLost,
)
from egretstack.objectapi._weight_store import HttpWeightStore, WeightStore

__all__ = [
    "ENTRY_SERVICE",
    "DEFAULT_WATCH_DURATION_S",
    "Breaker",
    "BreakerState",
    "BudgetedObjectApi",
    "CallBudget",
    "CallClass",
    "Conflict",
    "HttpInstanceList",
    "HttpObjectApi",
    "HttpWeightStore",
    "InstanceList",
    "Member",
    "MemberState",
    "ObjectApi",
    "ObjectKind",
    "PlatformAway",
    "PlatformError",
    "PlatformOutcomeUnknown",
    "Spec",
    "StoredObject",
    "TokenBucket",
    "WatchChange",
    "WatchKind",
    "WatchLost",
    "WeightStore",
]
