"""What the platform gives: object API, instance list and weight store, each behind one class."""

from egretstack.platform._http_instance_list import HttpInstanceList
from egretstack.platform._http_object_api import HttpObjectApi
from egretstack.platform._instance_list import (
    ENTRY_SERVICE,
    InstanceList,
    Member,
    MemberState,
)
from egretstack.platform._object_api import (
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformError,
    PlatformOutcomeUnknown,
    StoredObject,
    WatchChange,
    WatchKind,
    WatchLost,
)
from egretstack.platform._weight_store import HttpWeightStore, WeightStore

__all__ = [
    "ENTRY_SERVICE",
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
    "StoredObject",
    "WatchChange",
    "WatchKind",
    "WatchLost",
    "WeightStore",
]
