"""What the platform gives: object API, instance list and weight store, each behind one class."""

from egretstack.platform._breaker import Breaker, BreakerState
from egretstack.platform._budget import CallBudget, CallClass, TokenBucket
from egretstack.platform._budgeted import BudgetedObjectApi
from egretstack.platform._http_instance_list import HttpInstanceList
from egretstack.platform._http_object_api import HttpObjectApi
from egretstack.platform._instance_list import (
    ENTRY_SERVICE,
    InstanceList,
    Member,
    MemberState,
)
from egretstack.platform._object_api import (
    WATCH_LIFE_S,
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
from egretstack.platform._weight_store import HttpWeightStore, WeightStore

__all__ = [
    "ENTRY_SERVICE",
    "WATCH_LIFE_S",
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
